//! Error bounds of the sequential tests.

use dragonflycart_policy::{MoveAcceptanceTest, MoveRejectionTest, MoveStratum};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..Config::default() }
}

fn choose(n: u64, k: u64) -> f64 {
    (0..k).map(|i| (n - i) as f64 / (i + 1) as f64).product()
}

/// Distribution of the bad requests of the new version, given the requests of both versions and
/// their bad requests together.
fn conditional(old: u64, new: u64, bad: u64, odds: f64) -> Vec<(MoveStratum, f64)> {
    let mut all = Vec::new();
    for new_bad in bad.saturating_sub(old)..=bad.min(new) {
        let weight = choose(new, new_bad) * choose(old, bad - new_bad) * odds.powi(new_bad as i32);
        all.push((MoveStratum { old, new, old_bad: bad - new_bad, new_bad }, weight));
    }
    let sum: f64 = all.iter().map(|(_, weight)| weight).sum();
    all.into_iter().map(|(stratum, weight)| (stratum, weight / sum)).collect()
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a likelihood ratio whose mean is above 1 for a version within the margin:
    /// the error bound would not hold.
    #[test]
    fn the_ratio_has_mean_one_at_the_margin_and_less_below(
        old in 1u64..60,
        new in 1u64..60,
        part in 0.0f64..1.0,
        odds in 0.2f64..1.25,
    ) {
        let bad = (part * (old + new) as f64) as u64;
        let mean = |odds| {
            let all = conditional(old, new, bad, odds);
            all.iter().map(|(s, p)| p * s.log_likelihood_ratio(12.0, 1.25).exp()).sum::<f64>()
        };
        prop_assert!((mean(1.25) - 1.0).abs() < 1e-6);
        prop_assert!(mean(odds) <= 1.0 + 1e-6);
    }
}

fn draw(rng: &mut ChaCha8Rng, requests: u64, rate: f64) -> u64 {
    (0..requests).filter(|_| rng.random::<f64>() < rate).count() as u64
}

/// Guards against rollbacks of a version that is as good as the old one: a common failure rate that
/// jumps between 0.5% and 40% must not cause more rejections than the error bound allows, however
/// often the test is read.
#[test]
fn a_common_fault_rarely_counts_against_the_new_version() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut rejected = 0;
    for _ in 0..2_000 {
        let mut test = MoveRejectionTest::new(1.0);
        test.open_segment(1.0);
        let mut highest = 0.0f64;
        for step in 0..60 {
            let rate = if step % 20 < 4 { 0.4 } else { 0.005 };
            let (old_bad, new_bad) = (draw(&mut rng, 40, rate), draw(&mut rng, 8, rate));
            test.absorb(&MoveStratum { old: 40, new: 8, old_bad, new_bad });
            highest = highest.max(test.e_value());
        }
        rejected += u32::from(highest >= 20.0);
    }
    // The bound is 1 in 20; twice its standard deviation over 2,000 runs is 20.
    assert!(rejected <= 120, "{rejected} of 2,000 rejected");
}

/// Guards against an acceptance test that passes a version whose rate is above the tolerance.
#[test]
fn a_bad_version_is_rarely_proven_good() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut proven = 0;
    for _ in 0..1_000 {
        let mut test = MoveAcceptanceTest::new(0.02);
        let mut highest = 0.0f64;
        for _ in 0..200 {
            let (old_bad, new_bad) = (draw(&mut rng, 10, 0.005), draw(&mut rng, 20, 0.021));
            test.absorb(&MoveStratum { old: 10, new: 20, old_bad, new_bad });
            highest = highest.max(test.e_value());
        }
        proven += u32::from(highest >= 20.0);
    }
    // The bound is 1 in 20; twice its standard deviation over 1,000 runs is 14.
    assert!(proven <= 64, "{proven} of 1,000 proven");
}
