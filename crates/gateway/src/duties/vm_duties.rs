//! Duties of one VM.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use dragonflycart_core::rendezvous_score;
use dragonflycart_duties::{
    CountCopies, DutyLease, LeasePermit, LeaseTerms, TrueClock, UsageCounter, WindowTerms,
};

use super::{
    cloud_settings::CloudSettings,
    duty_clock::{boot_time, lease_time},
    duty_decisions::DutyDecisions,
    duty_platform::DutyPlatform,
};
use crate::{GatewayClock, VmSettings};

/// Memory below which a VM claims the lease later than others. The smallest VMs have the least
/// processor time.
const SMALL_VM_BYTES: usize = 200 << 20;

/// Time before each call of a task, as a multiple of the time that a call has at the rate of the
/// fleet.
const CALL_SPACING: f64 = 3.0;
/// Maximum of that time, also for a rate of zero.
const CALL_SPACING_MAX: Duration = Duration::from_secs(5);

/// Duties of one VM, whether it holds the lease or not.
pub struct VmDuties {
    pub(super) platform: Arc<dyn DutyPlatform>,
    pub(super) cloud: CloudSettings,
    decisions: Mutex<DutyDecisions>,
}

impl VmDuties {
    /// Builds the duties of a VM that knows of no holder. `boot` is the random ID of its process.
    pub(crate) fn new(
        platform: Arc<dyn DutyPlatform>,
        cloud: CloudSettings,
        settings: &VmSettings,
        boot: u64,
        clock: &GatewayClock,
    ) -> VmDuties {
        let terms = LeaseTerms::new(cloud.lease, claim_turn(settings));
        let decisions = DutyDecisions {
            lease: DutyLease::new(&settings.name, boot, terms, lease_time(clock)),
            clock: TrueClock::default(),
            counter: UsageCounter::default(),
            copies: CountCopies::default(),
            terms: WindowTerms { window: cloud.report_window, due: cloud.report_due },
            held: None,
            holder: None,
        };
        VmDuties { platform, cloud, decisions: Mutex::new(decisions) }
    }

    /// Locks the state. Hold the lock for a single decision only.
    pub(super) fn decisions(&self) -> MutexGuard<'_, DutyDecisions> {
        self.decisions.lock().expect("no holder of the duties' lock panics")
    }

    /// Returns the time before each call. Two tasks make calls, so each uses less than half of the
    /// rate of the fleet.
    pub(super) fn call_spacing(&self) -> Duration {
        let spacing_s = CALL_SPACING / self.cloud.calls_per_s;
        Duration::try_from_secs_f64(spacing_s).unwrap_or(CALL_SPACING_MAX).min(CALL_SPACING_MAX)
    }

    /// Returns the permit to act, or `None` if this VM may not act now.
    pub fn permit(&self, clock: &GatewayClock) -> Option<LeasePermit> {
        self.decisions().lease.permit(lease_time(clock))
    }

    /// Returns the name and number of the last known holder.
    pub fn holder(&self) -> Option<(String, u64)> {
        self.decisions().lease.holder().map(|(name, number)| (name.to_owned(), number))
    }

    /// Counts a request of a team that began to run now.
    pub(crate) fn count_start(&self, team: &str) {
        let mut decisions = self.decisions();
        // Read with the lock held, so that no message reports the window as complete without this
        // count.
        let boot = boot_time();
        if decisions.clock.own_unix_ms(boot).is_none() {
            decisions.clock.note_time_of_day(boot, GatewayClock::unix_ms());
        }
        let Some(unix_ms) = decisions.clock.unix_ms(boot) else { return };
        let window = decisions.terms.window_at(unix_ms);
        decisions.counter.note_start(team, window);
        if let Some(held) = &mut decisions.held {
            held.counter.note_start(team, window);
        }
    }
}

/// Returns the place of a VM in the order of claims, from 0 to 1.
fn claim_turn(settings: &VmSettings) -> f64 {
    let score = rendezvous_score(&[b"duty"], settings.name.as_bytes()).as_fraction();
    let is_small = settings.memory_bytes < SMALL_VM_BYTES;
    (score + if is_small { 1.0 } else { 0.0 }) / 2.0
}
