//! Version moves beside other trouble: versions that turn bad late, and old servers that fail, are
//! slow or are lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_gateway::{
    BootTime, FleetView, OldServers, PauseGuard, RunEnd, ServerRecord, TokenDemand, UsualResults,
    VersionMove, VersionMoveEvidence, VersionMovePhase, VersionMoveRecord, VersionMoveSpec,
    VersionRole,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::fixtures::{ENGINES, at, key_of, position, query, record, report, view};

/// Number of bad results after which a bad version must get no more requests.
const BAD_RESULTS_ALLOWED: usize = 50;
/// Latency of a response.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Latency of a response of a server that works eight times slower.
const SLOW_TIME: Duration = Duration::from_millis(2_400);
/// Share of the moves to a sound version that must be completed.
const COMPLETED_SHARE: f64 = 0.99;
/// Number of version moves in a random experiment.
const MOVES: u64 = 200;

fn order() -> VersionMoveSpec {
    VersionMoveSpec {
        service: ENGINES.to_owned(),
        target: "v2".to_owned(),
        time_limit: Duration::from_secs(18),
    }
}

/// Returns the usual results of a route that fails `percent` of its requests.
fn usual(percent: u64) -> UsualResults {
    let time_ms = RESPONSE_TIME.as_secs_f64() * 1_000.0;
    UsualResults { time_ms, pause_ms: 0.0, bad: percent, total: 100 }
}

fn new_move(usual: UsualResults) -> VersionMove {
    let usual = BTreeMap::from([("reports".to_owned(), usual)]);
    VersionMove::new(order(), position(3), at(0), 0).with_usual(usual)
}

/// Returns a view with two engines of the old version, `e0` and `e1`, two of the new one, `n0` and
/// `n1`, and a version move whose status is known.
fn moving_fleet() -> FleetView {
    let mut fleet = view(&["a", "a"]);
    for index in 0..2 {
        let new = ServerRecord { version: "v2".to_owned(), ..record(ENGINES, "a", 8_010 + index) };
        fleet.apply_server(&format!("n{index}"), new, position(10 + u64::from(index)), at(0));
    }
    fleet.start_version_move(order(), position(3), at(0), 0);
    fleet.note_statuses_read();
    fleet
}

/// Records results of the new version, of which every second is bad, until the version move ends.
/// `old` are the results of the old version that come with each of them. Returns the number of bad
/// results.
fn count_bad_until_rollback(
    version_move: &mut VersionMove,
    old: &[(bool, Duration)],
    bad: (bool, Duration),
) -> usize {
    let mut count = 0;
    for index in 0..4 * BAD_RESULTS_ALLOWED {
        for (is_failure, time) in old {
            version_move.note_result("reports", VersionRole::Old, *is_failure, *time);
        }
        let (is_failure, time) = if index % 2 == 0 { bad } else { (false, RESPONSE_TIME) };
        version_move.note_result("reports", VersionRole::New, is_failure, time);
        count += usize::from(index % 2 == 0);
        if version_move.decide(OldServers::Busy, at(1_000)) {
            assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
            return count;
        }
    }
    count
}

/// Guards against good results from before a version turned bad that outweigh the bad ones.
#[test]
fn version_that_turns_bad_after_many_good_results_is_rolled_back() {
    let mut version_move = new_move(usual(0));
    for _ in 0..1_000 {
        version_move.note_result("reports", VersionRole::Old, false, RESPONSE_TIME);
        version_move.note_result("reports", VersionRole::New, false, RESPONSE_TIME);
        version_move.decide(OldServers::Busy, at(500));
    }

    let old = [(false, RESPONSE_TIME)];
    let bad = count_bad_until_rollback(&mut version_move, &old, (true, RESPONSE_TIME));

    assert!(bad <= BAD_RESULTS_ALLOWED / 2, "{bad} bad results");
}

/// Guards against the same where nothing is known from before the version move, so that only the
/// comparison with the old version can tell.
#[test]
fn version_that_turns_bad_late_is_rolled_back_without_usual_results() {
    let mut version_move = VersionMove::new(order(), position(3), at(0), 0);
    for _ in 0..1_000 {
        version_move.note_result("reports", VersionRole::Old, false, RESPONSE_TIME);
        version_move.note_result("reports", VersionRole::New, false, RESPONSE_TIME);
        version_move.decide(OldServers::Busy, at(500));
    }

    let old = [(false, RESPONSE_TIME)];
    let bad = count_bad_until_rollback(&mut version_move, &old, (true, RESPONSE_TIME));

    assert!(bad <= BAD_RESULTS_ALLOWED / 2, "{bad} bad results");
}

/// Guards against a bad version that looks no worse than the old one, because servers of the old
/// version fail at the same time.
#[test]
fn failing_old_servers_do_not_excuse_a_bad_version() {
    let mut version_move = new_move(usual(0));

    let old = [(true, RESPONSE_TIME), (false, RESPONSE_TIME)];
    let bad = count_bad_until_rollback(&mut version_move, &old, (true, RESPONSE_TIME));

    assert!(bad < BAD_RESULTS_ALLOWED, "{bad} bad results");
}

/// Guards against the same with slow servers of the old version, which also must not make slowness
/// usual.
#[test]
fn slow_old_servers_do_not_excuse_a_slow_version() {
    let mut version_move = new_move(usual(0));

    let old = [(false, SLOW_TIME)];
    let bad = count_bad_until_rollback(&mut version_move, &old, (false, SLOW_TIME));

    assert!(bad < BAD_RESULTS_ALLOWED, "{bad} bad results");
}

/// Guards against sound versions that are rolled back by chance: evidence that never falls below
/// zero grows at random. Pattern: eight in a hundred requests fail on every server.
#[test]
fn sound_version_is_rarely_rolled_back_by_chance() {
    let mut rolled_back = 0;
    for seed in 0..MOVES {
        let mut random = StdRng::seed_from_u64(seed);
        let mut version_move = new_move(usual(8));
        for _ in 0..300 {
            for role in [VersionRole::Old, VersionRole::New] {
                let is_failure = random.random_bool(0.08);
                version_move.note_result("reports", role, is_failure, RESPONSE_TIME);
            }
            version_move.decide(OldServers::Busy, at(1_000));
        }
        rolled_back += u64::from(version_move.phase() == VersionMovePhase::RolledBack);
    }

    let allowed = (1.0 - COMPLETED_SHARE) * MOVES as f64;
    assert!(rolled_back as f64 <= allowed, "{rolled_back} of {MOVES}");
}

/// Guards against a bad version that goes on getting requests because the VM that decides is frozen
/// or no VM can read the store.
#[test]
fn vm_that_does_not_decide_still_rolls_back_a_bad_version() {
    let mut version_move = new_move(usual(0));
    version_move.note_statuses_read();
    for _ in 0..20 {
        version_move.note_result("reports", VersionRole::Old, false, RESPONSE_TIME);
    }
    assert!(!version_move.roll_back_if_bad(at(1_000)));
    for index in 0..20 {
        version_move.note_result("reports", VersionRole::New, index % 2 == 0, RESPONSE_TIME);
    }

    assert!(version_move.roll_back_if_bad(at(1_100)));

    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// Guards against a VM that wakes from a freeze and completes a version move on what it knew before,
/// while the others have found the version bad.
#[test]
fn vm_that_was_frozen_decides_only_after_it_could_hear_the_others() {
    let boot_ms = |millis| BootTime::from_boot(Duration::from_millis(millis));
    let mut guard = PauseGuard::default();
    for time_ms in (0..=2_000).step_by(150) {
        guard.is_current(boot_ms(time_ms));
    }
    assert!(guard.is_current(boot_ms(2_100)));

    assert!(!guard.is_current(boot_ms(6_000)), "right after the freeze");
    assert!(!guard.is_current(boot_ms(6_150)));

    for time_ms in (6_300..7_000).step_by(150) {
        guard.is_current(boot_ms(time_ms));
    }
    assert!(guard.is_current(boot_ms(7_050)));
}

/// Guards against a bad version that gets a new allowance of bad results each time that all VMs are
/// killed and forget the evidence.
#[test]
fn evidence_survives_restarts_of_all_vms() {
    let known = usual(0);
    let mut status = new_move(known).status();
    let mut bad = 0;
    for _ in 0..8 * BAD_RESULTS_ALLOWED {
        let mut version_move = new_move(known);
        version_move.note_status(&status, at(1_000), 1_000);
        version_move.note_statuses_read();
        for is_failure in [true, false, true, false] {
            version_move.note_result("reports", VersionRole::New, is_failure, RESPONSE_TIME);
            bad += usize::from(is_failure);
        }
        version_move.decide(OldServers::Busy, at(1_000));
        if version_move.phase() == VersionMovePhase::RolledBack {
            break;
        }
        status = version_move.status();
    }

    assert!(bad <= BAD_RESULTS_ALLOWED / 2, "{bad} bad results");
}

/// Guards against a VM that starts after a rollback, reads the status before the order and begins
/// the canary again.
#[test]
fn status_that_is_read_before_its_order_counts() {
    let status =
        VersionMoveRecord { phase: VersionMovePhase::RolledBack, ..new_move(usual(0)).status() };
    let mut fleet = view(&["a", "b"]);

    fleet.note_version_move_status(&status, at(0), 0);
    fleet.note_statuses_read();
    fleet.start_version_move(order(), position(3), at(0), 0);

    let version_move = fleet.version_move(ENGINES).unwrap();
    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
    assert!(version_move.is_confirmed());
}

/// Guards against a switch to a version that does no better than old servers in trouble, after which
/// it gets all requests. Pattern: engines with a low rate of requests, of which the canary gets
/// eleven.
#[test]
fn version_that_is_as_bad_as_old_servers_in_trouble_is_not_switched_to() {
    let mut version_move = new_move(usual(0));
    for index in 0..149 {
        version_move.note_result("reports", VersionRole::Old, index % 4 == 0, RESPONSE_TIME);
    }
    for index in 0..11 {
        version_move.note_result("reports", VersionRole::New, index % 5 == 4, RESPONSE_TIME);
    }

    assert!(!version_move.decide(OldServers::Busy, at(15_000)), "{}", version_move.phase());
    assert!(version_move.decide(OldServers::Busy, at(17_500)));

    assert_eq!(version_move.phase(), VersionMovePhase::RolledBack);
}

/// Guards against all running generations moving to the new version at the switch, before the first
/// result of a version that is bad only under load is known.
#[test]
fn running_requests_stay_on_the_old_version_until_results_after_the_switch_are_known() {
    let mut version_move = new_move(usual(0));
    for _ in 0..60 {
        version_move.note_result("reports", VersionRole::Old, false, RESPONSE_TIME);
        version_move.note_result("reports", VersionRole::New, false, RESPONSE_TIME);
    }
    assert!(version_move.decide(OldServers::Busy, at(15_000)), "it switches");

    version_move.release_old(at(15_200));
    let at_switch = version_move.is_outgoing(VersionRole::Old);
    let changed = version_move.release_old(at(16_600));

    assert!(!at_switch);
    assert!(changed && version_move.is_outgoing(VersionRole::Old));
}

/// Guards against VMs that saw few requests before the version move, and for which the slowness of
/// old servers becomes usual. Pattern: engines with a low rate of requests.
#[test]
fn vm_without_usual_results_takes_those_of_its_peers() {
    let known = BTreeMap::from([("reports".to_owned(), usual(0))]);
    let mut version_move = VersionMove::new(order(), position(3), at(0), 0);
    let evidence = VersionMoveEvidence::with_usual(known);
    version_move.note_peer(9, evidence, VersionMovePhase::Watching, at(0));
    version_move.decide(OldServers::Busy, at(100));

    let old = [(false, SLOW_TIME)];
    let bad = count_bad_until_rollback(&mut version_move, &old, (false, SLOW_TIME));

    assert!(bad < BAD_RESULTS_ALLOWED, "{bad} bad results");
}

/// Guards against an unproven version that gets all requests because no server of the old one is
/// left. Pattern: all servers of the old version crash during the canary.
#[test]
fn unproven_version_gets_no_more_than_its_share_when_old_servers_are_lost() {
    let mut fleet = moving_fleet();
    let excluded = BTreeSet::new();
    fleet.remove_server("e0", at(10));
    fleet.remove_server("e1", at(10));

    let mut placed = 0;
    for _ in 0..200 {
        let Ok(placement) = fleet.place(&query(TokenDemand::default(), &excluded), at(20)) else {
            continue;
        };
        placed += 1;
        fleet.release(placement.server, placement.load);
    }

    assert!(placed > 0 && placed <= 20, "{placed} of 200");
}

/// Guards against a VM that can't read the status of a version move that was completed, and that
/// rejects all requests because the old version is gone.
#[test]
fn version_whose_move_may_have_ended_gets_requests() {
    let mut fleet = view(&["a"]);
    let new = ServerRecord { version: "v2".to_owned(), ..record(ENGINES, "a", 8_010) };
    fleet.apply_server("n0", new, position(10), at(0));
    fleet.start_version_move(order(), position(3), at(0), 0);
    fleet.remove_server("e0", at(10));
    let excluded = BTreeSet::new();

    let at_once = fleet.place(&query(TokenDemand::default(), &excluded), at(500)).is_ok();
    let later = fleet.place(&query(TokenDemand::default(), &excluded), at(3_500)).is_ok();

    assert!(!at_once && later);
}

/// Guards against generations of the old version that are resumed on the new one, past its share.
#[test]
fn copies_of_a_generation_stay_on_its_version() {
    let mut fleet = moving_fleet();
    let source = key_of(&fleet, "e0");
    let excluded = BTreeSet::from([source]);

    let mut versions = BTreeSet::new();
    for time_ms in 0..40 {
        let copy = fleet.place_copy(&query(report(), &excluded), source, at(time_ms));
        let Ok(copy) = copy else { continue };
        versions.insert(fleet.server(copy.server).unwrap().record.version.clone());
        fleet.release(copy.server, copy.load);
    }

    assert_eq!(versions, BTreeSet::from(["v1".to_owned()]));
}

/// Guards against resumptions that do not count for the share of the new version.
#[test]
fn resumed_generations_count_for_the_share() {
    let mut fleet = moving_fleet();
    let excluded = BTreeSet::new();
    let target = key_of(&fleet, "n0");
    for _ in 0..100 {
        let placement = fleet.place_at(target, &query(report(), &excluded), at(10)).unwrap();
        fleet.release(placement.server, placement.load);
    }

    let mut placed = BTreeSet::new();
    for _ in 0..100 {
        let placement = fleet.place(&query(report(), &excluded), at(20)).unwrap();
        placed.insert(placement.id.clone());
        fleet.release(placement.server, placement.load);
    }

    assert!(placed.iter().all(|id| id.starts_with('e')), "{placed:?}");
}

/// Guards against requests that were reserved on the new version before a rollback and are sent to
/// it after.
#[test]
fn server_of_a_version_that_was_rolled_back_is_known() {
    let mut fleet = moving_fleet();
    let status = VersionMoveRecord {
        phase: VersionMovePhase::RolledBack,
        ..fleet.version_move(ENGINES).unwrap().status()
    };

    let before = fleet.is_withdrawn(key_of(&fleet, "n0"), at(10));
    fleet.note_version_move_status(&status, at(10), 10);

    assert!(!before);
    assert!(fleet.is_withdrawn(key_of(&fleet, "n0"), at(10)));
    assert!(!fleet.is_withdrawn(key_of(&fleet, "e0"), at(10)));
}

/// Guards against a sound version that looks bad because streams that break after their start were
/// not usual before the version move. Pattern: engines that crash now and then.
#[test]
fn streams_that_break_before_the_move_are_usual() {
    let mut fleet = view(&["a", "b"]);
    let server = key_of(&fleet, "e0");
    for index in 0..32 {
        let run = fleet.start_run(server, "reports", at(0));
        fleet.note_run_started(run, at(300));
        let end = if index % 4 == 0 { RunEnd::Failed } else { RunEnd::Good };
        fleet.end_run(run, end, at(900));
    }

    fleet.start_version_move(order(), position(3), at(1_000), 1_000);

    let usual = fleet.version_move(ENGINES).unwrap().own_evidence().usual()["reports"];
    assert_eq!(usual.bad, 8);
}

/// Guards against a slow version that makes its slowness usual for the next version move.
#[test]
fn results_of_an_unproven_version_do_not_become_usual() {
    let mut fleet = moving_fleet();
    let (old, new) = (key_of(&fleet, "e0"), key_of(&fleet, "n0"));
    for _ in 0..20 {
        fleet.note_result(old, "reports", false, RESPONSE_TIME);
    }
    for _ in 0..60 {
        fleet.note_result(new, "reports", false, SLOW_TIME);
    }

    fleet.start_version_move(order(), position(4), at(30_000), 30_000);

    let usual = fleet.version_move(ENGINES).unwrap().own_evidence().usual()["reports"];
    assert_eq!((usual.time_ms, usual.total), (300.0, 20));
}

/// Guards against responses that count as bad for good, because they are slower than before a
/// version move that ended long ago.
#[test]
fn slowness_after_a_move_is_judged_by_what_is_usual_then() {
    let mut fleet = view(&["a", "b"]);
    let server = key_of(&fleet, "e0");
    for _ in 0..60 {
        fleet.note_result(server, "reports", false, RESPONSE_TIME);
    }
    fleet.start_version_move(order(), position(3), at(0), 0);
    let status = VersionMoveRecord {
        phase: VersionMovePhase::RolledBack,
        ..fleet.version_move(ENGINES).unwrap().status()
    };
    fleet.note_version_move_status(&status, at(10), 10);
    for _ in 0..100 {
        fleet.note_result(server, "reports", false, RESPONSE_TIME * 5);
    }

    fleet.start_version_move(order(), position(4), at(90_000), 90_000);

    let usual = fleet.version_move(ENGINES).unwrap().own_evidence().usual()["reports"];
    assert_eq!((usual.time_ms, usual.bad), (1_500.0, 0));
}

/// Guards against sound versions that are rolled back because some of their responses take long.
/// Pattern: prompts of very different lengths; one in ten takes six times the median.
#[test]
fn sound_version_with_long_responses_is_rarely_rolled_back() {
    let mut rolled_back = 0;
    for seed in 0..MOVES {
        let mut random = StdRng::seed_from_u64(seed);
        let mut version_move = new_move(usual(10));
        for _ in 0..300 {
            for role in [VersionRole::Old, VersionRole::New] {
                let factor = if random.random_bool(0.1) { 6 } else { 1 };
                version_move.note_result("reports", role, false, RESPONSE_TIME * factor);
            }
            version_move.decide(OldServers::Busy, at(1_000));
        }
        rolled_back += u64::from(version_move.phase() == VersionMovePhase::RolledBack);
    }

    let allowed = (1.0 - COMPLETED_SHARE) * MOVES as f64;
    assert!(rolled_back as f64 <= allowed, "{rolled_back} of {MOVES}");
}

/// Guards against a version whose streams start in time and then write several times slower.
#[test]
fn stream_with_slow_pauses_counts_against_its_version() {
    let mut fleet = view(&["a", "b"]);
    let old = key_of(&fleet, "e0");
    let pause = Duration::from_millis(40);
    for _ in 0..20 {
        let run = fleet.start_run(old, "reports", at(0));
        fleet.note_run_started(run, at(300));
        fleet.note_run_pause(run, pause);
        fleet.end_run(run, RunEnd::Good, at(900));
    }
    let new = ServerRecord { version: "v2".to_owned(), ..record(ENGINES, "a", 8_010) };
    fleet.apply_server("n0", new, position(10), at(0));
    fleet.start_version_move(order(), position(3), at(1_000), 1_000);

    for factor in [1, 6] {
        let run = fleet.start_run(key_of(&fleet, "n0"), "reports", at(1_000));
        fleet.note_run_started(run, at(1_300));
        fleet.note_run_pause(run, pause * factor);
        fleet.end_run(run, RunEnd::Good, at(1_900));
    }

    let [_, new] = fleet.version_move(ENGINES).unwrap().own_evidence().results()["reports"];
    assert_eq!((new.good, new.bad), (2, 1), "the second stream started well and then was slow");
}

/// Guards against requests whose callers leave and that count as bad although their response was
/// not overdue, or don't count although it was.
#[test]
fn abandoned_request_counts_only_if_its_response_was_overdue() {
    let mut fleet = view(&["a", "b"]);
    let old = key_of(&fleet, "e0");
    for _ in 0..20 {
        fleet.note_result(old, "reports", false, RESPONSE_TIME);
    }
    fleet.start_version_move(order(), position(3), at(0), 0);

    for left_ms in [400, 2_400] {
        let run = fleet.start_run(old, "reports", at(0));
        fleet.end_run(run, RunEnd::Abandoned, at(left_ms));
    }

    let [old, _] = fleet.version_move(ENGINES).unwrap().own_evidence().results()["reports"];
    assert_eq!((old.good, old.bad), (0, 1));
}

/// Guards against a service without servers: VMs that start after the time limit know too few results
/// of the new version, and rolled back to servers that had stopped (RECOVER).
#[test]
fn version_is_not_rolled_back_to_servers_that_are_gone() {
    let mut fleet = moving_fleet();
    for old in ["e0", "e1"] {
        fleet.remove_server(old, at(17_000));
    }

    let switched = fleet.decide_version_move(ENGINES, at(18_000));
    let without_results = fleet.decide_version_move(ENGINES, at(18_150));
    let new = key_of(&fleet, "n0");
    for _ in 0..5 {
        fleet.note_result(new, "reports", false, RESPONSE_TIME);
    }
    let with_results = fleet.decide_version_move(ENGINES, at(19_000));

    assert_eq!(switched, Some(VersionMovePhase::Switching));
    assert_eq!(without_results, None);
    assert_eq!(with_results, Some(VersionMovePhase::Completed));
}

/// Guards against a version that is kept without results although the old one still has servers.
#[test]
fn version_without_results_is_rolled_back_to_servers_of_the_old_one() {
    let mut fleet = moving_fleet();
    fleet.remove_server("e0", at(17_000));

    fleet.decide_version_move(ENGINES, at(18_000));
    let end = fleet.decide_version_move(ENGINES, at(18_150));

    assert_eq!(end, Some(VersionMovePhase::RolledBack));
}
