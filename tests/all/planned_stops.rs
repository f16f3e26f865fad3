//! Tests of real gateway processes with streams whose engine falls silent while their gateway is in a
//! planned stop.

use std::time::Duration;

use dragonflycart_standins::{CallerResponse, ManifestSpec, send};
use serde_json::Value;
use tokio::{task::JoinSet, time::Instant};

use crate::support::{GatewayFleet, unframed_fleet::event_ids};

/// Latency target of the route. A stream may then make no progress for two seconds, outside of a
/// planned stop.
const SHORT_LATENCY_MS: u64 = 500;
/// Silence that outlasts this time and ends within the grace period of eight seconds.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Output of the silent stream, which an engine generates in two seconds.
const SILENT_TOKENS: u64 = 1_000;
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
