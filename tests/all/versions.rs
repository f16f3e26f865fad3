//! Tests of version moves of a service: real gateway processes with a fake store and fake runners
//! of both versions.

use std::time::Duration;

use dragonflycart_standins::{RunnerFailure, StoreMode};
use tokio::time::Instant;

use crate::support::{GatewayFleet, GatewayUnderTest, MOVE_TIME_LIMIT};

/// Share of the requests that a bad version may get, as in the settings (`exposure_share`).
const EXPOSURE_SHARE: f64 = 0.1;
/// Number of requests that a bad version may get beyond this share (`exposure_slack`).
const EXPOSURE_SLACK: f64 = 50.0;

/// Guards against an order that no gateway carries out, which left the service on both versions
/// forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_gets_all_requests_within_the_time_limit() {
    let mut fleet = GatewayFleet::start("good-version", 0).await;
    fleet.start_gateways().await;
    fleet.start_version_move();

    let ended = fleet.send_until_move_ends(MOVE_TIME_LIMIT).await;
    let (old_before, _) = fleet.runs_by_version();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..50 {
        fleet.send_request();
    }
    let served = fleet.success_share().await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.move_state().as_deref(), Some("completed"));
    assert_eq!(
        fleet.runs_by_version().0,
        old_before,
        "the old version got requests after the move"
    );
    assert_eq!(served, 1.0, "requests failed because of the move");
    fleet.close();
}

/// Guards against too many requests at a bad version: one that fails half of its requests may get a
/// tenth of all requests, and 50 more, until the time limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_is_rolled_back_before_it_got_many_requests() {
    let mut fleet = GatewayFleet::start("bad-version", 50).await;
    fleet.start_gateways().await;
    fleet.start_version_move();

    let ended = fleet.send_until_move_ends(MOVE_TIME_LIMIT).await;
    let (_, new_before) = fleet.runs_by_version();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..50 {
        fleet.send_request();
    }
    fleet.success_share().await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.move_state().as_deref(), Some("rolled_back"));
    let (old, new) = fleet.runs_by_version();
    assert_eq!(new, new_before, "the bad version got requests after the result");
    let limit = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_SLACK;
    assert!((new as f64) <= limit, "{new} requests at the new version, {old} at the old one");
    fleet.close();
}

/// Guards against an order that starts over, or ends late, when the gateway that decides on it is
/// killed and restarted while the store is unreachable for a part of the move.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_ends_in_time_although_the_deciding_gateway_dies_and_the_store_is_away() {
    let mut fleet = GatewayFleet::start("decider-dies", 0).await;
    fleet.start_gateways().await;
    fleet.start_version_move();
    let start = Instant::now();
    fleet.send_until_move_ends(Duration::from_millis(2_000)).await;

    fleet.gateways[0].process.kill().unwrap();
    fleet.store.set_mode(StoreMode::Reset);
    fleet.send_until_move_ends(Duration::from_millis(800)).await;
    fleet.store.set_mode(StoreMode::Up);
    let gateway = &mut fleet.gateways[0];
    gateway.process = GatewayUnderTest::start_process(&gateway.settings);
    let ended = fleet.send_until_move_ends(MOVE_TIME_LIMIT.saturating_sub(start.elapsed())).await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.move_state().as_deref(), Some("completed"));
    fleet.success_share().await;
    fleet.close();
}

/// Moves the engines to a version that fails half of its streams, and checks that it is rolled back
/// before it got many requests.
async fn assert_bad_engines_are_rolled_back(name: &str, failure: RunnerFailure) {
    let mut fleet = GatewayFleet::start(name, 0).await;
    fleet.use_engine_versions(failure, 50).await;
    fleet.start_gateways().await;
    for _ in 0..20 {
        fleet.send_stream();
    }
    fleet.success_share().await;
    fleet.start_version_move_of("engines");

    let ended = fleet.stream_until_move_ends(MOVE_TIME_LIMIT).await;
    let (_, new_before) = fleet.runs_by_version();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..20 {
        fleet.send_stream();
    }
    fleet.success_share().await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.move_state_of("engines").as_deref(), Some("rolled_back"));
    let (old, new) = fleet.runs_by_version();
    assert_eq!(new, new_before, "the bad version got requests after the result");
    let limit = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_SLACK;
    assert!((new as f64) <= limit, "{new} requests at the new version, {old} at the old one");
    fleet.close();
}

/// Guards against streams that an engine fails before their first event and that do not count, so
/// that a version which fails half of them is completed (EXPOSURE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_whose_streams_fail_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-fail", RunnerFailure::Error).await;
}

/// Guards against the same with responses that lack the signature.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_whose_streams_are_not_genuine_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-unsigned", RunnerFailure::Unsigned).await;
}

/// Guards against the same with streams that are refused: another engine takes them, and the version
/// looked as if it had got none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_that_refuses_streams_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-refused", RunnerFailure::Refusal).await;
}

/// Guards against the same with streams that never start and whose callers leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_whose_streams_never_start_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-silent", RunnerFailure::Silent).await;
}

/// Guards against the same with connections that close without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_whose_streams_are_lost_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-lost", RunnerFailure::Reset).await;
}

/// Guards against the same with streams that start several times later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_whose_streams_are_slow_is_rolled_back() {
    assert_bad_engines_are_rolled_back("streams-slow", RunnerFailure::Slow).await;
}

/// Number of requests in a row without one at the new version that show that no VM sends it any: both
/// VMs would send it every twentieth request (`CANARY_FRACTION` of the share).
const QUIET_REQUESTS: usize = 100;
/// Number of requests at a version that fails half of them until its fiftieth bad response, by which
/// it must be known to be bad.
const REQUESTS_ALLOWED: usize = 100;
/// Number of requests that show that the version gets no more.
const REQUESTS_AFTER: usize = 200;
/// Time limit of a version move that must not end because of its time limit.
const DISTANT_TIME_LIMIT: Duration = Duration::from_secs(300);

/// Guards against a bad version that keeps its share of the requests while no VM can read the store,
/// because only the VM that does decided on it. Requests are counted instead of time, since the
/// evidence comes from requests, and a busy machine sends fewer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_gets_no_more_requests_while_the_store_is_away() {
    let mut fleet = GatewayFleet::start("bad-without-store", 50).await;
    fleet.start_gateways().await;
    fleet.send_until_move_ends(Duration::from_millis(400)).await;
    let (_, new_at_order) = fleet.runs_by_version();
    fleet.start_version_move_within("desk", DISTANT_TIME_LIMIT);
    while fleet.move_state().is_none() {
        fleet.send_until_move_ends(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;

    fleet.store.set_mode(StoreMode::Silent);
    let limit = new_at_order + REQUESTS_ALLOWED;
    let is_quiet = fleet.send_until_old_only(QUIET_REQUESTS, limit).await;
    fleet.success_share().await;
    let (_, new_before) = fleet.runs_by_version();
    fleet.send_requests(REQUESTS_AFTER).await;
    fleet.success_share().await;

    let (old, new) = fleet.runs_by_version();
    assert!(is_quiet, "{new} requests at the bad version, {old} at the old one");
    assert!(new > 0 && old > 0, "{new} requests at the new version, {old} at the old one");
    assert_eq!(new, new_before, "the bad version went on getting requests");
    fleet.close();
}
