//! Learned speeds. Each test describes its load pattern.

use std::time::Duration;

use dragonflycart_capacity::{CapacityTable, LoadHeader, PauseSample};
use dragonflycart_core::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn pause(millis: f64) -> PauseSample {
    let usual = Duration::from_secs_f64(millis / 1_000.0);
    PauseSample { usual, heavy: usual.mul_f64(1.8) }
}

/// Notes a pause at each server every 500 ms from `from_s` to `to_s`.
fn run_pauses(table: &mut CapacityTable<u32>, pauses_ms: &[f64], from_s: u64, to_s: u64) {
    for half in 2 * from_s..2 * to_s {
        for (server, pause_ms) in pauses_ms.iter().enumerate() {
            table.note_pause(server as u32, pause(*pause_ms), 8, at(500 * half));
        }
    }
}

/// Pattern: a quarter of the servers has less than half the speed of the others.
#[test]
fn slow_servers_are_told_from_fast_ones() {
    let mut table = CapacityTable::default();

    run_pauses(&mut table, &[32.0, 31.0, 33.0, 32.0, 32.0, 33.0, 71.0, 73.0], 0, 15);

    for server in 0..6 {
        let speed = table.speed(server, at(15_000));
        assert!((0.85..1.15).contains(&speed), "{server}: {speed}");
    }
    for server in 6..8 {
        let speed = table.speed(server, at(15_000));
        assert!((0.38..0.55).contains(&speed), "{server}: {speed}");
    }
}

/// Pattern: a slow phase of some hundred milliseconds. The pace takes effect at once, and no longer
/// than it holds.
#[test]
fn pace_takes_effect_at_once_and_expires() {
    let mut table = CapacityTable::default();

    table.note_header(1, LoadHeader::parse("3,1,24,250"), at(0));

    assert!(table.is_in_effect());
    assert_eq!(table.pace(1, at(300)), 2.5);
    assert_eq!(table.pace(1, at(301)), 1.0);
    assert_eq!(table.speed(1, at(0)), 1.0);
}
