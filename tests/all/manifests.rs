//! Soak test of manifests: real gateway processes, an operator who changes routes and keys all the
//! time, and a store that is away, rejects single machines and comes back from older copies. Every
//! gateway is asked for routes and keys that were just added or withdrawn.
//!
//! `MANIFEST_SEEDS=FIRST..LAST` runs further seeds; `MANIFEST_SECONDS` sets the duration of each run.

mod contact_record;
mod manifest_fleet;
mod manifest_record;

use std::time::Duration;

use self::manifest_fleet::ManifestFleet;
use crate::support::extra_seeds;

/// Seeds that run every time. Add a seed that failed here, with a line on its cause.
///
/// - 420, 424: the store comes back from an older copy, and gateways drop the manifests at the offsets
///   that it gives out again.
const REGRESSION_SEEDS: [u64; 2] = [420, 424];
/// Duration of a run in CI, which doesn't set `MANIFEST_SECONDS`.
const DEFAULT_SECONDS: u64 = 14;

/// Guards against gateways that go on by an older manifest: a route or key that was added is refused,
/// or one that was withdrawn is served, later than the rules allow (CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn confirmed_manifests_are_in_force_in_time() {
    let seconds = std::env::var("MANIFEST_SECONDS")
        .map_or(DEFAULT_SECONDS, |text| text.parse().expect("MANIFEST_SECONDS is a number"));
    let mut violations = Vec::new();
    for seed in REGRESSION_SEEDS.into_iter().chain(extra_seeds("MANIFEST_SEEDS")) {
        let mut fleet = ManifestFleet::start(seed).await;
        fleet.run(Duration::from_secs(seconds)).await;
        let outcome = fleet.close();
        println!(
            "seed {seed}: {} answers judged, {} violations",
            outcome.judged,
            outcome.violations.len()
        );
        for violation in outcome.violations.iter().take(6) {
            println!("seed {seed}: {violation}");
        }
        violations.extend(outcome.violations);
    }

    assert!(violations.is_empty(), "{} answers as only an older manifest allows", violations.len());
}
