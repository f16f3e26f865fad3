//! State of servers and reachability of zones.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_gateway::{ServerLoad, ZoneReachability};

use crate::fixtures::{ENGINES, at, key_of, position, query, record, report, view};

#[test]
fn draining_server_gets_no_work() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let mut draining = record(ENGINES, "a", 8_000);
    draining.is_draining = true;

    let changed = view.apply_server("e0", draining, position(10), at(5));

    assert!(changed);
    assert!(view.is_leaving(key_of(&view, "e0")));
    assert_eq!(view.place(&query(report(), &excluded), at(6)).unwrap().id, "e1");
}

/// An old registration that arrives late must not return a leaving server to service.
#[test]
fn older_registration_is_ignored() {
    let mut view = view(&["a"]);
    let mut draining = record(ENGINES, "a", 8_000);
    draining.is_draining = true;
    view.apply_server("e0", draining, position(10), at(5));

    view.apply_server("e0", record(ENGINES, "a", 8_000), position(9), at(6));

    assert!(view.is_leaving(key_of(&view, "e0")));
}

/// Guards against an engine that counts as ended for good because its address rejected connections once,
/// as in a partition: streams that end with its connections would be taken for broken ones (LOST).
#[test]
fn engine_that_responds_again_does_not_count_as_ended() {
    let mut view = view(&["a"]);
    let engine = key_of(&view, "e0");
    view.server_mut(engine).unwrap().ended_at = Some(at(5));

    view.note_reached(engine);

    assert_eq!(view.server(engine).unwrap().ended_at, None);
}

/// A server that restarts under the same ID has lost its state.
#[test]
fn restarted_server_is_a_new_one() {
    let mut view = view(&["a"]);
    let before = key_of(&view, "e0");
    let mut restarted = record(ENGINES, "a", 8_000);
    restarted.started_at_ms = Some(2);

    view.apply_server("e0", restarted, position(10), at(5));

    assert!(view.is_leaving(before));
    assert!(view.servers().any(|(key, state)| key != before && state.leaving_since.is_none()));
}

/// Without a store outage, a removed registration means that the server shut down without notice.
#[test]
fn removed_server_leaves_at_once() {
    let mut view = view(&["a"]);

    assert!(view.remove_server("e0", at(10)));
    assert!(view.is_leaving(key_of(&view, "e0")));
}

/// Registrations expire during a store outage. When the store came back, all servers would count as
/// leaving.
#[test]
fn registration_that_expired_in_an_outage_may_come_back() {
    let mut view = view(&["a", "b"]);
    view.note_store_failure(at(0));

    assert!(!view.remove_server("e0", at(500)));
    assert!(!view.remove_server("e1", at(500)));
    view.apply_server("e0", record(ENGINES, "a", 8_000), position(20), at(1_000));
    view.expire_servers(at(2_400));

    assert!(!view.is_leaving(key_of(&view, "e0")));
    assert!(view.is_leaving(key_of(&view, "e1")));
}

#[test]
fn peer_that_saw_a_server_leave_is_believed_for_that_incarnation() {
    let mut view = view(&["a"]);

    assert!(!view.note_leaving("e0", Some(9), false, at(1)));
    assert!(view.note_leaving("e0", Some(1), false, at(2)));
    assert!(view.is_leaving(key_of(&view, "e0")));
}

/// Without this, each request would wait for a connection timeout on each server of an unreachable
/// zone.
#[test]
fn unreachable_zone_is_probed_once_per_interval() {
    let view = view(&["a", "b", "b", "b"]);
    let mut reach = ZoneReachability::default();
    reach.note_unreachable("b", key_of(&view, "e1"), at(0));
    assert!(reach.unreachable_zones(at(1)).is_empty(), "one server may be down by itself");

    reach.note_unreachable("b", key_of(&view, "e2"), at(100));
    assert!(reach.unreachable_zones(at(200)).contains("b"));
    assert!(reach.unreachable_zones(at(1_200)).is_empty(), "a probe is due");

    reach.note_tried("b", at(1_200));
    assert!(reach.unreachable_zones(at(1_300)).contains("b"));
    reach.note_reached("b");
    assert!(reach.unreachable_zones(at(1_300)).is_empty());
}

/// An unreachable server is retried with a growing delay.
#[test]
fn unreachable_server_is_paused_longer_each_time() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    let key = key_of(&view, "e0");
    view.note_unreachable(key, at(0));
    assert!(view.place(&query(report(), &excluded), at(900)).is_err());
    assert!(view.place(&query(report(), &excluded), at(1_100)).is_ok());

    view.note_unreachable(key, at(2_000));

    assert!(view.place(&query(report(), &excluded), at(3_900)).is_err());
    assert!(view.place(&query(report(), &excluded), at(4_100)).is_ok());
}

/// Health checks may report a failing server as healthy, so only results of requests count.
#[test]
fn server_whose_requests_fail_is_avoided_and_comes_back() {
    let mut view = view(&["a", "a"]);
    let excluded = BTreeSet::new();
    let bad = key_of(&view, "e0");
    for _ in 0..10 {
        view.server_mut(bad).unwrap().note_response(true, Duration::from_millis(30));
    }
    let placement = view.place(&query(report(), &excluded), at(0)).unwrap();
    assert_eq!(placement.id, "e1");
    view.release(placement.server, placement.load);

    for _ in 0..40 {
        view.server_mut(bad).unwrap().note_response(false, Duration::from_millis(30));
    }

    let ids: BTreeSet<_> =
        (0..4).map(|_| view.place(&query(report(), &excluded), at(0)).unwrap().id).collect();
    assert_eq!(ids.len(), 2);
}

/// Each time a flapping server is up, it loses a few requests of each VM, too few for one VM to
/// notice.
#[test]
fn losses_of_peers_turn_requests_away_from_a_flapping_server() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let first = view.place(&query(report(), &excluded), at(0)).unwrap();
    assert_eq!(first.id, "e0", "the server in the zone is preferred");
    view.release(first.server, first.load);

    view.note_peer_losses(7, "e0", 1, at(10));
    view.note_peer_losses(8, "e0", 1, at(10));
    let during = view.place(&query(report(), &excluded), at(20)).unwrap();
    view.release(during.server, during.load);
    let after = view.place(&query(report(), &excluded), at(6_100)).unwrap();

    assert_eq!(during.id, "e1");
    assert_eq!(after.id, "e0");
}

/// The state of a server that left is removed after a while.
#[test]
fn server_that_left_is_forgotten() {
    let mut view = view(&["a"]);
    view.remove_server("e0", at(0));

    view.expire_servers(at(31_000));

    assert_eq!(view.servers().count(), 0);
}

/// The registrations of servers that were partitioned from the store expired, and their recovery
/// was not noticed: when all servers of a service were partitioned for five seconds, its requests
/// were refused for 16 seconds.
#[test]
fn server_that_is_registered_again_is_asked_whether_it_is_back() {
    let mut view = view(&["a"]);
    let key = key_of(&view, "e0");
    let excluded = BTreeSet::new();
    view.remove_server("e0", at(0));
    assert!(view.recovery_candidates(at(3_000)).is_empty(), "its registration is gone");

    view.apply_server("e0", record(ENGINES, "a", 8_000), position(10), at(3_000));
    assert_eq!(view.recovery_candidates(at(3_000)), [key]);
    assert!(view.is_leaving(key), "its last registration may have come late");
    view.server_mut(key).unwrap().note_recovered(at(3_000));

    assert!(view.place(&query(report(), &excluded), at(3_001)).is_ok());
    assert!(view.recovery_candidates(at(3_001)).is_empty());
}

/// A server's announcement of its own shutdown is final for that incarnation.
#[test]
fn server_that_drained_is_not_asked_whether_it_is_back() {
    let mut view = view(&["a"]);
    let mut draining = record(ENGINES, "a", 8_000);
    draining.is_draining = true;
    view.apply_server("e0", draining, position(10), at(0));
    view.remove_server("e0", at(2_000));

    view.apply_server("e0", record(ENGINES, "a", 8_000), position(11), at(3_000));

    assert!(view.recovery_candidates(at(5_000)).is_empty());
}

/// Peers keep reporting a server as leaving for a while, which would contradict its recovery.
#[test]
fn server_is_not_asked_at_once_whether_it_is_back() {
    let mut view = view(&["a"]);
    view.note_leaving("e0", Some(1), false, at(0));

    assert!(view.recovery_candidates(at(900)).is_empty());
    assert_eq!(view.recovery_candidates(at(1_100)).len(), 1);
}

/// Pattern: engines are reclaimed while the store is away. Only engines that hold this VM's
/// generations and are not known to leave are worth a question.
#[test]
fn engines_in_use_are_asked_while_the_store_is_away() {
    let mut view = view(&["a", "a", "b"]);
    let excluded = BTreeSet::new();
    let used = view.place(&query(report(), &excluded), at(0)).unwrap();
    let leaving = view.place(&query(report(), &excluded), at(1)).unwrap();
    view.note_leaving(&leaving.id, Some(1), false, at(2));

    let asked: Vec<_> = view.engines_in_use(at(3)).into_iter().map(|engine| engine.id).collect();

    assert_ne!(used.id, leaving.id);
    assert_eq!(asked, [used.id]);
}

/// Pattern: the same in a large fleet. The reports of an engine are priced, and 200 or 400 VMs that
/// use it must not all ask for them.
#[test]
fn few_of_the_vms_that_use_an_engine_ask_it() {
    for vm_count in [200, 400_u64] {
        let mut view = view(&["a"]);
        let excluded = BTreeSet::new();
        view.place(&query(report(), &excluded), at(0)).unwrap();
        for peer in 1..vm_count {
            view.note_peer_load(
                peer,
                "e0",
                ServerLoad { requests: 1, ..ServerLoad::default() },
                at(0),
            );
        }
        let engine = view.engines_in_use(at(1)).remove(0);

        let asking =
            (0..vm_count).filter(|vm| engine.is_asked((*vm as f64 + 0.5) / vm_count as f64));

        assert_eq!(asking.count(), 2, "{vm_count} VMs");
    }
}

#[test]
fn only_user_of_an_engine_always_asks_it() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    view.place(&query(report(), &excluded), at(0)).unwrap();

    let engine = view.engines_in_use(at(1)).remove(0);

    assert!(engine.is_asked(0.999));
}

/// Pattern: many engines are reclaimed while the store is away, so their registrations stay. All
/// VMs of a large fleet asked each of them once a second whether it was back.
#[test]
fn server_that_announced_its_shutdown_is_not_asked_whether_it_is_back() {
    let mut view = view(&["a", "b"]);

    view.note_leaving("e0", Some(1), true, at(0));
    view.note_leaving("e1", Some(1), false, at(0));

    let candidates = view.recovery_candidates(at(2_000));
    assert_eq!(candidates, [key_of(&view, "e1")]);
}

/// Pattern: the registrations of all servers lapse and return in a large fleet. VMs ask the servers
/// at different times and repeat for more than a second what they believed before. Each report of a
/// peer undid the recovery and was itself repeated, so that no server ever came back.
#[test]
fn report_from_before_a_recovery_does_not_undo_it() {
    let mut view = view(&["a"]);
    view.note_leaving("e0", Some(1), false, at(0));
    let key = key_of(&view, "e0");
    view.server_mut(key).unwrap().note_recovered(at(1_100));

    let is_older_taken = view.note_leaving("e0", Some(1), false, at(1_200));
    let is_later_taken = view.note_leaving("e0", Some(1), false, at(7_000));

    assert!(!is_older_taken);
    assert!(is_later_taken, "the peer can't still repeat what it believed before");
}

/// A server that announced its shutdown after it had recovered is leaving.
#[test]
fn announcement_after_a_recovery_counts_at_once() {
    let mut view = view(&["a"]);
    let key = key_of(&view, "e0");
    view.server_mut(key).unwrap().note_recovered(at(1_100));

    assert!(view.note_leaving("e0", Some(1), true, at(1_200)));
}

/// Guards against requests that go on to a server after it announced its shutdown in a response,
/// while its registration still says otherwise (DRAIN).
#[test]
fn server_that_announces_its_shutdown_in_a_response_gets_no_work() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let leaving = key_of(&view, "e0");

    let is_new = view.note_announced_leaving(leaving, at(5));
    view.apply_server("e0", record(ENGINES, "a", 8_000), position(10), at(6));

    assert!(is_new && !view.note_announced_leaving(leaving, at(7)));
    assert!(view.is_leaving(leaving));
    assert_eq!(view.place(&query(report(), &excluded), at(8)).unwrap().id, "e1");
    assert!(view.recovery_candidates(at(60_000)).is_empty());
}

/// Guards against requests to a server that asked for a pause, new ones and those that were reserved
/// before (BUDGET).
#[test]
fn server_that_wants_a_pause_gets_nothing_until_its_end() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    let server = key_of(&view, "e0");

    view.server_mut(server).unwrap().note_declined(Duration::from_secs(4), at(0));
    view.server_mut(server).unwrap().note_recovered(at(10));

    assert!(view.place(&query(report(), &excluded), at(3_900)).is_err());
    assert!(view.place_at(server, &query(report(), &excluded), at(3_900)).is_none());
    assert!(view.is_withdrawn(server, at(3_900)));
    assert!(!view.is_withdrawn(server, at(4_100)));
    assert!(view.place(&query(report(), &excluded), at(4_100)).is_ok());
}
