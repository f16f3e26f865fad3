//! Tests of a store that comes back from an older copy and has lost what it acknowledged since: real
//! gateway processes with a fake store and fake runners.

use std::time::Duration;

use dragonflycart_standins::{ManifestSpec, StoreCopy, StoreMode};
use tokio::time::Instant;

use crate::support::GatewayFleet;

/// Time within which a confirmed manifest must be in force (`config_deadline_ms`).
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);
/// Time for which the store is away before it comes back.
const STORE_AWAY: Duration = Duration::from_millis(600);
/// Time between the return of the store and what the test does next.
const SETTLING_TIME: Duration = Duration::from_secs(1);

fn put_manifest(fleet: &GatewayFleet, version: u64, keys: &[&str]) {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    fleet.store.put_order("config", &ManifestSpec { version, extra_routes: 0, keys }.to_json());
}

/// Lets the store be away for a moment and come back from a copy.
async fn come_back_from(fleet: &mut GatewayFleet, copy: &StoreCopy) {
    fleet.store.set_mode(StoreMode::Reset);
    tokio::time::sleep(STORE_AWAY).await;
    fleet.store.come_back_from(copy);
    fleet.store.set_mode(StoreMode::Up);
    fleet.heartbeat();
}

/// Returns whether all gateways answer requests with this key with `status` before `deadline`.
async fn all_answer(fleet: &mut GatewayFleet, key: &str, status: u16, deadline: Instant) -> bool {
    for index in 0..fleet.gateways.len() {
        while fleet.status_of_request(index, key).await != Some(status) {
            if Instant::now() >= deadline {
                return false;
            }
        }
    }
    true
}

/// Guards against manifests that never take effect because the store gives out offsets again that
/// the gateways have read before: withdrawn keys were served for good (CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn manifest_at_a_reused_offset_takes_effect() {
    let mut fleet = GatewayFleet::start("reused-offset", 0).await;
    fleet.start_gateways().await;
    let copy = fleet.store.copy();
    put_manifest(&fleet, 2, &["key"]);
    put_manifest(&fleet, 3, &["key", "other"]);
    let is_known = all_answer(&mut fleet, "other", 200, Instant::now() + CONFIG_DEADLINE).await;
    come_back_from(&mut fleet, &copy).await;
    put_manifest(&fleet, 3, &["key", "other"]);
    tokio::time::sleep(SETTLING_TIME).await;
    let is_kept = all_answer(&mut fleet, "other", 200, Instant::now()).await;

    put_manifest(&fleet, 4, &["key"]);
    let deadline = Instant::now() + CONFIG_DEADLINE;

    assert!(is_known && is_kept, "the manifest before is not in force");
    assert!(all_answer(&mut fleet, "other", 401, deadline).await, "the withdrawn key is accepted");
    fleet.close();
}

/// Guards against gateways that act on the older manifest of the copy: the key that the lost one had
/// added was rejected, or the one that it had withdrawn was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn manifest_that_the_store_lost_stays_in_force() {
    let mut fleet = GatewayFleet::start("lost-manifest", 0).await;
    fleet.start_gateways().await;
    put_manifest(&fleet, 2, &["key", "other"]);
    let copy = fleet.store.copy();
    put_manifest(&fleet, 3, &["key", "third"]);
    let is_known = all_answer(&mut fleet, "third", 200, Instant::now() + CONFIG_DEADLINE).await;

    come_back_from(&mut fleet, &copy).await;
    tokio::time::sleep(SETTLING_TIME).await;

    assert!(is_known, "the manifest before is not in force");
    assert!(all_answer(&mut fleet, "third", 200, Instant::now()).await, "its key is rejected");
    assert!(
        all_answer(&mut fleet, "other", 401, Instant::now()).await,
        "the older one is in force"
    );
    fleet.close();
}
