//! Tests of real gateway processes with streams whose engine fails or falls silent while their
//! gateway is in a planned stop.

use std::time::Duration;

use dragonflycart_standins::{CallerResponse, ManifestSpec, send};
use serde_json::Value;
use tokio::{net::TcpStream, task::JoinSet, time::Instant};

use crate::support::{GatewayFleet, unframed_fleet::event_ids};

/// Latency target of the route. A stream may then make no progress for two seconds, outside of a
/// planned stop.
const SHORT_LATENCY_MS: u64 = 500;
/// Silence that outlasts this time and ends within the grace period of eight seconds.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Output of the silent stream, which an engine generates in two seconds.
const SILENT_TOKENS: u64 = 1_000;
/// Pace of the engines of the other streams, of which an event takes 80 ms. On a busy machine, each
/// event is some milliseconds late, which adds up to seconds at the usual pace.
const SLOW_PACE: u32 = 1_000;
/// Output of these streams, which takes longer than new requests are accepted after SIGTERM and ends
/// long before the end of the grace period.
const OUTPUT_TOKENS: u64 = 180;
/// Number of these streams.
const STREAMS: usize = 8;
/// Number of tokens in each event.
const TOKENS_PER_EVENT: u64 = 4;
/// Interval at which engines renew their registrations.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(15);

fn plan() -> Value {
    ManifestSpec { version: 2, extra_routes: 0, keys: vec!["key".to_owned()] }.to_json()
}

/// Waits until an engine has made events for each of the streams.
async fn wait_begun(fleet: &mut GatewayFleet, ids: &[String]) {
    let start = Instant::now();
    while ids.iter().any(|id| fleet.log.events(id) == 0) {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "the streams don't begin in time");
        fleet.heartbeat();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the planned stop of a gateway has come so far that it accepts no connection.
async fn wait_closed(fleet: &mut GatewayFleet, index: usize) {
    let start = Instant::now();
    let mut next_heartbeat = start;
    while TcpStream::connect(fleet.gateways[index].http_address).await.is_ok() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "the gateway still accepts connections");
        if Instant::now() >= next_heartbeat {
            fleet.heartbeat();
            next_heartbeat += HEARTBEAT;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the responses while the engines renew their registrations.
async fn wait_ends(
    fleet: &mut GatewayFleet,
    mut streams: JoinSet<(String, CallerResponse)>,
) -> Vec<(String, CallerResponse)> {
    let mut responses = Vec::new();
    while !streams.is_empty() {
        while let Some(response) = streams.try_join_next() {
            responses.push(response.unwrap());
        }
        fleet.heartbeat();
        tokio::time::sleep(HEARTBEAT).await;
    }
    responses
}

/// Starts streams at a gateway. Returns their ids, and their responses with these.
fn start_streams(
    fleet: &mut GatewayFleet,
    count: usize,
    tokens: u64,
) -> (Vec<String>, JoinSet<(String, CallerResponse)>) {
    let address = fleet.gateways[0].http_address;
    let (mut ids, mut streams) = (Vec::new(), JoinSet::new());
    for _ in 0..count {
        let request = fleet.stream_request(tokens);
        ids.push(request.id.clone());
        streams.spawn(async move { (request.id.clone(), send(address, &request).await) });
    }
    (ids, streams)
}

/// Returns whether a response has each event of a stream once, in order, and its end.
fn is_whole(response: &CallerResponse, tokens: u64) -> bool {
    let expected = 0..tokens / TOKENS_PER_EVENT;
    response.is_complete && event_ids(response).into_iter().eq(expected)
}

/// Guards against a stream that its gateway ends in a planned stop because the engine is silent for
/// longer than callers wait otherwise, although it writes the rest within the grace period (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_an_engine_that_is_silent_in_a_planned_stop_is_whole() {
    let mut fleet = GatewayFleet::start("stop-silent", 0).await;
    fleet.crash("i-engine");
    fleet.store.remove_server("i-engine");
    fleet.add_silent_engine("i-silent", SILENT_TIME).await;
    let mut plan = plan();
    plan["routes"][0]["target_latency_ms"] = SHORT_LATENCY_MS.into();
    fleet.store.put_order("config", &plan);
    fleet.start_gateways().await;
    let (ids, streams) = start_streams(&mut fleet, 1, SILENT_TOKENS);
    wait_begun(&mut fleet, &ids).await;

    fleet.gateways[0].process.terminate().unwrap();
    let responses = wait_ends(&mut fleet, streams).await;

    let (_, response) = &responses[0];
    assert_eq!(response.status, Some(200), "{response:?}");
    let count = event_ids(response).len();
    assert!(is_whole(response, SILENT_TOKENS), "ended after {count} events, in the silence");
    fleet.close();
}

/// Guards against a stream of a resumable route that is lost with its engine because its gateway is
/// in a planned stop, although another engine could run it again within the grace period (LOST).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumable_stream_whose_engine_crashes_in_a_planned_stop_runs_again_at_another_one() {
    let mut fleet = GatewayFleet::start("stop-crash", 0).await;
    for id in ["i-second", "i-third", "i-fourth"] {
        fleet.add_engine(id).await;
    }
    let mut plan = plan();
    plan["routes"][0]["resumable"] = true.into();
    plan["services"][0]["engine"]["backups"] = false.into();
    plan["services"][0]["engine"]["moves"] = false.into();
    fleet.store.put_order("config", &plan);
    for id in ["i-engine", "i-second", "i-third", "i-fourth"] {
        fleet.set_pace(id, SLOW_PACE);
    }
    fleet.start_gateways().await;
    let (ids, streams) = start_streams(&mut fleet, STREAMS, OUTPUT_TOKENS);
    wait_begun(&mut fleet, &ids).await;

    fleet.gateways[0].process.terminate().unwrap();
    wait_closed(&mut fleet, 0).await;
    let crashed = fleet.log.parts(&ids[0])[0].runner.clone();
    fleet.crash(&crashed);
    let responses = wait_ends(&mut fleet, streams).await;

    let mut cut = Vec::new();
    for (id, response) in &responses {
        let parts = fleet.log.parts(id);
        let is_affected = parts[0].runner == crashed;
        let count = event_ids(response).len();
        println!("{id}: {count} events, at the engine that crashes: {is_affected}");
        if is_whole(response, OUTPUT_TOKENS) {
            assert_eq!(parts.len(), 1 + usize::from(is_affected), "{parts:?}");
        } else {
            cut.push(id);
        }
    }
    assert!(cut.is_empty(), "{} of {STREAMS} streams are not whole: {cut:?}", cut.len());
    fleet.close();
}
