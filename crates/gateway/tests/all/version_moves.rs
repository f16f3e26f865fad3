//! Moves of a service to another version: the decisions as a state machine, tested under random
//! sequences of loss, delay, pauses, restarts and partitions.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{
    ExposureLimit, OldServers, TokenDemand, VersionMove, VersionMoveEvidence, VersionMovePhase,
    VersionMoveRecord, VersionMoveSpec, VersionRole,
};
use proptest::prelude::*;

use crate::fixtures::{ENGINES, at, key_of, position, query, record, report, view};

const LIMIT: ExposureLimit = ExposureLimit { share: 0.1, allowance: 50.0 };
const TIME_LIMIT: Duration = Duration::from_secs(12);
const VMS: usize = 4;
/// Offset of the order.
const ORDER: u64 = 3;
/// Latency of a response.
const RESPONSE_TIME: Duration = Duration::from_millis(30);

fn order() -> VersionMoveSpec {
    VersionMoveSpec { service: "desk".to_owned(), target: "v2".to_owned(), time_limit: TIME_LIMIT }
}

fn new_move(now_ms: u64) -> VersionMove {
    VersionMove::new(order(), position(ORDER), at(now_ms), now_ms)
}

/// Returns a version move with `count` results of each version. `old_bad` and `new_bad` are the
/// percentages of bad results.
fn watched(old_bad: u64, new_bad: u64, count: u64) -> VersionMove {
    let mut version_move = new_move(0);
    for index in 0..count {
        version_move.note_result("book", VersionRole::Old, index % 100 < old_bad, RESPONSE_TIME);
        version_move.note_result("book", VersionRole::New, index % 100 < new_bad, RESPONSE_TIME);
    }
    version_move
}

#[test]
fn version_that_fails_more_often_is_rolled_back() {
    assert!(watched(2, 40, 60).decide(OldServers::Busy, at(1_000)));
    assert!(!watched(8, 8, 400).decide(OldServers::Busy, at(1_000)));
}

/// About eight percent of lookups fail on every server. That must not count against a version.
#[test]
fn failures_of_both_versions_are_no_evidence() {
    let mut version_move = watched(40, 40, 300);

    assert!(!version_move.decide(OldServers::Busy, at(1_000)));
    assert_eq!(version_move.phase(), VersionMovePhase::Watching);
}

/// A version may be bad on one route only, which good results on other routes would hide.
#[test]
fn version_that_is_bad_on_one_route_is_rolled_back() {
    let mut version_move = watched(0, 0, 400);
    for index in 0..20 {
        version_move.note_result("look", VersionRole::Old, false, RESPONSE_TIME);
        version_move.note_result("look", VersionRole::New, index % 2 == 0, RESPONSE_TIME);
    }

    assert!(version_move.decide(OldServers::Busy, at(1_000)));
    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// A version may have no failures but take several times as long.
#[test]
fn slow_version_is_rolled_back() {
    let mut version_move = new_move(0);
    for index in 0..40 {
        version_move.note_result("book", VersionRole::Old, false, RESPONSE_TIME);
        let time = if index % 3 == 0 { RESPONSE_TIME * 6 } else { RESPONSE_TIME };
        version_move.note_result("book", VersionRole::New, false, time);
    }

    assert!(version_move.decide(OldServers::Busy, at(1_000)));
}

/// A version move without any results of the new version must not be completed.
#[test]
fn version_without_results_is_rolled_back_at_the_time_limit() {
    let mut version_move = new_move(0);

    assert!(version_move.decide(OldServers::Busy, at(11_000)), "it switches");
    assert!(version_move.decide(OldServers::Busy, at(11_500)));

    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// Guards against completing a move on a handful of results most of which are bad: too few to prove
/// the version bad, but more likely under a bad version than under a good one. Pattern: engines with
/// long generations and a low rate of requests, whose new version is several times slower.
#[test]
fn doubtful_version_is_rolled_back_at_the_time_limit() {
    let mut version_move = new_move(0);
    for index in 0..53 {
        version_move.note_result("classify", VersionRole::Old, index == 0, RESPONSE_TIME);
    }
    for index in 0..5 {
        version_move.note_result("classify", VersionRole::New, index < 3, RESPONSE_TIME);
    }

    let switches = version_move.decide(OldServers::Idle, at(11_000));
    let ends = version_move.decide(OldServers::Idle, at(11_500));

    assert!(!switches && ends);
    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// Guards against completing a move after the switch although the results since speak against the
/// version.
#[test]
fn version_that_becomes_doubtful_after_the_switch_is_not_completed() {
    let mut version_move = watched(0, 0, 6);
    assert!(version_move.decide(OldServers::Idle, at(11_000)), "it switches");
    for _ in 0..3 {
        version_move.note_result("book", VersionRole::New, true, RESPONSE_TIME);
    }

    version_move.decide(OldServers::Idle, at(11_500));

    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// Guards against counting the first results of a slow version as good, because the VM had no
/// response of the old version to compare them with since the move began.
#[test]
fn first_result_of_a_slow_version_is_compared_with_responses_before_the_move() {
    let mut fleet = view(&["a", "b"]);
    let old = key_of(&fleet, "e0");
    fleet.note_result(old, "reports", false, Duration::from_millis(300));
    let order = VersionMoveSpec { service: ENGINES.to_owned(), ..order() };
    fleet.start_version_move(order, position(ORDER), at(0), 0);
    let new = dragonflycart_gateway::ServerRecord {
        version: "v2".to_owned(),
        ..record(ENGINES, "a", 8_009)
    };
    fleet.apply_server("e9", new, position(9), at(0));

    let slow = key_of(&fleet, "e9");
    fleet.note_result(slow, "reports", false, Duration::from_millis(2_400));

    let version_move = fleet.version_move(ENGINES).unwrap();
    let [_, new] = version_move.own_evidence().results()["reports"];
    assert_eq!((new.good, new.bad), (0, 1));
}

/// A VM that was partitioned may decide differently from the others and must then follow the store.
#[test]
fn final_status_of_the_store_stands_above_what_vms_decided() {
    let mut version_move = watched(2, 60, 60);
    version_move.decide(OldServers::Busy, at(1_000));
    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
    let status = VersionMoveRecord { phase: VersionMovePhase::Completed, ..version_move.status() };

    assert!(version_move.note_status(&status, at(2_000), 2_000));
    version_move.note_peer(
        9,
        VersionMoveEvidence::default(),
        VersionMovePhase::RolledBack,
        at(2_100),
    );

    assert_eq!(version_move.phase(), VersionMovePhase::Completed);
    assert!(version_move.is_confirmed());
}

/// Guards against a completion that another VM decided on and that takes effect before the store has
/// it. The store may hold a rollback instead.
#[test]
fn completion_of_a_peer_takes_effect_only_through_the_store() {
    let mut version_move = new_move(0);
    version_move.note_statuses_read();
    version_move.note_peer(9, VersionMoveEvidence::default(), VersionMovePhase::Switching, at(900));
    let completed = VersionMovePhase::Completed;

    let changed = version_move.note_peer(9, VersionMoveEvidence::default(), completed, at(1_000));

    assert!(!changed);
    assert_eq!(version_move.phase(), VersionMovePhase::Switching);
    assert!(!version_move.is_outgoing(VersionRole::Old), "requests leave the old version");
    let status = VersionMoveRecord { phase: completed, ..version_move.status() };
    assert!(version_move.note_status(&status, at(1_100), 1_100));
    assert_eq!(version_move.phase(), completed);
}

/// Guards against a bad version that keeps all requests at a VM, because a peer decided to complete
/// the version move and could not write it.
#[test]
fn vm_rolls_back_although_a_peer_has_decided_to_complete() {
    let mut version_move = watched(2, 60, 60);
    version_move.note_statuses_read();
    let completed = VersionMovePhase::Completed;
    version_move.note_peer(9, VersionMoveEvidence::default(), completed, at(900));

    assert!(version_move.roll_back_if_bad(at(1_000)));

    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
    assert_eq!(version_move.next_role(LIMIT, VMS), VersionRole::Old);
}

/// Returns two judges that have read the same statuses and come to opposite decisions, the first one
/// to a rollback.
fn opposite_judges() -> [VersionMove; 2] {
    let mut judges = [watched(2, 60, 60), watched(2, 2, 60)];
    let switch_end = TIME_LIMIT.as_millis() as u64;
    for judge in &mut judges {
        judge.note_statuses_read();
        judge.note_peer(9, VersionMoveEvidence::default(), VersionMovePhase::Switching, at(100));
        judge.decide(OldServers::Busy, at(switch_end));
    }
    judges
}

/// Guards against two final statuses, or VMs that follow different ones, when the VM that decides is
/// replaced while it still acts: both write at the same time, in either order, and again.
#[test]
fn second_judge_follows_the_first_one_that_wrote() {
    for order in [[0, 1], [1, 0]] {
        let mut judges = opposite_judges();
        let phases = [judges[0].phase(), judges[1].phase()];
        assert_eq!(phases, [VersionMovePhase::RolledBack, VersionMovePhase::Completed]);
        let mut store = ModelStore::default();
        for index in [order[0], order[1], order[0], order[1]] {
            store.append(judges[index].status(), 0);
        }

        for judge in &mut judges {
            judge.note_status(&store.statuses[0], at(60_000), 60_000);
        }
        let [first, second] = &mut judges;
        first.note_peer(1, second.own_evidence().clone(), phases[1], at(60_100));
        second.note_peer(0, first.own_evidence().clone(), phases[0], at(60_100));

        assert_eq!(store.statuses.len(), 1, "{:?}", store.statuses);
        for judge in &mut judges {
            assert!(!judge.decide(OldServers::Idle, at(60_200)), "a judge decides again");
            assert_eq!(judge.phase(), phases[order[0]]);
        }
    }
}

/// After a rollback, the same version may be the target of a move again.
#[test]
fn status_of_an_earlier_order_is_ignored() {
    let mut version_move = new_move(0);
    let earlier = VersionMoveRecord {
        phase: VersionMovePhase::RolledBack,
        order: position(ORDER - 1),
        ..version_move.status()
    };

    assert!(!version_move.note_status(&earlier, at(10), 10));
    assert_eq!(version_move.phase(), VersionMovePhase::Watching);
}

/// Without this, the time limit would start again on a VM that restarts.
#[test]
fn restarted_vm_learns_when_the_order_came() {
    let mut version_move = new_move(9_000);
    let running = VersionMoveRecord { began_at_ms: 0, ..version_move.status() };

    version_move.note_status(&running, at(9_100), 9_100);

    assert_eq!(version_move.elapsed(at(9_100)), Duration::from_millis(9_100));
}

/// A VM that starts after a rollback would send requests to the bad version before it reads the
/// status.
#[test]
fn vm_that_has_read_no_status_sends_nothing_to_the_new_version() {
    let mut version_move = new_move(0);
    assert_eq!(version_move.next_role(LIMIT, 1), VersionRole::Old);

    version_move.note_statuses_read();

    assert_eq!(version_move.next_role(LIMIT, 1), VersionRole::New);
}

/// VM of the model: its version move, and the end of the table of statuses when it last read it.
struct ModelVm {
    version_move: VersionMove,
    known_end: Option<u64>,
}

/// Store of the model: the statuses in order.
#[derive(Default)]
struct ModelStore {
    statuses: Vec<VersionMoveRecord>,
}

impl ModelStore {
    fn final_phase(&self) -> Option<VersionMovePhase> {
        self.statuses.iter().map(|status| status.phase).find(|phase| phase.is_final())
    }

    /// Appends a status if the table ends at offset `at`.
    fn append(&mut self, status: VersionMoveRecord, at: u64) {
        if self.statuses.len() as u64 == at {
            self.statuses.push(status);
        }
    }
}

#[derive(Debug, Clone)]
enum ModelStep {
    /// A VM serves some requests.
    Serve { vm: usize, count: usize },
    /// A VM receives a report of another.
    Report { from: usize, to: usize },
    /// A VM decides on the version move and writes its decision, even if others do so too.
    Decide { vm: usize },
    /// A VM reads the statuses.
    Read { vm: usize },
    /// A VM restarts and loses its state.
    Restart { vm: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<ModelStep>> {
    let vm = 0..VMS;
    let step = prop_oneof![
        6 => (vm.clone(), 1..30_usize).prop_map(|(vm, count)| ModelStep::Serve { vm, count }),
        6 => (vm.clone(), vm.clone()).prop_map(|(from, to)| ModelStep::Report { from, to }),
        4 => vm.clone().prop_map(|vm| ModelStep::Decide { vm }),
        4 => vm.clone().prop_map(|vm| ModelStep::Read { vm }),
        1 => vm.prop_map(|vm| ModelStep::Restart { vm }),
        4 => (20..600_u64).prop_map(|millis| ModelStep::Wait { millis }),
    ];
    prop::collection::vec(step, 1..220)
}

/// Final state and counts of a run of the model.
struct ModelRun {
    store: ModelStore,
    vms: Vec<ModelVm>,
    sent: [u64; 2],
    /// Requests sent to the new version by VMs in the phase `Watching`.
    sent_new_watching: u64,
    restarts: u64,
}

/// Runs the steps. `new_bad` is the percentage of bad results of the new version.
fn play(steps: &[ModelStep], new_bad: u64) -> ModelRun {
    let mut run = ModelRun {
        store: ModelStore::default(),
        vms: (0..VMS).map(|_| ModelVm { version_move: new_move(0), known_end: None }).collect(),
        sent: [0; 2],
        sent_new_watching: 0,
        restarts: 0,
    };
    let mut now_ms = 0;
    for step in steps {
        let now: MonoTime = at(now_ms);
        match *step {
            ModelStep::Serve { vm, count } => {
                for _ in 0..count {
                    let version_move = &mut run.vms[vm].version_move;
                    let role = version_move.next_role(LIMIT, VMS);
                    version_move.note_sent(role);
                    run.sent[role as usize] += 1;
                    if role == VersionRole::New
                        && version_move.phase() == VersionMovePhase::Watching
                    {
                        run.sent_new_watching += 1;
                    }
                    let number = run.sent[role as usize] * 37;
                    let is_bad = role == VersionRole::New && number % 100 < new_bad;
                    version_move.note_result("book", role, is_bad, RESPONSE_TIME);
                }
            }
            ModelStep::Report { from, to } if from != to => {
                let evidence = run.vms[from].version_move.own_evidence().clone();
                let phase = run.vms[from].version_move.phase();
                run.vms[to].version_move.note_peer(from as u64, evidence, phase, now);
            }
            ModelStep::Report { .. } => {}
            ModelStep::Decide { vm } => {
                let ModelVm { version_move, known_end } = &mut run.vms[vm];
                version_move.decide(OldServers::Busy, now);
                if let Some(end) = known_end.filter(|_| !version_move.is_confirmed()) {
                    run.store.append(version_move.status(), end);
                }
            }
            ModelStep::Read { vm } => {
                let ModelVm { version_move, known_end } = &mut run.vms[vm];
                *known_end = Some(run.store.statuses.len() as u64);
                version_move.note_statuses_read();
                for status in &run.store.statuses {
                    version_move.note_status(status, now, now_ms);
                }
            }
            ModelStep::Restart { vm } => {
                run.restarts += 1;
                run.vms[vm] = ModelVm { version_move: new_move(now_ms), known_end: None };
            }
            ModelStep::Wait { millis } => now_ms += millis,
        }
    }
    run
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Two VMs that decide without knowing of each other could write both a completion and a
    /// rollback.
    #[test]
    fn store_never_holds_two_final_phases(steps in steps(), new_bad in 0..60_u64) {
        let run = play(&steps, new_bad);

        let finals: Vec<_> =
            run.store.statuses.iter().filter(|status| status.phase.is_final()).collect();
        prop_assert!(finals.iter().all(|status| status.phase == finals[0].phase), "{finals:?}");
    }

    /// A VM that was partitioned, paused or restarted must not revert the result in the store.
    #[test]
    fn vm_that_read_the_result_follows_it(steps in steps(), new_bad in 0..60_u64) {
        let mut run = play(&steps, new_bad);

        let Some(phase) = run.store.final_phase() else { return Ok(()) };
        for vm in &mut run.vms {
            for status in &run.store.statuses {
                vm.version_move.note_status(status, at(60_000), 60_000);
            }
            prop_assert_eq!(vm.version_move.phase(), phase);
            let role = vm.version_move.next_role(LIMIT, VMS);
            prop_assert_eq!(role == VersionRole::New, phase == VersionMovePhase::Completed);
        }
    }

    /// The canary's share must hold for the sum over all VMs although they do not coordinate.
    #[test]
    fn watched_version_gets_its_share_in_sum(steps in steps(), new_bad in 0..60_u64) {
        let run = play(&steps, new_bad);

        let total = (run.sent[0] + run.sent[1]) as f64;
        let per_vm = 0.2 * LIMIT.allowance / VMS as f64;
        let starts = (VMS as u64 + run.restarts) as f64;
        let limit = 0.5 * LIMIT.share * total + per_vm * starts + starts;
        let sent = run.sent_new_watching as f64;
        prop_assert!(sent <= limit, "{sent} of {total}, limit {limit}");
    }
}

/// Servers of the new version register like all others. They got requests in proportion to their
/// number.
#[test]
fn requests_go_to_the_new_version_only_within_its_share() {
    let mut view = view(&["a", "a"]);
    let mut new_version = record(ENGINES, "a", 8_001);
    new_version.version = "v2".to_owned();
    view.apply_server("e1", new_version, position(9), at(0));
    let order = VersionMoveSpec { service: ENGINES.to_owned(), ..order() };
    assert!(view.start_version_move(order.clone(), position(ORDER), at(0), 0));
    assert!(!view.start_version_move(order, position(ORDER), at(5), 5), "the same record again");
    view.note_statuses_read();
    let excluded = BTreeSet::new();

    let mut at_new = 0;
    for _ in 0..400 {
        let placement = view.place(&query(TokenDemand::default(), &excluded), at(10)).unwrap();
        at_new += u64::from(placement.id == "e1");
        view.release(placement.server, placement.load);
    }

    assert_eq!(at_new, 30, "a twentieth of 400, and 10");
    let status = VersionMoveRecord {
        phase: VersionMovePhase::Completed,
        ..view.version_move(ENGINES).unwrap().status()
    };
    view.note_version_move_status(&status, at(20), 20);
    assert!(view.is_leaving(key_of(&view, "e0")), "generations of the old version move");
    assert_eq!(view.place(&query(report(), &excluded), at(30)).unwrap().id, "e1");
}
