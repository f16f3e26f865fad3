//! Random faults of a run, derived from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between the starts of two faults, in milliseconds. Most faults last longer and so overlap.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Time between two runners that can't be reached, in milliseconds.
const UNREACHABLE_PAUSE_MS: std::ops::Range<u64> = 2_000..8_000;

/// Time between two faults of the speed and the load headers of runners, in milliseconds.
const LOAD_PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// SIGKILL of a gateway; it starts again.
    Kill,
    /// SIGSTOP and SIGCONT of a gateway.
    Pause,
    /// SIGTERM of a gateway; it starts again.
    Stop,
    /// SIGHUP of a gateway.
    Reload,
    /// The store responds slowly.
    StoreSlow,
    /// The store refuses requests.
    StoreBusy,
    /// The store accepts requests and doesn't respond.
    StoreUnresponsive,
    /// The store closes connections.
    StoreReset,
    /// The store compacts its history.
    StoreCompacted,
    /// Open connections to a runner are closed.
    RunnerCut,
    /// Open connections to a runner discard all bytes from then on.
    RunnerUnresponsive,
    /// Open connections to a runner pass no bytes for a while.
    RunnerStall,
    /// A runner crashes and is replaced.
    RunnerCrash,
    /// A runner announces that it leaves, and is replaced.
    RunnerDrained,
    /// A new manifest is published.
    NewManifest,
    /// A zone is evacuated, and gets work again later.
    Evacuation,
    /// All connections to a runner are closed, also new ones, for a while.
    RunnerUnreachable,
    /// A runner takes two and a half times as long for its work for a while.
    RunnerSlow,
    /// A runner takes less than half as long for its work for a while.
    RunnerFast,
    /// A runner's load header states a load and a pace that are false for a while.
    LoadHeaderFalse,
    /// A runner's load header can't be used for a while.
    LoadHeaderUnusable,
    /// A runner sends no load header for a while.
    LoadHeaderMissing,
}

/// Faults of the speed and the load headers of runners.
const LOAD_FAULTS: [SoakFault; 5] = [
    SoakFault::RunnerSlow,
    SoakFault::RunnerFast,
    SoakFault::LoadHeaderFalse,
    SoakFault::LoadHeaderUnusable,
    SoakFault::LoadHeaderMissing,
];

/// Faults of the main sequence. [`SoakFault::RunnerUnreachable`] and [`LOAD_FAULTS`] have sequences
/// of their own, so that the main sequences of earlier seeds stay as they are.
const FAULTS: [SoakFault; 16] = [
    SoakFault::Kill,
    SoakFault::Pause,
    SoakFault::Stop,
    SoakFault::Reload,
    SoakFault::StoreSlow,
    SoakFault::StoreBusy,
    SoakFault::StoreUnresponsive,
    SoakFault::StoreReset,
    SoakFault::StoreCompacted,
    SoakFault::RunnerCut,
    SoakFault::RunnerUnresponsive,
    SoakFault::RunnerStall,
    SoakFault::RunnerCrash,
    SoakFault::RunnerDrained,
    SoakFault::NewManifest,
    SoakFault::Evacuation,
];

/// A fault and when it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedFault {
    /// Time of the injection since the start of the run.
    pub(crate) at: Duration,
    /// Time until the fault ends, for faults that end.
    pub(crate) duration: Duration,
    /// Kind.
    pub(crate) fault: SoakFault,
    /// Number that selects the target, modulo the number of candidates.
    pub(crate) target: usize,
}

/// Faults of a run, in the order in which they start.
#[derive(Debug, Clone)]
pub(crate) struct SoakSchedule {
    /// Duration of the run.
    pub(crate) duration: Duration,
    /// Faults.
    pub(crate) faults: Vec<TimedFault>,
}

impl SoakSchedule {
    /// Generates the faults of a seed.
    pub(crate) fn new(seed: u64, duration: Duration) -> SoakSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < duration {
            faults.push(TimedFault {
                at,
                duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
                fault: FAULTS[rng.random_range(0..FAULTS.len())],
                target: rng.random_range(0..1_000),
            });
            at += Duration::from_millis(rng.random_range(FAULT_PAUSE_MS));
        }
        rng.set_stream(1);
        let mut at = Duration::from_millis(rng.random_range(UNREACHABLE_PAUSE_MS));
        while at < duration {
            faults.push(TimedFault {
                at,
                duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
                fault: SoakFault::RunnerUnreachable,
                target: rng.random_range(0..1_000),
            });
            at += Duration::from_millis(rng.random_range(UNREACHABLE_PAUSE_MS));
        }
        rng.set_stream(2);
        let mut at = Duration::from_millis(rng.random_range(LOAD_PAUSE_MS));
        while at < duration {
            faults.push(TimedFault {
                at,
                duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
                fault: LOAD_FAULTS[rng.random_range(0..LOAD_FAULTS.len())],
                target: rng.random_range(0..1_000),
            });
            at += Duration::from_millis(rng.random_range(LOAD_PAUSE_MS));
        }
        faults.sort_by_key(|fault| fault.at);
        SoakSchedule { duration, faults }
    }

    /// Returns a schedule without faults.
    pub(crate) fn without_faults(duration: Duration) -> SoakSchedule {
        SoakSchedule { duration, faults: Vec::new() }
    }
}
