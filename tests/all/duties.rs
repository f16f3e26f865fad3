//! Duties of real gateway processes: what the fake platform received is compared with the requests
//! that the fake servers began to run.

use std::time::{SystemTime, UNIX_EPOCH};

use dragonflycart_standins::{CloudMode, StoreMode};

use crate::support::{DutyFleet, LEASE, UsageRun, wait_for};

/// Time before the loss of a VM, in milliseconds, in which its counts may be lost: half a second by
/// the requirement, and as much again for a busy machine.
const LOSS_MS: u64 = 1_000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns whether a gateway that was lost at a time may have lost the count of a request.
fn lost_with(gateway: usize, lost_at: u64) -> impl Fn(&UsageRun) -> bool {
    move |run| run.gateway == gateway && run.latest.saturating_add(LOSS_MS) >= lost_at
}

/// Guards against requests that are counted twice, not at all, in the wrong window or for the wrong
/// team.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_agree_with_the_requests_that_ran() {
    let fleet = DutyFleet::start("duties-plain").await;

    fleet.wait_reports(6).await;

    assert_eq!(fleet.finish(|_| false).await, Vec::<String>::new());
}

/// Guards against a window that is lost or reported twice, and against the loss of what the holder
/// itself counted, when it is killed during a call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_outlast_a_holder_killed_in_a_call() {
    let mut fleet = DutyFleet::start("duties-kill").await;
    fleet.wait_reports(2).await;

    fleet.cloud.set_mode(CloudMode::Silent);
    let call = fleet.wait_reports(1).await;
    let holder = DutyFleet::caller(&call);
    let killed_at = unix_ms();
    fleet.gateways[holder].process.kill().unwrap();
    fleet.traffic.avoid(holder);
    fleet.cloud.set_mode(CloudMode::Up);
    let next = fleet.wait_reports(4).await;

    assert_ne!(next.holder, call.holder);
    let repeated = fleet.reports().iter().filter(|other| other.body == call.body).count();
    assert!(repeated >= 2, "the unanswered report was not sent again");
    assert_eq!(fleet.finish(lost_with(holder, killed_at)).await, Vec::<String>::new());
}

/// Lets the platform refuse calls until the holder has a report that it repeats.
async fn hold_up_reports(fleet: &DutyFleet) {
    let known = fleet.cloud.refusals();
    fleet.cloud.set_mode(CloudMode::Busy);
    wait_for("refusals", async || (fleet.cloud.refusals() >= known + 2).then_some(())).await;
}

/// Guards against a stopped holder that acts after it is continued, although another VM took over.
/// It has a report that it would send at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn continued_holder_does_not_act_for_its_successor() {
    let fleet = DutyFleet::start("duties-stop").await;
    let call = fleet.wait_reports(2).await;

    let holder = DutyFleet::caller(&call);
    hold_up_reports(&fleet).await;
    let stopped_at = unix_ms();
    fleet.gateways[holder].process.pause().unwrap();
    fleet.traffic.avoid(holder);
    fleet.cloud.set_mode(CloudMode::Up);
    wait_for("another holder", async || {
        fleet.reports().iter().any(|other| other.holder != call.holder).then_some(())
    })
    .await;
    fleet.gateways[holder].process.resume().unwrap();
    fleet.traffic.use_again(holder, fleet.gateways[holder].http_address);
    fleet.wait_reports(5).await;

    assert_eq!(fleet.finish(lost_with(holder, stopped_at)).await, Vec::<String>::new());
}

/// Guards against a holder that acts without a lease, and against counts that are lost while no VM
/// can hold it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_outlast_an_outage_of_the_store() {
    let fleet = DutyFleet::start("duties-store").await;
    fleet.wait_reports(2).await;

    hold_up_reports(&fleet).await;
    fleet.store.set_mode(StoreMode::Silent);
    tokio::time::sleep(LEASE * 2).await;
    fleet.cloud.set_mode(CloudMode::Up);
    let silent_from = fleet.reports().len();
    tokio::time::sleep(LEASE * 4).await;
    let silent_to = fleet.reports().len();
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait_reports(6).await;

    assert_eq!(silent_from, silent_to, "a holder acted without a lease");
    assert_eq!(fleet.finish(|_| false).await, Vec::<String>::new());
}

/// Guards against reports that are lost or change while the platform refuses calls, does not answer
/// them or accepts them without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_outlast_outages_of_the_platform() {
    let fleet = DutyFleet::start("duties-platform").await;
    fleet.wait_reports(2).await;

    hold_up_reports(&fleet).await;
    for mode in [CloudMode::Silent, CloudMode::AnswerLost] {
        let known = fleet.reports().len();
        fleet.cloud.set_mode(mode);
        wait_for("repeated calls", async || (fleet.reports().len() >= known + 2).then_some(()))
            .await;
    }
    fleet.cloud.set_mode(CloudMode::Up);
    fleet.wait_reports(4).await;

    assert_eq!(fleet.finish(|_| false).await, Vec::<String>::new());
}
