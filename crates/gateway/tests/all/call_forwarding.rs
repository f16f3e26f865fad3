//! Requests that are offered more than once.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use dragonflycart_core::ErrorKind;
use dragonflycart_gateway::{
    CallForwarder, GatewayContext, GatewayFailure, OfferHistory, PlacementQuery, PlannedRoute,
    RouteKind, ServerRecord, ServerReservation, StreamForwarder, TokenDemand,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use crate::{
    fixtures::{DESK, ENGINES, caller_request, context, position, query, record, report, route},
    stub_store::StubStore,
};

/// Requests from which the budget allows some retries.
const BUDGET_REQUESTS: u32 = 40;

/// Size of a response, of which two leave no memory for a third one.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// Time after which a test takes a wait for endless.
const WAIT_TIME: Duration = Duration::from_millis(300);

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-echo-id: a1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok";

fn refused() -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Overloaded, "all servers refused")
}

/// Guards against a caller that is told "not run" because the last server refused its request,
/// although an earlier one may have run it (REFUSED).
#[test]
fn refusal_after_a_possible_run_is_not_reported() {
    let mut history = OfferHistory::default();
    history.note_possible_run();
    history.note_refused();

    assert_eq!(history.reported_failure(refused()).kind, ErrorKind::Interrupted);
    let unplaced = GatewayFailure::new(ErrorKind::NoBackend, "no server takes work");
    assert_eq!(history.reported_failure(unplaced).kind, ErrorKind::Interrupted);
}

/// Guards against hiding from a caller that its request did not run, and may be sent again.
#[test]
fn refusal_by_all_servers_is_reported() {
    let mut history = OfferHistory::default();
    history.note_refused();
    history.note_refused();

    assert_eq!(history.reported_failure(refused()), refused());
}

/// Guards against a booking that is offered to a second server after the first one may have run it
/// (TWICE).
#[test]
fn request_that_may_have_run_is_offered_again_only_if_its_route_allows_it() {
    for (kind, is_allowed) in [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
        (RouteKind::Stream, false),
    ] {
        let route = route("any", "/any/", kind, DESK);
        let mut history = OfferHistory::default();
        history.note_refused();
        assert!(history.allows_offer(&route), "{kind}: it was refused");

        history.note_possible_run();

        assert_eq!(history.allows_offer(&route), is_allowed, "{kind}");
    }
}

/// Guards against more runs than the route's maximum number of attempts.
#[test]
fn request_is_run_no_more_often_than_its_route_allows() {
    let route = route("any", "/any/", RouteKind::Idempotent, DESK);
    let mut history = OfferHistory::default();

    for _ in 0..route.max_attempts {
        assert!(history.allows_offer(&route));
        history.note_possible_run();
    }

    assert!(!history.allows_offer(&route));
}

/// Scripted servers, and the number of requests that reached them.
struct ScriptedServers {
    addresses: Vec<SocketAddr>,
    requests: Arc<AtomicU32>,
}

/// Starts as many servers as there are scripts. The n-th request, at whichever server, gets the n-th
/// script, and the connection is closed after it.
async fn scripted_servers(scripts: &'static [&'static str]) -> ScriptedServers {
    let requests = Arc::new(AtomicU32::new(0));
    let mut addresses = Vec::new();
    for _ in scripts {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let requests = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.unwrap() == 0 {
                    continue;
                }
                let number = requests.fetch_add(1, Ordering::Relaxed) as usize;
                let script = scripts.get(number).copied().unwrap_or_default();
                stream.write_all(script.as_bytes()).await.unwrap();
            }
        });
    }
    ScriptedServers { addresses, requests }
}

/// Returns a context that knows the servers and has retries left.
fn context_with(servers: &ScriptedServers, service: &str) -> Arc<GatewayContext> {
    let context = context(Arc::new(StubStore::default()));
    let now = context.clock.now();
    let mut view = context.view();
    for (index, address) in servers.addresses.iter().enumerate() {
        let record = ServerRecord { address: *address, ..record(service, "a", 8_000) };
        view.apply_server(&format!("s{index}"), record, position(index as u64), now);
    }
    for _ in 0..BUDGET_REQUESTS {
        view.note_request(service, now);
    }
    drop(view);
    context
}

/// Starts a server that answers each connection's first request with [`LARGE_BYTES`].
async fn large_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            if stream.read(&mut buffer).await.unwrap() == 0 {
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&vec![b'x'; LARGE_BYTES]).await.unwrap();
        }
    });
    address
}

/// Guards against the same false "not run", where the forwarder does not use the history.
#[tokio::test]
async fn forwarder_does_not_deny_a_run_after_a_lost_response() {
    let servers = scripted_servers(&["", REFUSAL]).await;
    let context = context_with(&servers, DESK);
    // Too short for the request to wait and to be offered again after the refusal.
    let time_limit = Duration::from_secs(5);
    let route = PlannedRoute { time_limit, ..route("desk", "/desk/", RouteKind::Idempotent, DESK) };
    let request = caller_request(&context, route, TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert_eq!(servers.requests.load(Ordering::Relaxed), 2, "it was not offered again");
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Guards against the same second run of a booking, where the forwarder does not use the history.
#[tokio::test]
async fn forwarder_does_not_repeat_a_booking_after_a_lost_response() {
    let servers = scripted_servers(&["", ANSWER]).await;
    let context = context_with(&servers, DESK);
    let route = route("desk", "/desk/", RouteKind::NonIdempotent, DESK);
    let request = caller_request(&context, route, TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert_eq!(servers.requests.load(Ordering::Relaxed), 1, "it was offered again");
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Guards against a generation that is started a second time after the response to its first offer
/// was lost (TWICE).
#[tokio::test]
async fn forwarder_does_not_repeat_a_stream_after_a_lost_response() {
    let servers = scripted_servers(&["", ANSWER]).await;
    let context = context_with(&servers, ENGINES);
    let route = route("reports", "/reports/", RouteKind::Stream, ENGINES);
    let request = caller_request(&context, route, report());

    let result = StreamForwarder::new(&context, request).run().await;

    assert_eq!(servers.requests.load(Ordering::Relaxed), 1, "it was offered again");
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Guards against responses that wait for slow callers and whose memory counts as free, so that
/// further ones are received without a limit.
#[tokio::test]
async fn response_keeps_its_memory_until_it_was_sent() {
    let context = context(Arc::new(StubStore::default()));
    let address = large_server().await;
    let record = ServerRecord { address, ..record(DESK, "a", 8_000) };
    context.view().apply_server("s0", record, position(0), context.clock.now());
    let mut responses = Vec::new();
    for _ in 0..2 {
        let route = route("desk", "/desk/", RouteKind::Idempotent, DESK);
        let request = caller_request(&context, route, TokenDemand::default());
        responses.push(CallForwarder::new(&context, request).run().await.ok().unwrap());
    }
    // One response at a time may grow beyond the budget.
    let mut growing = context.responses.body(true);
    growing.grow_to(LARGE_BYTES).await.unwrap();
    let mut further = context.responses.body(true);

    let early = tokio::time::timeout(WAIT_TIME, further.grow_to(LARGE_BYTES)).await;
    drop(responses);
    let late = tokio::time::timeout(WAIT_TIME, further.grow_to(LARGE_BYTES)).await;

    assert!(early.is_err(), "the memory of the responses was free");
    assert!(late.is_ok(), "the memory of the responses is still in use");
}

/// Starts servers that refuse all requests until `refusing` after the first one, then answer.
async fn refusing_servers(count: usize, refusing: Duration) -> ScriptedServers {
    let requests = Arc::new(AtomicU32::new(0));
    let started = Arc::new(OnceLock::new());
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let (requests, started) = (Arc::clone(&requests), Arc::clone(&started));
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.unwrap() == 0 {
                    continue;
                }
                requests.fetch_add(1, Ordering::Relaxed);
                let is_refusing = started.get_or_init(Instant::now).elapsed() < refusing;
                let script = if is_refusing { REFUSAL } else { ANSWER };
                stream.write_all(script.as_bytes()).await.unwrap();
            }
        });
    }
    ScriptedServers { addresses, requests }
}

/// Returns the route of a call that waits up to 1.2 s, with a target of 150 ms.
fn waiting_route(kind: RouteKind) -> PlannedRoute {
    PlannedRoute {
        latency_target: Duration::from_millis(150),
        time_limit: Duration::from_millis(1_200),
        ..route("desk", "/desk/", kind, DESK)
    }
}

/// Pattern: all servers refuse for 300 ms and then take work, as after a burst.
/// Guards against a call that ends after one refusal of each server although most of its time is
/// left, and against offers in a quick series that use up the retry budget.
#[tokio::test]
async fn call_that_all_servers_refused_is_offered_again_in_time() {
    let servers = refusing_servers(3, Duration::from_millis(300)).await;
    let context = context_with(&servers, DESK);
    let request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert!(result.is_ok(), "{:?}", result.err());
    let offers = servers.requests.load(Ordering::Relaxed);
    assert!((4..=6).contains(&offers), "{offers} offers");
}

/// Pattern: all servers refuse for longer than the call's time, with retries left.
/// Guards against a call that is refused after its time limit, or with a `Retry-After` that its
/// caller can't wait for.
#[tokio::test]
async fn call_that_is_refused_to_the_end_is_told_so_in_time() {
    let servers = refusing_servers(3, Duration::from_secs(60)).await;
    let context = context_with(&servers, DESK);
    for _ in 0..400 {
        context.view().note_request(DESK, context.clock.now());
    }
    let request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());
    let started = Instant::now();

    let failure = CallForwarder::new(&context, request).run().await.err().unwrap();

    assert!(started.elapsed() < Duration::from_millis(1_300), "{:?}", started.elapsed());
    assert_eq!(failure.kind, ErrorKind::Overloaded);
    assert!(failure.retry_after.unwrap() <= Duration::from_millis(400), "{failure:?}");
}

/// Pattern: servers refuse while the retry budget of a VM of a large fleet is empty.
/// Guards against a call that waits although the budget will not allow an offer in its time: its
/// outcome is known.
#[tokio::test]
async fn refused_call_without_retry_budget_ends_at_once() {
    let servers = refusing_servers(1, Duration::from_secs(60)).await;
    let context = context_with(&servers, DESK);
    context.view().sharing_vms = 1_000;
    let now = context.clock.now();
    // Three seconds later, the requests before fill the budget by less than one retry.
    while context.view().take_retry(DESK, now) {}
    while context.view().take_resumption(DESK, now) {}
    let request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());
    let started = Instant::now();

    let failure = CallForwarder::new(&context, request).run().await.err().unwrap();

    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    assert_eq!(failure.kind, ErrorKind::Overloaded);
    assert_eq!(servers.requests.load(Ordering::Relaxed), 1);
}

/// Pattern: the budget is empty for a moment, and fills while the refused call has time left.
/// Guards against a call that ends with most of its time left because others took the retries.
#[tokio::test]
async fn refused_call_waits_for_a_retry_that_comes_in_time() {
    let servers = refusing_servers(1, Duration::from_millis(50)).await;
    let context = context_with(&servers, DESK);
    while context.view().take_retry(DESK, context.clock.now()) {}
    let request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert!(result.is_ok(), "{:?}", result.err());
    assert_eq!(servers.requests.load(Ordering::Relaxed), 2);
}

/// Pattern: a server fails while the retry budget is empty and fills slowly.
/// Guards against an answer that is held back until a retry would be allowed.
#[tokio::test]
async fn failure_of_a_server_is_delivered_while_no_retry_is_left() {
    const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n";
    let servers = scripted_servers(&[FAILURE, ANSWER]).await;
    let context = context_with(&servers, DESK);
    while context.view().take_retry(DESK, context.clock.now()) {}
    let request =
        caller_request(&context, waiting_route(RouteKind::Idempotent), TokenDemand::default());
    let started = Instant::now();

    let response = CallForwarder::new(&context, request).run().await.ok().unwrap();

    assert_eq!(response.status().as_u16(), 500);
    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
}

/// Pattern: servers refuse, and one loses its response.
/// Guards against a booking that is offered again after it may have run (TWICE), and against a
/// false "not run" after it (REFUSED).
#[tokio::test]
async fn booking_that_was_refused_first_is_not_repeated_after_a_lost_response() {
    let servers = scripted_servers(&[REFUSAL, "", ANSWER]).await;
    let context = context_with(&servers, DESK);
    let request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert_eq!(servers.requests.load(Ordering::Relaxed), 2, "it was offered again");
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Pattern: a response is lost, then all servers refuse to the end.
/// Guards against a false "not run" from the end of the wait (REFUSED).
#[tokio::test]
async fn refusals_to_the_end_do_not_deny_an_earlier_run() {
    let servers = scripted_servers(&["", REFUSAL, REFUSAL]).await;
    let context = context_with(&servers, DESK);
    let route = PlannedRoute { max_attempts: 3, ..waiting_route(RouteKind::Idempotent) };
    let request = caller_request(&context, route, TokenDemand::default());

    let result = CallForwarder::new(&context, request).run().await;

    assert!(servers.requests.load(Ordering::Relaxed) >= 3);
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Pattern: a server sends figures of load that make no sense.
/// Guards against calls that wait until their target is missed, since the server counts as full.
#[tokio::test]
async fn calls_go_on_to_a_server_whose_load_makes_no_sense() {
    for load in ["4294967295,4294967295,6", "-1,x,6", "9", ",,,", "6,99999,0"] {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\nx-load: {load}\r\ncontent-length: 2\r\n\r\nok"
        );
        let answer: &str = answer.leak();
        let mut servers = scripted_servers(vec![answer; 2].leak()).await;
        servers.addresses.truncate(1);
        let context = context_with(&servers, DESK);
        for _ in 0..2 {
            let request = caller_request(
                &context,
                waiting_route(RouteKind::NonIdempotent),
                TokenDemand::default(),
            );
            let started = Instant::now();

            let result = CallForwarder::new(&context, request).run().await;

            assert!(result.is_ok(), "{load}: {:?}", result.err());
            assert!(started.elapsed() < Duration::from_millis(150), "{load}: late");
        }
    }
}

/// Takes the only slot of the server `s0`.
fn take_only_slot(context: &Arc<GatewayContext>, servers: &ScriptedServers) -> ServerReservation {
    let (now, excluded) = (context.clock.now(), BTreeSet::new());
    let address = servers.addresses[0];
    let record = ServerRecord { address, slots: 1, ..record(DESK, "a", 8_000) };
    let mut view = context.view();
    view.apply_server("s0", record, position(9), now);
    let query = PlacementQuery { service: DESK, ..query(TokenDemand::default(), &excluded) };
    let placement = view.place(&query, now).unwrap();
    drop(view);
    ServerReservation::new(context, placement)
}

/// Pattern: the only slot is taken when a call arrives, and is released before its target.
/// Guards against a call that is sent to a full server, and against a lost wake-up: the call would
/// stay until it is late.
#[tokio::test]
async fn call_waits_for_a_slot_and_gets_it_when_it_is_released() {
    let servers = scripted_servers(&[ANSWER]).await;
    let context = context_with(&servers, DESK);
    let taken = take_only_slot(&context, &servers);
    let route = route("desk", "/desk/", RouteKind::NonIdempotent, DESK);
    let request = caller_request(&context, route, TokenDemand::default());

    let call = tokio::spawn(CallForwarder::new(&context, request).run());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (early, waiting) =
        (servers.requests.load(Ordering::Relaxed), context.plain_calls.waiting(DESK));
    taken.close();
    let response = tokio::time::timeout(WAIT_TIME, call).await;

    assert_eq!((early, waiting), (0, 1), "it did not wait");
    assert!(response.expect("it was not woken").unwrap().is_ok());
    assert_eq!(context.plain_calls.waiting(DESK), 0);
}

/// Pattern: callers disconnect while their calls wait.
/// Guards against calls that stay in the queue, or take a slot, after their callers have left.
#[tokio::test]
async fn call_whose_caller_leaves_takes_no_slot() {
    let servers = scripted_servers(&[ANSWER]).await;
    let context = context_with(&servers, DESK);
    let taken = take_only_slot(&context, &servers);
    let route = route("desk", "/desk/", RouteKind::NonIdempotent, DESK);
    let request = caller_request(&context, route, TokenDemand::default());

    let call = tokio::spawn(CallForwarder::new(&context, request).run());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = context.plain_calls.waiting(DESK);
    call.abort();
    let is_cancelled = call.await.is_err();
    taken.close();

    assert!(is_cancelled);
    assert_eq!((before, context.plain_calls.waiting(DESK)), (1, 0));
    let load: u32 = context.view().servers().map(|(_, state)| state.own_load.requests).sum();
    assert_eq!(load, 0, "a slot is lost");
}

/// Pattern: a VM is frozen while a call waits, and goes on after the call's deadline, when a slot is
/// free.
/// Guards against a call that is sent although its caller has given up: a booking would run for
/// nobody.
#[tokio::test]
async fn call_that_waited_in_a_frozen_vm_is_not_sent_after_its_deadline() {
    let servers = scripted_servers(&[ANSWER]).await;
    let context = context_with(&servers, DESK);
    let taken = take_only_slot(&context, &servers);
    let mut request =
        caller_request(&context, waiting_route(RouteKind::NonIdempotent), TokenDemand::default());
    request.deadline = request.arrived + Duration::from_millis(100);

    let call = tokio::spawn(CallForwarder::new(&context, request).run());
    tokio::time::sleep(Duration::from_millis(20)).await;
    let waiting = context.plain_calls.waiting(DESK);
    std::thread::sleep(Duration::from_millis(150));
    taken.close();
    let result = call.await.unwrap();

    assert_eq!(waiting, 1);
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::DeadlineNotStarted));
    assert_eq!(servers.requests.load(Ordering::Relaxed), 0, "it was sent");
}

/// Guards against bytes of a server in trouble that a caller gets as an answer (MIXED): a status outside
/// the classes, or a field name with a blank or a control byte.
#[tokio::test]
async fn answer_that_is_not_of_the_protocol_reaches_no_caller() {
    const SCRIPTS: [&[&str]; 4] = [
        &["HTTP/1.1 000 OK\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 600 OK\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok"],
        &["HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\ncontent -length: 2\r\n\r\nok"],
        &["HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\na\x01b: c\r\n\r\nok"],
    ];
    for scripts in SCRIPTS {
        let servers = scripted_servers(scripts).await;
        let context = context_with(&servers, DESK);
        let call_route = route("desk", "/desk/", RouteKind::NonIdempotent, DESK);
        let call = caller_request(&context, call_route, TokenDemand::default());
        let engines = scripted_servers(scripts).await;
        let engine_context = context_with(&engines, ENGINES);
        let stream_route = route("reports", "/reports/", RouteKind::Stream, ENGINES);
        let stream = caller_request(&engine_context, stream_route, report());

        let called = CallForwarder::new(&context, call).run().await;
        let streamed = StreamForwarder::new(&engine_context, stream).run().await;

        let kinds = [called, streamed].map(|result| result.err().map(|failure| failure.kind));
        assert_eq!(kinds, [Some(ErrorKind::Interrupted); 2], "{scripts:?}");
    }
}
