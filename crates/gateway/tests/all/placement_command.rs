//! The command `placement` against the status address of a gateway.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dragonflycart_admission::AdmissionClass;
use dragonflycart_core::{ErrorKind, MonoTime, WallTime};
use dragonflycart_explanation::{PlacementAnswer, PlacementOutcome, WaitReason};
use dragonflycart_gateway::{
    CallForwarder, CallerRequest, FleetOrder, GatewayContext, GatewayFailure, PlannedRoute,
    RouteKind, RoutePlan, ServerLoad, ServerRecord, StopPhase, TokenDemand, reserve_engine,
    serve_status,
};
use dragonflycart_operator::{CommandEnvironment, ExitStatus, run_command};
use tokio::net::TcpListener;

use crate::{
    fixtures::{
        BATCH, DESK, ENGINES, MEMORY_TOKENS, NAMES, caller_request, context, key_of, plan,
        position, record, report, route, settings,
    },
    stub_protocol::StubProtocol,
    stub_store::StubStore,
};

/// Result of a command.
#[derive(Debug)]
struct CommandResult {
    status: ExitStatus,
    out: String,
    err: String,
}

impl CommandResult {
    fn answer(&self) -> PlacementAnswer {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Returns the error kind, the reason and the `Retry-After` time of a refusal.
    fn refusal(&self) -> (String, String, Option<u64>) {
        match self.answer().outcome {
            PlacementOutcome::Refusal { error, reason, retry_after_ms } => {
                (error, reason, retry_after_ms)
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Serves the status address of a gateway.
async fn serve(context: &Arc<GatewayContext>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_status(Arc::clone(context), listener, "/ready"));
    address
}

/// Runs the command `placement` against a VM, without a credential.
async fn ask(address: SocketAddr, args: &[&str]) -> CommandResult {
    let mut full = vec!["dragonflycartctl".to_owned(), "placement".to_owned()];
    full.extend(args.iter().map(|arg| (*arg).to_owned()));
    full.extend(["--server".to_owned(), address.to_string()]);
    let run = move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let environment = CommandEnvironment {
            credential: None,
            now: || WallTime::from_unix_millis(1_796_000_000_000),
        };
        let status = run_command(full, environment, &mut out, &mut err);
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        CommandResult { status, out: text(out), err: text(err) }
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Returns a time at which to record what must not become too old on a loaded machine.
fn later(context: &GatewayContext) -> MonoTime {
    context.clock.now() + Duration::from_secs(3_600)
}

/// Returns the context of a VM with the engines `e0` of its own zone and `e1` of another one.
fn engine_context() -> Arc<GatewayContext> {
    let context = context(Arc::new(StubStore::default()));
    let now = context.clock.now();
    context.view().apply_server("e0", record(ENGINES, "a", 8_000), position(0), now);
    context.view().apply_server("e1", record(ENGINES, "b", 8_001), position(1), now);
    context
}

/// Returns a context without a route plan.
fn planless_context() -> Arc<GatewayContext> {
    let store = Arc::new(StubStore::default());
    let context = GatewayContext::new(Arc::new(settings()), NAMES, store, Arc::new(StubProtocol));
    Arc::new(context)
}

/// Returns everything that a question must not change.
fn state_of(context: &GatewayContext) -> String {
    let metrics = context.metrics.encode();
    let view = format!("{:?}", *context.view());
    let admission = format!("{:?}", *context.admission.table());
    let load = format!("{:?}", *context.vm_load());
    let crashes = format!("{:?}", *context.crashes());
    let peers = format!("{:?}", *context.peers());
    let metrics: Vec<_> =
        metrics.lines().filter(|line| !line.contains("_age_") && !line.contains("delay")).collect();
    let waiting = context.plain_calls.waiting(DESK);
    format!("{view}\n{admission}\n{load}\n{crashes}\n{peers}\n{waiting}\n{metrics:#?}")
}

/// Guards against an answer that names another server than a request with the same figures gets,
/// and against figures of the command line that do not reach the gateway.
#[tokio::test]
async fn command_names_the_server_that_the_request_gets() {
    let context = engine_context();
    let address = serve(&context).await;
    let args = ["--path", "/reports/1", "--method", "POST", "--team", "studio", "--json"];
    let figures = ["--prompt-tokens", "3000", "--output-tokens", "800", "--seed", "1"];

    for _ in 0..6 {
        let result = ask(address, &[args.as_slice(), &figures].concat()).await;

        let answer = result.answer();
        let reports = route("reports", "/reports/", RouteKind::Stream, ENGINES);
        let request = caller_request(&context, reports, report());
        let excluded = BTreeSet::new();
        let now = context.clock.now();
        let placed = context.view().place(&request.query(&excluded), now).unwrap();
        assert_eq!(result.status, ExitStatus::Done, "{result:?}");
        assert_eq!(answer.outcome, PlacementOutcome::Server { id: placed.id });
        assert_eq!((answer.route.as_str(), answer.service.as_str()), ("reports", ENGINES));
        assert_eq!((answer.team.as_deref(), answer.rank), (Some("studio"), 3));
        assert_eq!(answer.reserved_tokens, report().reserved_tokens());
        assert_eq!((answer.plan_version, answer.seed), (1, 1));
        assert_eq!(answer.servers.len(), 2);
    }
}

/// Guards against a table without the outcome, the parts or the reasons.
#[tokio::test]
async fn table_shows_outcome_parts_and_reasons() {
    let context = engine_context();
    let now = context.clock.now();
    let load = ServerLoad { requests: 6, tokens: 9_000, ..ServerLoad::default() };
    context.view().note_peer_load(7, "e0", load, later(&context));
    context.view().apply_order(FleetOrder::EvacuateZone { zone: "b".to_owned() }, now);
    let address = serve(&context).await;

    let result = ask(address, &["--route", "reports", "--prompt-tokens", "100"]).await;

    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    for part in ["outcome: sent to e0 at once", "VM vm-a-1 in zone a, route plan 1"] {
        assert!(result.out.contains(part), "{part}: {}", result.out);
    }
    let line = |id: &str| result.out.lines().find(|line| line.starts_with(id)).unwrap().to_owned();
    assert!(result.out.contains("SERVER  SCORE  USE"), "{}", result.out);
    assert!(line("e0").contains("0.250"), "{}", result.out);
    assert!(result.out.contains("1 (0-0 ms)"), "{}", result.out);
    assert!(line("e1").ends_with("evacuated_zone"), "{}", result.out);
}

/// Guards against unclear errors, and against exit codes that do not tell the cases apart.
#[tokio::test]
async fn failures_have_clear_messages_and_exit_codes() {
    let address = serve(&engine_context()).await;
    let planless = serve(&planless_context()).await;
    let serverless = planless_context();
    let now = serverless.clock.now();
    serverless.view().apply_order(FleetOrder::Plan(Arc::new(plan(1))), now);
    let serverless = serve(&serverless).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let cases: [(SocketAddr, &[&str], ExitStatus, &str); 9] = [
        (address, &["--route", "none"], ExitStatus::Rejected, "the plan has no route none"),
        (address, &["--path", "/none/"], ExitStatus::Rejected, "no route for /none/"),
        (address, &["--path", "/reports/", "--host", "x"], ExitStatus::Rejected, "x/reports/"),
        (
            address,
            &["--route", "reports", "--team", "none"],
            ExitStatus::Rejected,
            "the plan has no team none",
        ),
        (
            address,
            &["--route", "reports", "--service", "desk"],
            ExitStatus::Rejected,
            "the route reports has no service desk",
        ),
        (address, &[], ExitStatus::Usage, "--route"),
        (closed, &["--route", "reports"], ExitStatus::NoResponse, "no connection"),
        (planless, &["--route", "reports"], ExitStatus::NotReady, "route plan yet"),
        (serverless, &["--route", "reports"], ExitStatus::NotReady, "servers yet"),
    ];

    for (address, args, status, message) in cases {
        let result = ask(address, args).await;

        assert_eq!(result.status, status, "{args:?} {result:?}");
        assert!(result.err.contains(message), "{args:?} {result:?}");
        assert_eq!(result.out, "", "{args:?}");
    }
}

/// Guards against a path with routes on two hosts that is explained for one of them.
#[tokio::test]
async fn path_on_several_hosts_needs_the_host() {
    let context = engine_context();
    let now = context.clock.now();
    let reports = route("reports", "/reports/", RouteKind::Stream, ENGINES);
    let other = PlannedRoute { host: "other.example".to_owned(), ..reports.clone() };
    let other = PlannedRoute { name: "others".to_owned(), ..other };
    let old = plan(2);
    let services = old.services.values().cloned().collect();
    let new = RoutePlan::new(2, vec![reports, other], services, old.limits, None);
    context.view().apply_order(FleetOrder::Plan(Arc::new(new)), now);
    let address = serve(&context).await;

    let without = ask(address, &["--path", "/reports/"]).await;
    let with = ask(address, &["--path", "/reports/", "--host", "other.example", "--json"]).await;

    assert_eq!(without.status, ExitStatus::Usage, "{without:?}");
    assert!(without.err.contains("several hosts"), "{without:?}");
    assert_eq!(with.answer().route, "others");
}

/// Guards against a question that reserves load, counts a request, draws on a budget or joins a
/// queue, whatever the outcome.
#[tokio::test]
async fn questions_change_no_state() {
    let context = engine_context();
    let now = context.clock.now();
    context.view().apply_server("p0", record(DESK, "a", 9_000), position(2), now);
    context.view().apply_server("b0", record(BATCH, "a", 9_001), position(3), now);
    let full = ServerLoad { requests: 24, tokens: MEMORY_TOKENS, ..ServerLoad::default() };
    context.view().note_peer_load(7, "b0", full, later(&context));
    context.view().note_peer_load(7, "p0", full, later(&context));
    let address = serve(&context).await;
    let before = state_of(&context);

    for route in ["reports", "bookings", "chat", "batch"] {
        for figures in [["--shared-part", "s1"], ["--prompt-tokens", "3000"]] {
            let result = ask(address, &[["--route", route].as_slice(), &figures].concat()).await;
            assert_eq!(result.status, ExitStatus::Done, "{result:?}");
        }
    }

    assert_eq!(state_of(&context), before);
}

/// Lets the only engine of the service with a deferrable route be full, and its memory become free
/// at `per_second` tokens per second.
fn busy_context(per_second: u64) -> Arc<GatewayContext> {
    let context = context(Arc::new(StubStore::default()));
    let now = context.clock.now();
    context.view().apply_server("b0", record(BATCH, "a", 8_000), position(0), now);
    let load = ServerLoad { requests: 7, tokens: MEMORY_TOKENS, ..ServerLoad::default() };
    context.view().note_peer_load(7, "b0", load, later(&context));
    for _ in 0..5 {
        context.admission.table().note_freed(BATCH, per_second / 5, later(&context));
    }
    context
}

fn batch_request(context: &GatewayContext) -> CallerRequest {
    let batch = PlannedRoute {
        priority: 2,
        latency_target: Duration::from_secs(4),
        ..route("batch", "/batch/", RouteKind::Stream, BATCH)
    };
    CallerRequest {
        admission: AdmissionClass::Deferrable,
        ..caller_request(context, batch, report())
    }
}

const BATCH_ARGS: [&str; 7] =
    ["--route", "batch", "--prompt-tokens", "3000", "--output-tokens", "800", "--json"];

/// Guards against a refusal on arrival that is shown as a wait, or with another `Retry-After` than
/// the caller gets.
#[tokio::test]
async fn refusal_on_arrival_is_the_one_that_the_caller_gets() {
    let context = busy_context(200);
    let address = serve(&context).await;

    let asked = ask(address, &BATCH_ARGS).await.refusal();

    let request = batch_request(&context);
    let refusal = reserve_engine(&context, &request, &BTreeSet::new()).await.err().unwrap();
    assert_eq!((asked.0.as_str(), asked.1.as_str()), ("overloaded", refusal.cause));
    assert_eq!(asked.2, refusal.retry_after.map(|time| time.as_millis() as u64));
}

/// Guards against a wait that is shown as a refusal, or without its reason and its bound.
#[tokio::test]
async fn wait_has_its_reason_and_bound() {
    let context = busy_context(20_000);
    let address = serve(&context).await;

    let outcome = ask(address, &BATCH_ARGS).await.answer().outcome;

    let PlacementOutcome::Wait { reason, waiting, expected_ms, maximum_ms } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((reason, waiting), (WaitReason::NoRoom, 0));
    assert!(expected_ms.is_some_and(|time| time < 1_000), "{expected_ms:?}");
    assert!((1..=6_000).contains(&maximum_ms), "{maximum_ms}");
}

/// Guards against a request that seems to overtake those that wait.
#[tokio::test]
async fn request_behind_others_waits_for_its_turn() {
    let context = busy_context(0);
    let address = serve(&context).await;
    let waiting = Arc::clone(&context);
    tokio::spawn(async move {
        let request = batch_request(&waiting);
        let _ = reserve_engine(&waiting, &request, &BTreeSet::new()).await;
    });
    let began = Instant::now();
    while context.admission.table().queue.count(BATCH) == 0 {
        assert!(began.elapsed() < Duration::from_secs(20), "no request waits");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    let deferrable = ask(address, &BATCH_ARGS).await.answer();
    let urgent = ask(address, &["--route", "chat", "--json"]).await.answer();

    // Both find no room, so the reason is that; the urgent one does not count as behind.
    for answer in [deferrable, urgent] {
        let PlacementOutcome::Wait { reason, waiting, .. } = answer.outcome else {
            panic!("{answer:?}");
        };
        assert_eq!((reason, waiting), (WaitReason::NoRoom, 1));
    }
}

/// Returns the failure that a call really gets.
async fn real_failure(context: &Arc<GatewayContext>, route: PlannedRoute) -> GatewayFailure {
    let request = caller_request(context, route, TokenDemand::default());
    CallForwarder::new(context, request).run().await.err().unwrap()
}

/// Guards against a plain call whose refusal or wait is shown differently from what it gets: no
/// server, all servers paused beyond its time, and all slots taken.
#[tokio::test]
async fn outcomes_of_plain_calls_are_the_real_ones() {
    let context = context(Arc::new(StubStore::default()));
    let address = serve(&context).await;
    // The time limit of the route is four times its target, so its calls wait for slots.
    let bookings = route("bookings", "/bookings/", RouteKind::NonIdempotent, DESK);
    let args = ["--route", "bookings", "--json"];

    let unserved = ask(address, &args).await.refusal();
    let real = real_failure(&context, bookings.clone()).await;
    assert_eq!((unserved.0, unserved.1), (real.kind.to_string(), real.cause.to_owned()));
    assert_eq!(unserved.2, real.retry_after.map(|time| time.as_millis() as u64));

    let now = context.clock.now();
    let one_slot = ServerRecord { slots: 1, ..record(DESK, "a", 9_000) };
    context.view().apply_server("p0", one_slot, position(0), now);
    let outcome = ask(address, &args).await.answer().outcome;
    assert_eq!(outcome, PlacementOutcome::Server { id: "p0".to_owned() });

    let load = ServerLoad { requests: 1, ..ServerLoad::default() };
    context.view().note_peer_load(7, "p0", load, later(&context));
    let answer = ask(address, &args).await.answer();
    let is_slot_wait = matches!(
        answer.outcome,
        PlacementOutcome::Wait { reason: WaitReason::NoFreeSlot, waiting: 0, .. }
    );
    assert!(is_slot_wait, "{answer:?}");

    let key = key_of(&context.view(), "p0");
    let pause = Duration::from_secs(40);
    context.view().server_mut(key).unwrap().note_declined(pause, now);
    let began = Instant::now();
    let paused = ask(address, &args).await.refusal();
    let real = real_failure(&context, bookings).await;
    assert_eq!((paused.0.as_str(), paused.1.as_str()), ("overloaded", real.cause));
    let (asked_ms, real_ms) = (paused.2.unwrap(), real.retry_after.unwrap().as_millis());
    let between_ms = began.elapsed().as_millis() + 1;
    let expected = real_ms..=real_ms + between_ms;
    assert!(expected.contains(&u128::from(asked_ms)), "{asked_ms} {expected:?}");
}

/// Guards against a stopping VM that seems to take requests.
#[tokio::test]
async fn stopping_vm_shows_its_refusal() {
    let context = engine_context();
    let address = serve(&context).await;
    context.begin_stop(tokio::time::Instant::now() + Duration::from_secs(30));
    context.stop.send_replace(StopPhase::Ending);

    let (error, reason, _) = ask(address, &["--route", "reports", "--json"]).await.refusal();

    assert_eq!(error, ErrorKind::Draining.to_string());
    assert_eq!(reason, "this VM stops");
}
