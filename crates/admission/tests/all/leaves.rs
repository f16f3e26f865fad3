//! Room kept free for generations of engines that leave. Each test describes its load pattern.

use dragonflycart_admission::LeaveHistory;
use proptest::prelude::*;

use crate::fixtures::at;

/// Memory of 50 engines.
const CAPACITY: u64 = 50 * 27_000;

fn room(leaves: &[(u64, u64)], now_ms: u64) -> f64 {
    let leaves = leaves.iter().map(|(millis, tokens)| (at(*millis), *tokens));
    LeaveHistory::recent(leaves, at(now_ms)).move_room(CAPACITY)
}

/// Pattern: every 3.3 s, ten of 60 engines leave together, with 20,000 tokens each. If the waves were
/// added up, the room would cost a quarter of the capacity at all times.
#[test]
fn room_is_that_of_the_largest_wave() {
    let leaves: Vec<(u64, u64)> =
        (0..30).map(|index| (index / 10 * 3_300 + index % 10, 20_000)).collect();

    let room = room(&leaves, 7_000);

    assert!((room - 200_000.0 / CAPACITY as f64).abs() < 0.001, "{room}");
}

/// Pattern: engines that leave one after the other within the time of a notice. All their
/// generations need room at once.
#[test]
fn engines_that_leave_within_a_notice_count_together() {
    let spread = room(&[(0, 27_000), (900, 27_000), (1_800, 27_000)], 2_000);
    let apart = room(&[(0, 27_000), (2_500, 27_000), (5_000, 27_000)], 5_100);

    assert!((spread - 3.0 * apart).abs() < 0.001, "{spread} and {apart}");
}

/// Pattern: a quiet service, or one whose last engine left long ago. Room must not lie idle.
#[test]
fn without_recent_leaves_no_room_is_kept() {
    assert_eq!(room(&[], 0), 0.0);
    assert_eq!(room(&[(0, 500_000)], 10_100), 0.0);
}

/// Pattern: a zone ends with all its engines. Without a bound, deferrable requests would get nothing
/// for ten seconds; without engines, the fraction would not be a number.
#[test]
fn room_is_bounded() {
    assert_eq!(room(&[(0, 2 * CAPACITY)], 100), 0.25);
    let leaves = [(at(0), 27_000)].into_iter();
    assert_eq!(LeaveHistory::recent(leaves, at(1)).move_room(0), 0.25);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Engines leave at any times, with any tokens.
    /// Guards against a running sum that differs from the sum of the leaves within a notice.
    #[test]
    fn room_is_the_largest_sum_within_a_notice(
        leaves in proptest::collection::vec((0..10_000_u64, 0..500_u64), 0..40),
    ) {
        let mut most = 0;
        for (first_ms, _) in &leaves {
            let together = leaves.iter().filter(|(millis, _)| (*first_ms..=first_ms + 2_000).contains(millis));
            most = most.max(together.map(|(_, tokens)| tokens).sum::<u64>());
        }

        let room = room(&leaves, 10_000);

        prop_assert!((room - most as f64 / CAPACITY as f64).abs() < 1e-9, "{room} instead of {most}");
    }
}
