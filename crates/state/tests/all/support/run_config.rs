//! Seeds and numbers of cases of the property tests.

use std::{
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use proptest::test_runner::{Config, RngSeed};

/// Variable that replaces the fixed seed: `<cases>` runs that many cases with a fresh seed,
/// `<cases>:<seed>` repeats a run. docs/testing.md gives the commands.
const RUN_VARIABLE: &str = "DRAGONFLYCART_STATE_RUN";

/// Seed of the runs in CI. It is fixed, so that a failure there comes from the change under test.
const FIXED_SEED: u64 = 0x00d5_a60f_17ca_4701;

/// Returns the configuration of a test that runs `cases` cases in CI.
pub fn run_config(cases: u32) -> Config {
    let fixed = Config { cases, failure_persistence: None, ..Config::default() };
    let Some((cases, seed)) = *RUN_SETTING else {
        return Config { rng_seed: RngSeed::Fixed(FIXED_SEED), ..fixed };
    };
    Config { cases, rng_seed: RngSeed::Fixed(seed), ..fixed }
}

/// Number of cases and seed from the variable. It is read once, so that every use of the
/// configuration gets the same fresh seed.
static RUN_SETTING: LazyLock<Option<(u32, u64)>> = LazyLock::new(|| {
    let setting = std::env::var(RUN_VARIABLE).ok()?;
    let (cases, seed) = match setting.split_once(':') {
        Some((cases, seed)) => (cases, seed.parse().expect("the seed is a number")),
        None => (setting.as_str(), fresh_seed()),
    };
    println!("run with {RUN_VARIABLE}={cases}:{seed} to repeat");
    Some((cases.parse().expect("the number of cases is a number"), seed))
});

fn fresh_seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    now.as_nanos() as u64
}

/// Counts events of a test, so that a run in which nothing happens fails.
pub struct RunCounter {
    name: &'static str,
    count: AtomicU64,
}

impl RunCounter {
    /// Starts at zero.
    pub const fn new(name: &'static str) -> RunCounter {
        RunCounter { name, count: AtomicU64::new(0) }
    }

    /// Adds to the count.
    pub fn add(&self, count: usize) {
        self.count.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Prints the count and asserts that it is at least `least`.
    pub fn require(&self, least: u64) {
        let count = self.count.load(Ordering::Relaxed);
        println!("{}: {count}", self.name);
        assert!(count >= least, "only {count} of at least {least} {} were reached", self.name);
    }
}
