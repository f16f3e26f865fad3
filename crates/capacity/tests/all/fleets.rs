//! Samples of several VMs, and servers that are measured again.

use std::time::Duration;

use dragonflycart_capacity::{CapacityTable, PauseSample, PeerSample};
use dragonflycart_core::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn sample(samples: u32, speed: f64, age_ms: u64) -> PeerSample {
    PeerSample { samples, speed, age: Duration::from_millis(age_ms) }
}

/// Notes that peers measured servers 0 to 3 as usual and server 4 as slow.
fn note_peers(table: &mut CapacityTable<u32>, now: MonoTime) {
    for server in 0..5 {
        let speed = if server == 4 { 0.45 } else { 1.0 };
        table.note_peer_sample(server, 7, sample(10, speed, 0), now);
    }
}

/// Pattern: a VM restarted. It learns from its peers at once what it would need a minute for.
#[test]
fn speeds_come_back_from_peers() {
    let mut table = CapacityTable::default();

    note_peers(&mut table, at(0));
    table.note_peer_sample(4, 8, sample(10, 0.45, 0), at(250));

    assert!(table.is_in_effect(), "peers report speeds only where they are used");
    assert!((0.4..0.5).contains(&table.speed(4, at(300))));
    assert!((0.95..1.05).contains(&table.speed(0, at(300))));
}

/// Pattern: datagrams arrive twice, out of order or late.
#[test]
fn doubled_and_late_samples_count_once() {
    let mut table = CapacityTable::default();
    note_peers(&mut table, at(0));
    let before = table.speed(4, at(100));

    assert!(!table.note_peer_sample(4, 7, sample(10, 0.45, 0), at(0)), "doubled");
    assert!(!table.note_peer_sample(4, 7, sample(10, 3.0, 900), at(500)), "out of order");
    assert!(!table.note_peer_sample(4, 8, sample(10, 3.0, 10_001), at(500)), "too old");

    assert_eq!(table.speed(4, at(100)), before);
}

/// Pattern: a peer with a fault reports nonsense.
#[test]
fn implausible_samples_are_not_used() {
    let mut table = CapacityTable::<u32>::default();

    for speed in [0.0, -1.0, f64::NAN, f64::INFINITY, 101.0] {
        assert!(!table.note_peer_sample(1, 7, sample(5, speed, 0), at(0)), "{speed}");
    }
    assert!(!table.note_peer_sample(1, 7, sample(0, 0.5, 0), at(0)), "no samples");

    assert_eq!(table.speed(1, at(0)), 1.0);
    let counts = table.take_counts();
    assert_eq!((counts.peer_samples, counts.unused_peer_samples), (0, 6));
}

/// Guards against a sum of sample counts that overflows, which ends the process in builds with
/// overflow checks: peers whose reports are damaged send counts near the largest number.
#[test]
fn huge_sample_counts_count_like_the_largest_useful_one() {
    let mut huge = CapacityTable::default();
    let mut usual = CapacityTable::default();
    for peer in 1..4 {
        assert!(huge.note_peer_sample(1, peer, sample(u32::MAX, 0.5, 0), at(0)));
        assert!(usual.note_peer_sample(1, peer, sample(16, 0.5, 0), at(0)));
    }

    assert_eq!(huge.speed(1, at(0)), usual.speed(1, at(0)));
}

/// Pattern: VMs differ. More and newer samples count more.
#[test]
fn samples_are_weighted_by_number_and_age() {
    let merged = |first: PeerSample, second: PeerSample| {
        let mut table = CapacityTable::default();
        for server in 0..4 {
            table.note_peer_sample(server, 1, sample(16, 1.0, 0), at(0));
        }
        table.note_peer_sample(9, 7, first, at(0));
        table.note_peer_sample(9, 8, second, at(1));
        table.speed(9, at(1))
    };

    let equal = merged(sample(8, 0.4, 0), sample(8, 0.9, 0));
    let more = merged(sample(16, 0.4, 0), sample(2, 0.9, 0));
    let newer = merged(sample(8, 0.4, 0), sample(8, 0.9, 8_000));

    assert!((0.55..0.65).contains(&equal), "{equal}");
    assert!(more < 0.5, "{more}");
    assert!(newer < 0.5, "{newer}");
}

/// Pattern: a VM uses few servers, all of them slow, as small VMs do. By itself it would take them as
/// usual and tell its peers so.
#[test]
fn vm_that_uses_only_slow_servers_does_not_take_them_as_usual() {
    let mut table = CapacityTable::default();
    for step in 0..60 {
        let now = at(500 * step);
        note_peers(&mut table, now);
        let usual = Duration::from_millis(72);
        table.note_pause(4, PauseSample { usual, heavy: usual }, 8, now);
    }

    let own = table.own_samples(Duration::from_secs(2), at(29_500));

    assert_eq!(own.len(), 1);
    assert!(own[0].1.speed < 0.65, "{own:?}");
    assert!(table.speed(4, at(29_500)) < 0.55);
}

/// Pattern: reports are lost for a while. A VM without contact uses its own samples only, and those
/// of its peers fade.
#[test]
fn own_samples_remain_when_peers_are_lost() {
    let mut table = CapacityTable::default();
    note_peers(&mut table, at(0));
    for step in 1..80 {
        for server in 0..5 {
            let usual = Duration::from_millis(32);
            let now = at(500 * step);
            table.note_pause(server, PauseSample { usual, heavy: usual }, 8, now);
        }
    }

    assert!(table.speed(4, at(40_000)) > 0.85, "{}", table.speed(4, at(40_000)));
}

/// Sends a request of each VM to the slow server whenever a retest is due, and returns the times.
/// Samples reach the other VMs after `delay_ms`, or never.
fn retests(vms: u64, delay_ms: Option<u64>) -> Vec<u64> {
    let interval = Duration::from_secs(vms);
    let mut tables = vec![CapacityTable::default(); vms as usize];
    for table in &mut tables {
        note_peers(table, at(0));
    }
    let mut sent = Vec::<(u64, usize)>::new();
    for millis in (0..60_000).step_by(10) {
        let now = at(millis);
        for (vm, table) in tables.iter_mut().enumerate() {
            // The speed of the other servers is confirmed, so that the slow one stays avoided.
            if millis % 1_000 == 0 {
                for server in 0..4 {
                    table.note_peer_sample(server, 7, sample(10, 1.0, 0), now);
                }
            }
            for (at_ms, sender) in &sent {
                if delay_ms.is_some_and(|delay_ms| at_ms + delay_ms == millis)
                    || (*sender == vm && at_ms + 500 == millis)
                {
                    table.note_peer_sample(4, 9, sample(10, 0.45, 0), now);
                }
            }
            let wait = Duration::from_secs(1 + vm as u64);
            if table.is_retest_due(4, wait, now) {
                table.note_retest(4, interval, now);
                sent.push((millis, vm));
            }
        }
    }
    sent.into_iter().map(|(millis, _)| millis).collect()
}

/// Pattern: 72 VMs avoid a slow server. It must be measured again, but not by all of them.
#[test]
fn avoided_server_is_measured_at_most_once_a_second_by_the_fleet() {
    for delay_ms in [Some(300), Some(900), None] {
        let times = retests(72, delay_ms);

        assert!(!times.is_empty(), "{delay_ms:?}");
        for window in times.windows(2) {
            assert!(window[1] - window[0] >= 990, "{delay_ms:?}: {times:?}");
        }
    }
}

/// Pattern: a server of the usual speed needs no extra requests.
#[test]
fn server_that_is_not_avoided_is_not_measured_again() {
    let mut table = CapacityTable::default();
    note_peers(&mut table, at(0));

    assert!(!table.is_retest_due(0, Duration::from_secs(1), at(9_000)));
    assert!(!table.is_retest_due(99, Duration::from_secs(1), at(9_000)));
    assert!(table.is_retest_due(4, Duration::from_secs(1), at(9_000)));
}
