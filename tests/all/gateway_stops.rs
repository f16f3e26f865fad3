//! Tests of real gateway processes: planned stops, abandoned streams and a log that nobody reads.

use std::{
    io::{BufRead, BufReader, Read},
    process::{Command, Stdio},
    time::Duration,
};

use dragonflycart_standins::{
    CallerRequest, CallerResponse, ManifestSpec, RunnerFailure, request_bytes, send,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::Instant,
};

use crate::support::GatewayFleet;

/// Returns how many times requests ran, on either version.
fn runs(fleet: &GatewayFleet) -> usize {
    let (old, new) = fleet.runs_by_version();
    old + new
}

/// Guards against accepting requests later than three seconds after SIGTERM. A request that is
/// accepted may not be abandoned, and a long one can't end within the grace period: one that
/// arrived after 3.17 seconds was broken off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_three_seconds_after_the_stop_is_not_taken() {
    let mut fleet = GatewayFleet::start("late-request", 0).await;
    fleet.start_gateways().await;
    fleet.send_request();
    fleet.send_request();
    assert_eq!(fleet.success_share().await, 1.0, "both gateways serve");
    let before = runs(&fleet);
    let stopped = Instant::now();
    for gateway in &mut fleet.gateways {
        gateway.process.terminate().unwrap();
    }

    tokio::time::sleep_until(stopped + Duration::from_millis(1_500)).await;
    fleet.send_request();
    fleet.success_share().await;
    let early = runs(&fleet);
    tokio::time::sleep_until(stopped + Duration::from_millis(3_020)).await;
    fleet.send_request();
    fleet.send_request();
    fleet.success_share().await;

    assert_eq!(
        early,
        before + 1,
        "requests are served until the load balancer has noticed the stop"
    );
    assert_eq!(runs(&fleet), early, "a request was taken after three seconds");
    fleet.close();
}

/// Pace of an engine that makes an event in 80 ms. On a busy machine, each event is some milliseconds
/// late, and the hundreds of a stream at the usual pace take longer than the grace period.
const SLOW_PACE: u32 = 1_000;

/// Guards against a VM that exits at once in a planned stop and so breaks off its open streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn open_streams_end_whole_in_a_planned_stop() {
    let mut fleet = GatewayFleet::start("open-streams", 0).await;
    fleet.set_pace("i-engine", SLOW_PACE);
    fleet.start_gateways().await;
    let http_address = fleet.gateways[0].http_address;
    let mut streams = JoinSet::new();
    for _ in 0..6 {
        // Takes more than six seconds of the grace period of eight.
        let request = fleet.stream_request(320);
        streams.spawn(async move { send(http_address, &request).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    fleet.gateways[0].process.terminate().unwrap();
    let responses = streams.join_all().await;

    for response in responses {
        assert!(response.is_complete, "broken off after {} bytes", response.body.len());
        assert!(String::from_utf8_lossy(&response.body).contains("id: 79\n"));
    }
    fleet.close();
}

/// Guards against an engine that goes on generating for a caller that has disconnected, while other
/// requests wait for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_ends_soon_after_its_caller_left() {
    let mut fleet = GatewayFleet::start("caller-leaves", 0).await;
    fleet.start_gateways().await;
    let http_address = fleet.gateways[0].http_address;
    let request = fleet.stream_request(4_000);
    let id = request.id.clone();

    let left = tokio::time::timeout(Duration::from_millis(400), send(http_address, &request)).await;
    assert!(left.is_err(), "the stream takes eight seconds");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let soon = fleet.log.events(&id);
    tokio::time::sleep(Duration::from_millis(500)).await;

    assert!(soon > 0, "the generation had not begun");
    assert_eq!(
        fleet.log.events(&id),
        soon,
        "the engine still generates half a second after the caller left"
    );
    fleet.close();
}

/// Time in which a log whose reader goes on shows that lines were lost.
const LOG_GAP_TIME: Duration = Duration::from_secs(10);

/// Guards against requests that fail because the reader of the log stalls. Log lines may be lost, which
/// the log shows once the reader goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reader_of_the_log_that_stalls_costs_no_request() {
    let mut fleet = GatewayFleet::start("stalled-reader", 0).await;
    fleet.start_gateways().await;
    let gateway = &mut fleet.gateways[0];
    gateway.process.kill().unwrap();
    let mut stalled = Command::new(env!("CARGO_BIN_EXE_dragonflycartd"))
        .args(["gateway".as_ref(), gateway.settings.as_os_str()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = stalled.stdout.take().unwrap();
    log.read_exact(&mut [0]).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;

    let status_address = fleet.gateways[0].status_address;
    let mut lost = 0.0;
    for _ in 0..400 {
        for _ in 0..60 {
            fleet.send_request_to(0);
        }
        assert_eq!(fleet.success_share().await, 1.0, "a request failed while the reader stalled");
        lost = fleet.metric(status_address, "dragonflycart_gateway_log_lines_lost").await;
        if lost > 0.0 {
            break;
        }
    }

    let shows_gap = tokio::task::spawn_blocking(move || {
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        lines.any(|line| line.contains("gateway: log lines lost"))
    });
    let shows_gap = tokio::time::timeout(LOG_GAP_TIME, shows_gap).await;
    stalled.kill().unwrap();
    stalled.wait().unwrap();
    assert!(lost > 0.0, "the queue of log lines never filled up, so the test proves nothing");
    assert!(matches!(shows_gap, Ok(Ok(true))), "the log does not show that lines are missing");
    fleet.close();
}

/// Time limit of the route of calls, which is longer than the grace period.
const LONG_TIME_LIMIT_MS: u64 = 20_000;

/// Starts gateways with a route of calls that may take longer than the grace period.
async fn start_long_route(mut fleet: GatewayFleet) -> GatewayFleet {
    let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] };
    let limit = format!("\"timeout_ms\":{LONG_TIME_LIMIT_MS}");
    let text = plan.to_json().to_string().replace("\"timeout_ms\":5000", &limit);
    fleet.store.put_order("config", &serde_json::from_str(&text).unwrap());
    fleet.start_gateways().await;
    fleet
}

fn call(id: &str) -> CallerRequest {
    CallerRequest {
        id: id.to_owned(),
        method: "POST",
        path: "/book/b".to_owned(),
        key: "key".to_owned(),
        tokens: None,
        inner_parts: Vec::new(),
        body: "booking".into(),
        time_limit: Duration::from_millis(LONG_TIME_LIMIT_MS),
    }
}

/// Sends the head and a part of the body of a call, and the rest at `rest_at` or never. Returns what
/// is received until the connection ends.
async fn send_slowly(address: std::net::SocketAddr, id: &str, rest_at: Option<Instant>) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = request_bytes(&call(id));
    let (start, rest) = request.split_at(request.len() - 4);
    stream.write_all(start).await.unwrap();
    if let Some(rest_at) = rest_at {
        tokio::time::sleep_until(rest_at).await;
        stream.write_all(rest).await.unwrap();
    }
    let mut received = Vec::new();
    // A reset ends the connection, too.
    drop(stream.read_to_end(&mut received).await);
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against a call whose body arrives slowly, which was passed on late in the grace period and
/// cut at its end (LOST). It is rejected as not run, so that its caller can send it to another VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_whose_body_comes_late_in_a_planned_stop_is_rejected() {
    let fleet = start_long_route(GatewayFleet::start("late-body", 0).await).await;
    let address = fleet.gateways[0].http_address;
    let rest_at = Instant::now() + Duration::from_millis(5_500);
    let slow = tokio::spawn(async move { send_slowly(address, "slow", Some(rest_at)).await });
    let stuck = tokio::spawn(async move { send_slowly(address, "stuck", None).await });
    tokio::time::sleep(Duration::from_millis(500)).await;

    fleet.gateways[0].process.terminate().unwrap();
    let (slow, stuck) = (slow.await.unwrap(), stuck.await.unwrap());

    assert!(slow.starts_with("HTTP/1.1 503 "), "{slow:?}");
    assert!(stuck.starts_with("HTTP/1.1 503 "), "{stuck:?}");
    assert_eq!(runs(&fleet), 0, "a call was passed on");
    fleet.close();
}

/// Guards against a stream that waits for an engine during a planned stop, and is sent so late that
/// the end of the grace period cuts it (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_waits_in_a_planned_stop_is_rejected() {
    let mut fleet = GatewayFleet::start("late-stream", 0).await;
    fleet.start_gateways().await;
    fleet.crash("i-engine");
    fleet.store.remove_server("i-engine");
    tokio::time::sleep(Duration::from_millis(800)).await;
    let address = fleet.gateways[0].http_address;

    let stopped = Instant::now();
    fleet.gateways[0].process.terminate().unwrap();
    tokio::time::sleep_until(stopped + Duration::from_millis(600)).await;
    let request = fleet.stream_request(40);
    let id = request.id.clone();
    let waiting = tokio::spawn(async move { send(address, &request).await });
    tokio::time::sleep_until(stopped + Duration::from_millis(3_600)).await;
    fleet.add_engine("i-late").await;
    let response = waiting.await.unwrap();

    assert_eq!(response.status, Some(503), "{response:?}");
    assert!(fleet.log.parts(&id).is_empty(), "the stream was sent");
    fleet.close();
}

/// Guards against a call that a server still works on at the end of the grace period and whose
/// connection is closed without an answer. It may have run, which a 502 or 504 does not deny.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_outlasts_a_planned_stop_is_answered() {
    let silent = RunnerFailure::Silent;
    let fleet = GatewayFleet::start_without_sound_runners("outlasting", silent).await;
    let fleet = start_long_route(fleet).await;
    let address = fleet.gateways[0].http_address;
    let mut calls = JoinSet::new();
    for number in 0..6 {
        calls.spawn(async move { send(address, &call(&format!("long-{number}"))).await });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    fleet.gateways[0].process.terminate().unwrap();
    let responses: Vec<CallerResponse> = calls.join_all().await;

    let unanswered = responses.iter().filter(|response| response.status != Some(502));
    assert_eq!(unanswered.count(), 0, "{responses:?}");
    assert!(responses.iter().all(|response| response.is_complete), "{responses:?}");
    fleet.close();
}

/// Reads from a connection until a response with a body of 6 bytes has arrived, or it ends.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        let is_whole = text.split_once("\r\n\r\n").is_some_and(|(_, body)| body.len() >= 6);
        // A reset ends the connection, too.
        if is_whole || !matches!(stream.read_buf(&mut received).await, Ok(1..)) {
            return text;
        }
    }
}

/// Guards against a request on a kept connection that is taken late in the grace period, whether its
/// head comes late or only its end (LOST). It is rejected as not run, or its connection closes
/// before it was read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_on_a_kept_connection_does_not_run() {
    let fleet = GatewayFleet::start("kept-connection", 0).await;
    let fleet = start_long_route(fleet).await;
    let address = fleet.gateways[0].http_address;
    let mut connections = Vec::new();
    for id in ["kept-0", "kept-1"] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&request_bytes(&call(id))).await.unwrap();
        let response = read_response(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response:?}");
        connections.push(stream);
    }
    let before = runs(&fleet);

    let stopped = Instant::now();
    fleet.gateways[0].process.terminate().unwrap();
    tokio::time::sleep_until(stopped + Duration::from_millis(1_000)).await;
    let (early, late) = (request_bytes(&call("late-0")), request_bytes(&call("late-1")));
    let (start, rest) = early.split_at(40);
    connections[0].write_all(start).await.unwrap();
    tokio::time::sleep_until(stopped + Duration::from_millis(4_000)).await;
    // Fails if the connection was closed.
    drop(connections[0].write_all(rest).await);
    drop(connections[1].write_all(&late).await);
    let mut responses = Vec::new();
    for stream in &mut connections {
        responses.push(read_response(stream).await);
    }

    for response in &responses {
        let is_true = response.is_empty() || response.starts_with("HTTP/1.1 503 ");
        assert!(is_true, "{response:?}");
    }
    assert_eq!(runs(&fleet), before, "a late request was passed on");
    fleet.close();
}
