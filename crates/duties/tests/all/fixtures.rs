//! Builders of test data.

use std::time::Duration;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    AppendResult, DutyLease, DutyRecord, DutyState, LeaseStep, LeaseTerms, LeaseTime, LogTail,
};

/// Lease time of the tests.
pub(crate) const LEASE: Duration = Duration::from_millis(3_000);

/// Returns a time at which both clocks show `ms`.
pub(crate) fn at(ms: u64) -> LeaseTime {
    LeaseTime { steady: MonoTime::from_millis(ms), boot: MonoTime::from_millis(ms) }
}

/// Returns the lease of a VM that starts at `ms`.
pub(crate) fn start_lease(name: &str, boot: u64, ms: u64) -> DutyLease {
    DutyLease::new(name, boot, LeaseTerms::new(LEASE, 0.0), at(ms))
}

/// Asks a willing VM that has nothing to write for its next step.
pub(crate) fn step(lease: &mut DutyLease, ms: u64) -> LeaseStep {
    lease.next_step(at(ms), true, None, &DutyState::default())
}

/// Returns a lease that was claimed as the first record of the log, at `ms`.
pub(crate) fn claimed_lease(name: &str, boot: u64, ms: u64) -> (DutyLease, DutyRecord) {
    let mut lease = start_lease(name, boot, ms - 1_000);
    assert_eq!(step(&mut lease, ms), LeaseStep::Read { from: 0 });
    lease.note_read(LogTail { end: 0, last: None }, at(ms));
    let LeaseStep::Append { at: 0, record } = step(&mut lease, ms) else {
        panic!("an empty log is claimed at once")
    };
    lease.note_append(AppendResult::Appended { offset: 0 }, at(ms));
    (lease, record)
}
