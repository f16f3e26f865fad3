//! Failures of the parts of hard load, one each, with a few real gateway processes.

mod answered_request;
mod load_fleet;
mod load_options;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dragonflycart_standins::{FakeCloud, LoadHeaderMode, RunLog, StoreMode};
use tokio::time::Instant;

use self::{
    answered_request::AnsweredRequest,
    load_fleet::{LoadFleet, is_whole},
    load_options::LoadOptions,
};
use crate::support::wait_for;

/// Usual pace of the runners of service `desk`, in percent of the usual time of the fake.
const DESK_PACE: u32 = 200;
/// The same where a slow server has to be found by its results: calls of 100 ms, since the delays of a
/// busy machine hide a difference of 30 ms.
const LONG_CALL_PACE: u32 = 1_000;
/// Pace of a server in a slow phase, as a multiple of its usual one: 2.5.
const SLOW_PHASE: (u32, u32) = (5, 2);
/// Duration of a slow phase, and of the time between two of them.
const PHASE_TIME: Duration = Duration::from_millis(300);
/// Number of slow phases.
const PHASES: u32 = 10;
/// Learned speed below which a server counts as slower than the others, in percent. A server that
/// is 2.5 times slower has 40.
const SLOW_SPEED: f64 = 70.0;
/// Learned speed from which a server counts as fast as the others, in percent.
const USUAL_SPEED: f64 = 85.0;
/// Requests between two looks at the learned speeds.
const REQUESTS_PER_LOOK: u64 = 20;
/// Maximum number of requests until the learned speeds are as expected. A learned speed begins
/// to fade after 10 s without samples, in which some 400 requests are sent.
const REQUESTS_LIMIT: u64 = 4_000;

/// Time between two rounds of calls, one at each of four gateways. The servers need 400 ms for a
/// round, so that calls have to wait within a few rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of rounds until a call waits.
const ROUNDS_LIMIT: u32 = 40;
/// Number of calls after which the retry budget of a VM that has just started allows a retry.
const CALLS_FOR_A_RETRY: u32 = 200;
/// Pause between these calls.
const CALL_PAUSE: Duration = Duration::from_millis(15);
/// Number of servers that a resumable stream may run on, as in the plan.
const MAX_ATTEMPTS: usize = 2;

/// Sends requests until a gateway has learned that a server is slow.
async fn send_until_slow_server_is_known(fleet: &mut LoadFleet) {
    send_until_speeds(fleet, |speeds| speeds.iter().any(|speed| *speed < SLOW_SPEED)).await;
}

/// Sends requests until no gateway counts a server as slow.
async fn send_until_speeds_are_usual(fleet: &mut LoadFleet) {
    send_until_speeds(fleet, |speeds| speeds.iter().all(|speed| *speed >= USUAL_SPEED)).await;
}

/// Sends requests until `are_awaited` holds for the speeds of the slowest server at each gateway.
async fn send_until_speeds(fleet: &mut LoadFleet, are_awaited: fn(&[f64]) -> bool) {
    let mut sent = 0;
    loop {
        fleet.send_requests(REQUESTS_PER_LOOK).await;
        sent += REQUESTS_PER_LOOK;
        let speeds = fleet.slowest_speeds().await;
        if are_awaited(&speeds) {
            println!("slowest servers after {sent} requests: {speeds:?}");
            return;
        }
        assert!(sent < REQUESTS_LIMIT, "slowest servers: {speeds:?}");
    }
}

/// Asserts that each request was served whole by one run, or two runs if it may be repeated.
fn assert_served_once(answers: &[AnsweredRequest], log: &RunLog) {
    assert!(!answers.is_empty());
    for answered in answers {
        let AnsweredRequest { gateway, request, response } = answered;
        assert!(is_whole(request, response), "gateway {gateway}, {}: {response:?}", request.id);
        let parts = log.parts(&request.id);
        // On a busy machine, a resumable stream may be silent for so long that it runs again.
        let limit = if request.path == "/feeds/f" { MAX_ATTEMPTS } else { 1 };
        assert!((1..=limit).contains(&parts.len()), "{}: {parts:?}", request.id);
    }
}

/// Guards against requests that are refused or run twice because the load header disappears,
/// against a slow server that is not noticed by its results alone, and against a low learned speed
/// that stays when the server is fast again and the header returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_are_judged_by_results_while_the_load_header_is_missing() {
    let options = LoadOptions { desk_pace: LONG_CALL_PACE, ..LoadOptions::default() };
    let mut fleet = LoadFleet::start("header-gone", options).await;
    fleet.send_requests(100).await;

    fleet.set_load_headers(LoadHeaderMode::Absent);
    fleet.runner("i-desk-0").set_pace(LONG_CALL_PACE * SLOW_PHASE.0 / SLOW_PHASE.1);
    send_until_slow_server_is_known(&mut fleet).await;
    fleet.runner("i-desk-0").set_pace(LONG_CALL_PACE);
    fleet.set_load_headers(LoadHeaderMode::Sound);
    send_until_speeds_are_usual(&mut fleet).await;
    let answers = fleet.wait_answers().await;

    assert_served_once(&answers, &fleet.log);
    fleet.close();
}

/// Guards against requests that are refused or run twice while a server is 2.5 times slower for
/// some hundred milliseconds again and again, and against a low learned speed that stays
/// afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_while_servers_have_slow_phases() {
    let mut fleet = LoadFleet::start("slow-phases", LoadOptions::default()).await;
    let requests_per_phase = 15;

    for _ in 0..PHASES {
        for (slow, divisor) in [SLOW_PHASE, (1, 1)] {
            fleet.runner("i-desk-0").set_pace(DESK_PACE * slow / divisor);
            fleet.runner("i-engine-0").set_pace(100 * slow / divisor);
            let phase_end = Instant::now() + PHASE_TIME;
            fleet.send_requests(requests_per_phase).await;
            tokio::time::sleep_until(phase_end).await;
        }
    }
    send_until_speeds_are_usual(&mut fleet).await;
    let answers = fleet.wait_answers().await;

    assert_served_once(&answers, &fleet.log);
    fleet.close();
}

/// Guards against calls that are lost, run twice, or are refused although they ran, when half of
/// the VMs are restarted one after the other while calls wait for slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_calls_survive_the_restart_of_half_of_the_vms() {
    // Two servers with one slot each that need 200 ms for a call.
    let options = LoadOptions {
        gateways: 4,
        engines: 1,
        desks: 2,
        desk_slots: 1,
        desk_pace: 2_000,
        cloud: None,
    };
    let mut fleet = LoadFleet::start("restarts", options).await;

    for restarted in 0..2 {
        let mut rounds = 0;
        while fleet.metric(restarted, "waiting_calls").await < 1.0 {
            assert!(rounds < ROUNDS_LIMIT, "no call waits at the VM");
            rounds += 1;
            for gateway in 0..4 {
                fleet.send_call(gateway);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        fleet.terminate(restarted);
        fleet.restart_stopped(restarted).await;
    }
    let mut answers = fleet.wait_answers().await;
    // Callers repeat a call once that was refused as not run.
    let mut refused = 0;
    for answered in &mut answers {
        if answered.response.status != Some(503) {
            continue;
        }
        let runs = fleet.log.parts(&answered.request.id);
        assert!(runs.is_empty(), "{} was refused, but ran: {runs:?}", answered.request.id);
        *answered = fleet.send_again(answered, 3).await;
        refused += 1;
    }

    println!("{refused} of {} calls were refused at first", answers.len());
    assert_served_once(&answers, &fleet.log);
    fleet.close();
}

/// Guards against a part of the gateway that needs the store while it serves requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_while_the_store_is_unavailable_throughout() {
    let options = LoadOptions { desk_pace: LONG_CALL_PACE, ..LoadOptions::default() };
    let mut fleet = LoadFleet::start("no-store", options).await;
    fleet.store().set_mode(StoreMode::Reset);

    // More than twice as long as registrations last, and with a slow server.
    fleet.runner("i-desk-0").set_pace(LONG_CALL_PACE * SLOW_PHASE.0 / SLOW_PHASE.1);
    send_until_slow_server_is_known(&mut fleet).await;
    fleet.runner("i-desk-0").set_pace(LONG_CALL_PACE);
    fleet.send_requests(300).await;
    send_until_speeds_are_usual(&mut fleet).await;
    let answers = fleet.wait_answers().await;

    assert_served_once(&answers, &fleet.log);
    fleet.close();
}

/// Guards against a team that is charged twice for a stream that ran again at another server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_continues_at_another_server_counts_once_in_the_usage() {
    let cloud = FakeCloud::start().await;
    let options = LoadOptions { cloud: Some(cloud.address()), ..LoadOptions::default() };
    let mut fleet = LoadFleet::start("usage-once", options).await;
    // Windows before the first holder of the duties are not reported.
    wait_for("a first report", || async { cloud.calls("/usage").first().map(|_| ()) }).await;
    // A VM that has just started has no retry.
    for _ in 0..CALLS_FOR_A_RETRY {
        fleet.send_call(0);
        tokio::time::sleep(CALL_PAUSE).await;
    }
    let mut answers = fleet.wait_answers().await;

    let id = fleet.send_feed(0, 1_200);
    wait_for("events of the stream", || async { (fleet.log.events(&id) >= 20).then_some(()) })
        .await;
    fleet.runner(&fleet.log.parts(&id)[0].runner).crash();
    answers.extend(fleet.wait_answers().await);
    let end_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs();
    let reports = wait_for("reports of all windows until then", || async {
        let calls = cloud.calls("/usage");
        let windows = calls.into_iter().map(|call| call.body);
        let reports: BTreeMap<u64, u64> = windows
            .map(|body| {
                let count = body["counts"]["studio"].as_u64().unwrap_or(0);
                (body["window_id"].as_u64().unwrap(), count)
            })
            .collect();
        reports.keys().any(|window| *window > end_s).then_some(reports)
    })
    .await;

    assert_eq!(fleet.log.parts(&id).len(), 2, "the stream did not run again");
    for AnsweredRequest { request, response, .. } in &answers {
        assert!(is_whole(request, response), "{}: {response:?}", request.id);
    }
    assert_eq!(reports.values().sum::<u64>(), answers.len() as u64, "{reports:?}");
    fleet.close();
}
