//! Tests of real gateway processes whose engines are reclaimed.

use std::time::Duration;

use dragonflycart_standins::{RunnerFailure, StoreMode, send};

use crate::support::GatewayFleet;

/// Time for the gateways to find that the store is away and to ask the engines.
const NOTICE_TIME: Duration = Duration::from_secs(4);

/// Guards against generations that are lost, and new ones that are sent, to an engine whose notice
/// can't be read because the store is away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_leaves_while_the_store_is_away_gets_no_new_stream() {
    let mut fleet = GatewayFleet::start("reclaimed", 0).await;
    fleet.add_engine("i-spare").await;
    fleet.start_gateways().await;
    let address = fleet.gateways[0].http_address;
    let long = fleet.stream_request(4_000);
    let id = long.id.clone();
    let stream = tokio::spawn(async move { send(address, &long).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let engine = fleet.log.parts(&id)[0].runner.clone();

    fleet.store.set_mode(StoreMode::Silent);
    fleet.drain(&engine);
    tokio::time::sleep(NOTICE_TIME).await;
    let mut runners = Vec::new();
    for _ in 0..4 {
        let request = fleet.stream_request(40);
        send(address, &request).await;
        runners.extend(fleet.log.parts(&request.id).into_iter().map(|part| part.runner));
    }

    assert_eq!(runners.len(), 4, "{runners:?}");
    assert!(!runners.contains(&engine), "{runners:?}");
    assert!(stream.await.unwrap().is_complete);
    fleet.close();
}

/// Guards against a stream that is resumed although no event has arrived, so that nothing shows that
/// a copy of its memory exists: an engine that does not check this runs it a second time (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_an_event_is_not_resumed() {
    let mut fleet = GatewayFleet::start("not-resumed", 0).await;
    fleet.use_engine_versions(RunnerFailure::Reset, 100).await;
    for id in ["i-old-engine-0", "i-old-engine-1"] {
        fleet.crash(id);
        fleet.store.remove_server(id);
    }
    fleet.start_gateways().await;
    let address = fleet.gateways[0].http_address;

    let mut runs = Vec::new();
    for _ in 0..4 {
        let request = fleet.stream_request(400);
        let response = send(address, &request).await;
        assert_eq!(response.status, Some(502), "{response:?}");
        runs.push(fleet.log.parts(&request.id));
    }

    assert!(runs.iter().all(|parts| parts.len() == 1), "{runs:?}");
    fleet.close();
}
