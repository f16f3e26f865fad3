//! Faults of a run, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause between two faults; faults last longer, so that they overlap.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 150..900;
/// Time that a fault lasts.
const FAULT_TIME_MS: std::ops::Range<u64> = 200..2_500;

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
    /// The store answers slowly.
    StoreSlow,
    /// The store refuses calls.
    StoreBusy,
    /// The store doesn't answer.
    StoreUnresponsive,
    /// The store closes connections.
    StoreReset,
    /// The store forgets its history.
    StoreCompacted,
    /// Open connections to a runner are cut.
    RunnerCut,
    /// Open connections to a runner go silent for good.
    RunnerUnresponsive,
    /// A runner's connections stand still for a while.
    RunnerStall,
    /// A runner crashes; another one comes.
    RunnerCrash,
    /// A runner leaves with notice; another one comes.
    RunnerDrained,
    /// A new manifest.
    NewManifest,
    /// A zone is evacuated and taken back.
    Evacuation,
}

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

/// Fault at a time of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedFault {
    /// Start, from the start of the run.
    pub(crate) at: Duration,
    /// Length.
    pub(crate) duration: Duration,
    /// Kind.
    pub(crate) fault: SoakFault,
    /// Selects the target.
    pub(crate) target: usize,
}

/// All faults of a run in the order of their start.
#[derive(Debug, Clone)]
pub(crate) struct SoakSchedule {
    /// Length of the run.
    pub(crate) duration: Duration,
    /// Faults.
    pub(crate) faults: Vec<TimedFault>,
}

impl SoakSchedule {
    /// Draws the faults of a seed.
    pub(crate) fn new(seed: u64, duration: Duration) -> SoakSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < duration {
            faults.push(TimedFault {
                at,
                duration: Duration::from_millis(rng.random_range(FAULT_TIME_MS)),
                fault: FAULTS[rng.random_range(0..FAULTS.len())],
                target: rng.random_range(0..1_000),
            });
            at += Duration::from_millis(rng.random_range(FAULT_PAUSE_MS));
        }
        SoakSchedule { duration, faults }
    }

    /// Returns a run without faults.
    pub(crate) fn without_faults(duration: Duration) -> SoakSchedule {
        SoakSchedule { duration, faults: Vec::new() }
    }
}
