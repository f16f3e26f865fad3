//! Tests of a store that comes back from an older copy and has lost what it acknowledged since: real
//! gateway processes with a fake store and fake runners.

use std::time::Duration;

use dragonflycart_standins::{ManifestSpec, StoreCopy, StoreMode};
use tokio::time::Instant;

use crate::support::{GatewayFleet, MOVE_TIME_LIMIT, wait_for};

/// Time within which a confirmed manifest must be in force (`config_deadline_ms`).
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);
/// Time for which the store is away before it comes back.
const STORE_AWAY: Duration = Duration::from_millis(600);
/// Time after which requests must be served again once all gateways are back (`recovery_s`).
const RECOVERY_TIME: Duration = Duration::from_secs(12);
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
/// added was rejected, or the one that it had withdrawn was accepted. The store comes back twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn manifest_that_the_store_lost_stays_in_force() {
    let mut fleet = GatewayFleet::start("lost-manifest", 0).await;
    fleet.start_gateways().await;
    put_manifest(&fleet, 2, &["key", "other"]);
    let copy = fleet.store.copy();
    put_manifest(&fleet, 3, &["key", "third"]);
    let is_known = all_answer(&mut fleet, "third", 200, Instant::now() + CONFIG_DEADLINE).await;

    for _ in 0..2 {
        come_back_from(&mut fleet, &copy).await;
        tokio::time::sleep(SETTLING_TIME).await;
    }

    assert!(is_known, "the manifest before is not in force");
    assert!(all_answer(&mut fleet, "third", 200, Instant::now()).await, "its key is rejected");
    assert!(
        all_answer(&mut fleet, "other", 401, Instant::now()).await,
        "the older one is in force"
    );
    fleet.close();
}

/// Guards against a service without servers: the store lost that a version move was completed, the
/// gateways did not write it again, and after their restart they rolled it back to servers that had
/// stopped (RECOVER).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completed_move_is_written_again_after_the_store_lost_it() {
    let mut fleet = GatewayFleet::start("lost-status", 0).await;
    fleet.start_gateways().await;
    fleet.start_version_move();
    fleet.send_until_move_ends(MOVE_TIME_LIMIT / 2).await;
    let copy = fleet.store.copy();
    let ended = fleet.send_until_move_ends(MOVE_TIME_LIMIT).await;
    for old in ["i-old-0", "i-old-1"] {
        fleet.crash(old);
    }
    fleet.success_share().await;

    come_back_from(&mut fleet, &copy).await;
    for old in ["i-old-0", "i-old-1"] {
        fleet.store.remove_server(old);
    }
    wait_for("the status to be written again", || async {
        (fleet.move_state().as_deref() == Some("completed")).then_some(())
    })
    .await;
    for index in 0..fleet.gateways.len() {
        fleet.gateways[index].process.kill().unwrap();
    }
    for index in 0..fleet.gateways.len() {
        fleet.restart_gateway(index).await;
    }
    let is_served = all_answer(&mut fleet, "key", 200, Instant::now() + RECOVERY_TIME).await;
    let (old_before, new_before) = fleet.runs_by_version();
    fleet.send_requests(40).await;
    fleet.success_share().await;

    assert!(ended.is_some(), "the version move did not end");
    assert!(is_served, "no requests are served");
    let (old, new) = fleet.runs_by_version();
    assert_eq!((old - old_before, new - new_before), (0, 40));
    assert_eq!(fleet.move_state().as_deref(), Some("completed"));
    fleet.close();
}

/// Guards against a version move that begins anew, or that VMs know under two positions: the store lost
/// its order, which is written again, and one gateway starts in between.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_move_goes_on_after_its_order_was_written_again() {
    let mut fleet = GatewayFleet::start("lost-order", 0).await;
    fleet.start_gateways().await;
    let copy = fleet.store.copy();
    fleet.start_version_move();
    let ordered = Instant::now();
    fleet.send_until_move_ends(MOVE_TIME_LIMIT / 3).await;

    come_back_from(&mut fleet, &copy).await;
    fleet.restart_gateway(0).await;
    fleet.start_version_move();
    let time_left = MOVE_TIME_LIMIT.saturating_sub(ordered.elapsed());
    let ended = fleet.send_until_move_ends(time_left).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let (old_before, new_before) = fleet.runs_by_version();
    fleet.send_requests(40).await;
    fleet.success_share().await;

    assert!(ended.is_some(), "the version move did not end within its time limit");
    assert_eq!(fleet.move_state().as_deref(), Some("completed"));
    let (old, new) = fleet.runs_by_version();
    assert_eq!((old - old_before, new - new_before), (0, 40));
    fleet.close();
}

/// Guards against gateways that start later and find no others: the store lost the registrations of
/// those that run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_registrations_of_gateways_are_written_again() {
    let mut fleet = GatewayFleet::start("lost-registrations", 0).await;
    let copy = fleet.store.copy();
    fleet.start_gateways().await;
    wait_for("both gateways to register", || async {
        (fleet.store.vm_names().len() == 2).then_some(())
    })
    .await;

    come_back_from(&mut fleet, &copy).await;

    wait_for("both gateways to register again", || async {
        (fleet.store.vm_names().len() == 2).then_some(())
    })
    .await;
    fleet.close();
}
