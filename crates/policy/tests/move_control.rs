//! State machine of one version move on one VM.

use std::time::Duration;

use dragonflycart_core::{Incarnation, ModelName, RouteName, VersionMove, VersionName, WallTime};
use dragonflycart_policy::{
    MoveControl, MoveCounts, MoveDecision, MoveEvidence, MoveReason, MoveSettings, MoveState,
    VersionRole,
};

const START_S: u64 = 10_000;
const SPAN_S: u64 = 1_200;

fn at(second: u64) -> WallTime {
    WallTime::from_unix_millis(second * 1_000)
}

fn plan() -> VersionMove {
    VersionMove {
        model: ModelName::new("assistant").unwrap(),
        from: VersionName::new("v1").unwrap(),
        to: VersionName::new("v2").unwrap(),
        start: at(START_S),
        deadline: at(START_S + SPAN_S),
    }
}

/// One VM with deterministic traffic: with a failure rate of `rate`, every `1 / rate`-th request
/// fails.
struct MoveHarness {
    control: MoveControl,
    evidence: MoveEvidence,
    last: MoveDecision,
    /// Reason of the last transition.
    reason: Option<MoveReason>,
    new_requests: f64,
    /// Fractional requests and failures of both versions, carried over to the next second.
    carry: [[f64; 2]; 2],
}

impl MoveHarness {
    fn new(created_s: u64) -> MoveHarness {
        let settings = MoveSettings { watch: Duration::from_secs(600), ..MoveSettings::default() };
        let mut control = MoveControl::new(&plan(), settings, at(created_s));
        let mut evidence = MoveEvidence::default();
        let last = control.tick(at(created_s), &mut evidence, MoveState::Running);
        let carry = [[0.0; 2]; 2];
        MoveHarness { control, evidence, last, reason: None, new_requests: 0.0, carry }
    }

    /// Runs one second of traffic on one route with failure rates of the old and new version.
    fn second(&mut self, now_s: u64, requests: f64, failing: [f64; 2]) {
        self.step(now_s, requests, failing, |total, bad| MoveCounts {
            finished: total - bad,
            failed: bad,
            slow: 0,
        });
    }

    /// Runs one second of traffic with rates of bad requests, which `counts` turns into counters.
    fn step(
        &mut self,
        now_s: u64,
        requests: f64,
        failing: [f64; 2],
        counts: fn(u64, u64) -> MoveCounts,
    ) {
        let route = RouteName::new("report").unwrap();
        let share = self.last.shares.share(&route);
        self.new_requests += requests * share;
        for (role, part) in [(VersionRole::Old, 1.0 - share), (VersionRole::New, share)] {
            let carry = &mut self.carry[role as usize];
            carry[0] += requests * part;
            let total = carry[0].floor();
            carry[0] -= total;
            carry[1] += total * failing[role as usize];
            let failed = carry[1].floor().min(total);
            carry[1] -= failed;
            let counts = counts(total as u64, failed as u64);
            self.evidence.merge(Incarnation(1), now_s, (&route, role), counts);
        }
        self.last = self.control.tick(at(now_s + 1), &mut self.evidence, MoveState::Running);
        self.reason = self.last.transition_reason.clone().or(self.reason.take());
    }

    /// Runs traffic of which no request fails and the given rates of both versions are slow.
    fn run_slow(&mut self, from_s: u64, until_s: u64, requests: f64, slow: [f64; 2]) {
        for now_s in from_s..until_s {
            self.step(now_s, requests, slow, |total, bad| MoveCounts {
                finished: total,
                failed: 0,
                slow: bad,
            });
        }
    }

    fn run(&mut self, from_s: u64, until_s: u64, requests: f64, failing: [f64; 2]) {
        for now_s in from_s..until_s {
            self.second(now_s, requests, failing);
        }
    }

    fn share(&self) -> f64 {
        self.last.shares.overall
    }
}

/// Guards against a good move that misses its deadline, and against traffic before its start.
#[test]
fn a_good_move_is_done_before_the_deadline() {
    let mut harness = MoveHarness::new(START_S - 60);
    harness.run(START_S - 60, START_S - 1, 50.0, [0.002, 0.002]);
    assert_eq!(harness.new_requests, 0.0);

    harness.run(START_S - 1, START_S + SPAN_S, 50.0, [0.002, 0.002]);

    assert_eq!(harness.last.state, MoveState::Done);
    assert_eq!(harness.share(), 1.0);
    assert!(!harness.last.may_unload, "the old version must stay loaded until the watch time ends");
}

/// Guards against a limit on the requests at risk that grows with the traffic volume.
#[test]
fn a_bad_version_gets_few_requests_at_any_volume() {
    for requests in [20.0, 400.0, 4_000.0] {
        let mut harness = MoveHarness::new(START_S - 60);
        harness.run(START_S - 60, START_S, requests, [0.002, 0.002]);
        harness.run(START_S, START_S + 120, requests, [0.002, 0.4]);

        assert_eq!(harness.last.state, MoveState::RolledBack, "at {requests} requests/s");
        assert_eq!(harness.share(), 0.0);
        assert!(harness.new_requests < 40.0, "{} at {requests} requests/s", harness.new_requests);
    }
}

/// Guards against a rollback caused by a platform fault that affects both versions.
#[test]
fn a_common_fault_does_not_roll_back() {
    let mut harness = MoveHarness::new(START_S - 60);
    harness.run(START_S - 60, START_S + 500, 50.0, [0.002, 0.002]);
    harness.run(START_S + 500, START_S + 560, 50.0, [0.4, 0.4]);
    harness.run(START_S + 560, START_S + SPAN_S, 50.0, [0.002, 0.002]);
    assert_eq!(harness.last.state, MoveState::Done);
}

/// Guards against a good version that is rolled back because a lasting part of the requests of both
/// versions is slow: its credit did not grow, and each alarm discarded the requests that prove it
/// good.
#[test]
fn a_version_that_is_as_slow_as_the_old_one_is_done() {
    for slow in [0.2, 0.45, 0.8] {
        let mut harness = MoveHarness::new(START_S - 60);
        harness.run_slow(START_S - 60, START_S + SPAN_S, 50.0, [slow, slow]);

        let decision = &harness.last;
        assert_eq!(decision.state, MoveState::Done, "{slow}: {:?}", harness.reason);
    }
}

/// Guards against a version that keeps its requests because the old one is slow, too.
#[test]
fn a_version_that_is_slower_than_a_slow_old_one_is_rolled_back() {
    for [old, new] in [[0.2, 0.6], [0.45, 0.9], [0.2, 0.45]] {
        let mut harness = MoveHarness::new(START_S - 60);
        harness.run_slow(START_S - 60, START_S + SPAN_S, 50.0, [old, new]);

        assert_eq!(harness.last.state, MoveState::RolledBack, "{old} {new}");
        println!("slow {old} and {new}: {} requests", harness.new_requests);
    }
}

/// Guards against keeping a version that turns bad after the move is done, when the old version no
/// longer gets requests to compare with.
#[test]
fn a_version_that_turns_bad_after_done_is_rolled_back() {
    let mut harness = MoveHarness::new(START_S - 60);
    harness.run(START_S - 60, START_S + SPAN_S, 50.0, [0.002, 0.002]);
    assert_eq!(harness.last.state, MoveState::Done);

    harness.run(START_S + SPAN_S, START_S + SPAN_S + 60, 50.0, [0.002, 0.3]);

    assert_eq!(harness.last.state, MoveState::RolledBack);
}

/// Guards against a move without traffic that is not ended before its deadline, or not given a
/// reason.
#[test]
fn a_move_without_evidence_ends_before_the_deadline_with_a_reason() {
    let mut harness = MoveHarness::new(START_S - 60);
    for now_s in START_S..START_S + SPAN_S {
        harness.last = harness.control.tick(at(now_s), &mut harness.evidence, MoveState::Running);
        if let Some(reason) = &harness.last.transition_reason {
            assert_eq!(*reason, MoveReason::TooLittleTraffic { requests: 0, needed: 30 });
            assert!(now_s < START_S + SPAN_S);
        }
    }
    assert_eq!(harness.last.state, MoveState::RolledBack);
}

/// Guards against a VM that starts shortly before the deadline and rolls back a good move because
/// the counters and states of the other VMs have not arrived yet.
#[test]
fn a_new_vm_does_not_decide_from_a_lack_of_evidence_before_the_deadline() {
    let created_s = START_S + SPAN_S - 12;
    let mut harness = MoveHarness::new(created_s);
    for now_s in created_s..START_S + SPAN_S {
        harness.last = harness.control.tick(at(now_s), &mut harness.evidence, MoveState::Running);
        assert_eq!(harness.last.state, MoveState::Running, "{} s", now_s - created_s);
        assert_eq!(harness.share(), 0.0);
    }
    harness.last =
        harness.control.tick(at(START_S + SPAN_S), &mut harness.evidence, MoveState::Running);
    assert_eq!(harness.last.state, MoveState::RolledBack);
}

/// Guards against a late message that undoes a rollback, and against requests to the new version
/// after another VM reported a rollback.
#[test]
fn a_rollback_stops_new_work_at_once_and_stays() {
    let mut harness = MoveHarness::new(START_S - 60);
    harness.run(START_S - 60, START_S + 300, 50.0, [0.002, 0.002]);
    assert!(harness.share() > 0.0);

    let now = at(START_S + 301);
    let decision = harness.control.tick(now, &mut harness.evidence, MoveState::RolledBack);
    assert_eq!(decision.transition_reason, Some(MoveReason::Peer));
    assert_eq!(decision.shares.overall, 0.0);

    let decision = harness.control.tick(now, &mut harness.evidence, MoveState::Done);
    assert_eq!(decision.state, MoveState::RolledBack);
    assert_eq!(decision.transition_reason, None);
}

/// Guards against a reason that shows the counts of the whole move, which hide that the version
/// turned bad late.
#[test]
fn the_reason_shows_the_recent_counts() {
    let mut harness = MoveHarness::new(START_S - 60);
    harness.run(START_S - 60, START_S + 600, 50.0, [0.002, 0.002]);
    for now_s in START_S + 600..START_S + 660 {
        harness.second(now_s, 50.0, [0.002, 0.4]);
        if harness.last.transition_reason.is_some() {
            break;
        }
    }
    let Some(MoveReason::Worse { counts, .. }) = harness.last.transition_reason else {
        panic!("not rolled back: {:?}", harness.last);
    };
    assert!(counts.new < 10_000, "{counts:?}");
    assert!(counts.new_bad * 100 > counts.new, "{counts:?}");
}
