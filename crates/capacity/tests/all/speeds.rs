//! Learned speeds. Each test describes its load pattern.

use std::time::Duration;

use dragonflycart_capacity::{CapacityTable, LoadHeader, PauseSample, RunningLoad};
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

/// Pattern: a single sample is wrong by far, for example because its caller read slowly.
#[test]
fn single_sample_hardly_changes_a_speed() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 4], 0, 15);

    table.note_pause(1, pause(3_200.0), 8, at(15_000));

    assert!(table.speed(1, at(15_000)) > 0.9);
}

/// Pattern: the same machines serve all, and all get slow together. If each were compared with the
/// past, all would be avoided.
#[test]
fn servers_that_are_slow_together_keep_their_speed() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 6], 0, 15);

    run_pauses(&mut table, &[80.0; 6], 15, 17);
    let early: Vec<f64> = (0..6).map(|server| table.speed(server, at(17_000))).collect();
    run_pauses(&mut table, &[80.0; 6], 17, 60);

    for server in 0..6 {
        assert!((0.85..1.2).contains(&early[server as usize]), "{early:?}");
        let late = table.speed(server, at(60_000));
        assert!((0.85..1.2).contains(&late), "{server}: {late}");
    }
}

/// Pattern: all get slow together, and one of them much more.
#[test]
fn slowest_of_slow_servers_is_told_apart() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 6], 0, 15);

    run_pauses(&mut table, &[64.0, 64.0, 64.0, 64.0, 64.0, 160.0], 15, 60);

    assert!(table.speed(0, at(60_000)) > 0.85);
    assert!(table.speed(5, at(60_000)) < 0.6);
}

/// Pattern: the speed of a server jumps every 600 ms. Its pace says so, and what is learned must not
/// follow the jumps: it would always be late.
#[test]
fn speed_that_jumps_is_followed_by_the_pace_alone() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 4], 0, 10);

    for step in 0..100 {
        let now = at(10_000 + 200 * step);
        let is_slow = step / 3 % 2 == 1;
        let (text, factor) = if is_slow { ("8,0,24,250", 2.5) } else { ("8,0,24,100", 1.0) };
        table.note_header(0, LoadHeader::parse(text), now);
        table.note_pause(0, pause(32.0 * factor), 8, now);
        for server in 1..4 {
            table.note_pause(server, pause(32.0), 8, now);
        }

        assert_eq!(table.pace(0, now), factor);
        let speed = table.speed(0, now);
        assert!((0.9..1.1).contains(&speed), "step {step}: {speed}");
    }
}

/// Pattern: the same without the pace, since the header is false. The learned speed stays between
/// both speeds instead of jumping.
#[test]
fn speed_that_jumps_without_a_pace_is_averaged() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 4], 0, 10);

    let mut speeds = Vec::new();
    for step in 0..150 {
        let now = at(10_000 + 200 * step);
        let factor = if step / 3 % 2 == 1 { 2.5 } else { 1.0 };
        table.note_pause(0, pause(32.0 * factor), 8, now);
        for server in 1..4 {
            table.note_pause(server, pause(32.0), 8, now);
        }
        speeds.push(table.speed(0, now));
    }

    let late = &speeds[75..];
    let (least, most) = late
        .iter()
        .fold((f64::MAX, 0.0_f64), |(low, high), speed| (low.min(*speed), high.max(*speed)));
    assert!(least > 0.45 && most < 1.0, "{least} to {most}");
    assert!(most - least < 0.25, "{least} to {most}");
}

/// Pattern: a server was slow and gets no requests any more. The old judgement must not persist.
#[test]
fn speed_returns_to_the_median_without_samples() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0, 32.0, 32.0, 32.0, 72.0], 0, 15);

    let last = table.speed(4, at(14_500));
    assert!(last < 0.55);
    assert!((table.speed(4, at(24_400)) - last).abs() < 1e-9, "it holds for ten seconds");
    assert!(table.speed(4, at(40_000)) > last + 0.2);
    assert!(table.speed(4, at(80_000)) > 0.98);
}

/// Pattern: a server restarted, or is new. It must not inherit a judgement.
#[test]
fn unknown_and_forgotten_servers_have_the_usual_speed() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0, 32.0, 32.0, 32.0, 72.0], 0, 15);

    table.forget(4);

    assert_eq!(table.speed(4, at(15_000)), 1.0);
    assert_eq!(table.speed(99, at(15_000)), 1.0);
    assert_eq!(table.pace(99, at(15_000)), 1.0);
    assert_eq!(table.takes_well(99, at(15_000)), None);
}

/// Pattern: prompts wait at a server. What is unread there and the server's speed both count.
#[test]
fn first_event_is_expected_by_unread_tokens_and_speed() {
    let mut table = CapacityTable::default();
    let load = RunningLoad { requests: 8, unread_tokens: 3_000 };
    assert_eq!(table.expected_first_event(0, load, 3_000, at(0)), None);
    for step in 0..40 {
        for (server, time_ms) in [300, 300, 300, 300, 660].into_iter().enumerate() {
            let time = Duration::from_millis(time_ms);
            table.note_first_event(server as u32, load, time, at(500 * step));
        }
    }

    let empty = RunningLoad { requests: 8, unread_tokens: 0 };
    let expect = |server: u32, load| {
        table.expected_first_event(server, load, 3_000, at(20_000)).unwrap().as_millis()
    };
    assert!((285..315).contains(&expect(0, empty)), "{}", expect(0, empty));
    assert!((570..630).contains(&expect(0, load)), "{}", expect(0, load));
    assert!((590..720).contains(&expect(4, empty)), "{}", expect(4, empty));
}

/// Pattern: slow servers are used only by few requests and fast ones by many. What is usual at few
/// requests must not be learned as if the slow servers were usual.
#[test]
fn speed_is_kept_when_only_slow_servers_run_few_requests() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0, 32.0, 32.0, 32.0, 72.0], 0, 15);

    for half in 30..240 {
        for server in 0..4 {
            table.note_pause(server, pause(34.0), 12, at(500 * half));
        }
        table.note_pause(4, pause(64.0), 1, at(500 * half));
    }

    assert!(table.speed(4, at(120_000)) < 0.65, "{}", table.speed(4, at(120_000)));
}

/// Pattern: pauses while a server reads prompts are longer, and more so in a slow phase.
#[test]
fn pause_is_expected_by_load_speed_and_pace() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0; 4], 0, 10);
    table.note_header(0, LoadHeader::parse("8,0,24,250"), at(10_000));
    let quiet = RunningLoad { requests: 8, unread_tokens: 0 };
    let reading = RunningLoad { requests: 8, unread_tokens: 3_000 };

    let millis = |server, load, now| table.expected_pause(server, load, now).unwrap().as_millis();

    assert_eq!(millis(1, quiet, at(10_000)), 32);
    assert_eq!(millis(1, reading, at(10_000)), 57);
    assert_eq!(millis(0, quiet, at(10_000)), 80);
    assert_eq!(millis(0, quiet, at(10_400)), 32);
    let slow = table.slow_phase_pause(&table.outlook(1, at(10_400)), quiet).unwrap();
    assert_eq!(slow.as_millis(), 144);
}

/// Pattern: plain calls take longer while more of them run. That must not look like a slow server.
#[test]
fn calls_are_compared_at_the_same_number_of_requests() {
    let mut table = CapacityTable::default();
    for step in 0..60 {
        for server in 0..6_u32 {
            let requests = if server < 3 { 1 } else { 6 };
            let base_ms = if server < 3 { 30 } else { 45 };
            let factor = if server == 5 { 2 } else { 1 };
            let latency = Duration::from_millis(base_ms * factor);
            table.note_call(server, latency, requests, at(100 * step));
        }
    }

    for server in 0..5 {
        let speed = table.speed(server, at(6_000));
        assert!((0.8..1.25).contains(&speed), "{server}: {speed}");
    }
    assert!(table.speed(5, at(6_000)) < 0.7);
}

/// Pattern: a server refuses what is more than it handles.
#[test]
fn refusals_tell_how_many_requests_a_server_takes_well() {
    let mut table = CapacityTable::<u32>::default();

    table.note_refusal(3, 5, at(0));
    table.note_refusal(3, 7, at(100));

    assert_eq!(table.takes_well(3, at(200)), Some(5));
    assert_eq!(table.takes_well(3, at(2_200)), None);
}

/// Pattern: one server is alone at its number of requests, for example because its header is gone,
/// and its speed changes. It must be compared with the others, not with itself.
#[test]
fn server_alone_at_its_load_is_compared_with_others() {
    let mut table = CapacityTable::default();
    run_pauses(&mut table, &[32.0, 32.0, 32.0, 32.0, 72.0], 0, 15);

    for half in 30..90 {
        for server in 0..4 {
            table.note_pause(server, pause(32.0), 8, at(500 * half));
        }
        table.note_pause(4, pause(32.0), 0, at(500 * half));
    }

    assert!(table.speed(4, at(45_000)) > 0.85, "{}", table.speed(4, at(45_000)));
}

/// Guards against a learned speed that grows without end because only one of three servers gets
/// calls: its results were compared with its own earlier ones, relative to a median of long ago.
#[test]
fn server_that_alone_gets_calls_is_not_compared_with_itself() {
    let mut table = CapacityTable::<u32>::default();
    // Too few results for the true speeds, which are the same.
    for (index, times_ms) in [[20, 30, 28], [20, 32, 30], [20, 14, 15]].iter().enumerate() {
        for (step, time_ms) in times_ms.iter().enumerate() {
            let now = at(step as u64 * 250);
            table.note_call(index as u32, Duration::from_millis(*time_ms), 1, now);
        }
    }

    let mut fastest = 0.0_f64;
    for step in 0..4_000 {
        let now = at(1_000 + step * 20);
        table.note_call(2, Duration::from_millis(20), 1, now);
        fastest = fastest.max(table.speed(2, now));
    }

    assert!(fastest < 1.5, "the speed grew to {fastest}");
    let speed = table.speed(2, at(81_000));
    assert!((0.9..1.1).contains(&speed), "{speed}");
}

/// Guards against a placement by the outlook of another server: the cursor that a placement reads
/// must return the same as the table in any order of keys, also for unknown servers.
#[test]
fn cursor_says_the_same_as_the_table() {
    let mut table = CapacityTable::default();
    for (index, server) in [3, 5, 8, 9, 40].into_iter().enumerate() {
        for half in 0..20 {
            let pause_ms = 30.0 + 12.0 * index as f64;
            table.note_pause(server, pause(pause_ms), 8, at(500 * half));
        }
        table.note_refusal(server, 4 + index as u32, at(9_500));
    }
    let now = at(10_000);
    let mut cursor = table.outlooks(now);

    for server in [1, 3, 3, 8, 9, 10, 39, 41, 5, 40, 2, 9, 8, 50, 3] {
        assert_eq!(cursor.outlook(server), table.outlook(server, now), "{server}");
    }
}
