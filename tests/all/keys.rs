//! Tests of real gateway processes that must not accept withdrawn keys for longer than a bound.

use std::time::Duration;

use dragonflycart_standins::{ManifestSpec, StoreMode};
use dragonflycart_testkit::{FaultRelay, RelayCommand, RelayMode, RelayScope};
use tokio::time::Instant;

use crate::support::GatewayFleet;

/// Time after which a withdrawn key must not be accepted any more.
const REVOCATION_TIME: Duration = Duration::from_secs(3);
/// Time for a VM to notice that the store is available again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

fn set_all(relay: &FaultRelay, mode: RelayMode) {
    relay.apply(RelayCommand { scope: RelayScope::New, mode });
    relay.apply(RelayCommand { scope: RelayScope::Open, mode });
}

async fn start_relay(fleet: &GatewayFleet) -> FaultRelay {
    FaultRelay::start(fleet.store.address()).await.unwrap()
}

/// Guards against a VM that goes on accepting keys although it can't know whether they were
/// withdrawn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_rejected_while_no_vm_can_read_the_store() {
    let mut fleet = GatewayFleet::start("keys-without-store", 0).await;
    let store = fleet.store.address();
    fleet.start_gateways_at([store, store], Some(REVOCATION_TIME)).await;
    assert_eq!(fleet.status_of_request(0, "key").await, Some(200));

    fleet.store.set_mode(StoreMode::Silent);
    tokio::time::sleep(REVOCATION_TIME).await;
    let runs_before = fleet.runs_by_version();
    let statuses =
        [fleet.status_of_request(0, "key").await, fleet.status_of_request(1, "key").await];
    let are_ready = [fleet.is_ready(0).await, fleet.is_ready(1).await];
    let runs_after = fleet.runs_by_version();
    fleet.store.set_mode(StoreMode::Up);
    let deadline = Instant::now() + RETURN_TIMEOUT;
    while !(fleet.is_ready(0).await && fleet.is_ready(1).await) {
        assert!(Instant::now() < deadline, "the gateways are not ready again in time");
        fleet.heartbeat();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(statuses, [Some(503), Some(503)]);
    assert_eq!(runs_after, runs_before, "a 503 states that the request did not run");
    assert_eq!(are_ready, [false, false]);
    assert_eq!(fleet.status_of_request(0, "key").await, Some(200));
    fleet.close();
}

/// Guards against a VM that rejects keys because the store turns it away, although its peer can
/// confirm the plan; and against one that doesn't learn of a withdrawal from there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_without_store_gets_withdrawals_and_confirmations_from_its_peer() {
    let mut fleet = GatewayFleet::start("keys-of-a-peer", 0).await;
    let relays = [start_relay(&fleet).await, start_relay(&fleet).await];
    let stores = [relays[0].address(), relays[1].address()];
    fleet.start_gateways_at(stores, Some(REVOCATION_TIME)).await;

    // The first VM by name reads the store for both, and loses it.
    set_all(&relays[0], RelayMode::Discard);
    let end = Instant::now() + 2 * REVOCATION_TIME;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        statuses.push(fleet.status_of_request(0, "key").await);
        fleet.heartbeat();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let plan = ManifestSpec { version: 2, extra_routes: 0, keys: vec!["other".to_owned()] };
    fleet.store.put_order("config", &plan.to_json());
    tokio::time::sleep(REVOCATION_TIME).await;

    assert!(statuses.iter().all(|status| *status == Some(200)), "{statuses:?}");
    assert_eq!(fleet.status_of_request(0, "key").await, Some(401));
    assert_eq!(fleet.status_of_request(0, "other").await, Some(200));
    fleet.close();
    for relay in relays {
        relay.close().await;
    }
}
