//! Age up to which the route plan is known to have been the newest.

use std::time::Duration;

use crate::BootTime;

/// Time that a request may take from the last check of its key to the server.
const TRANSPORT_MARGIN: Duration = Duration::from_millis(250);
/// Maximum rate error of a VM's clock, as a fraction.
const CLOCK_DRIFT: f64 = 0.005;
/// Fraction of the age limit after which a VM reads the store itself instead of waiting for a peer.
const REFRESH_FRACTION: f64 = 0.5;

/// Knowledge of how recently the route plan in effect was the newest one, and whether that is
/// recent enough to accept API keys.
#[derive(Debug, Clone)]
pub struct PlanFreshness {
    /// Maximum age at which keys are accepted, or `None` if keys are always accepted.
    age_limit: Option<Duration>,
    confirmed_at: Option<BootTime>,
}

impl PlanFreshness {
    /// Builds the state of a VM that knows no plan yet. `revocation_time` is the time after the
    /// withdrawal of a key from which no VM may accept it; `None` if the deployment sets none.
    pub fn new(revocation_time: Option<Duration>) -> PlanFreshness {
        let age_limit = revocation_time.map(PlanFreshness::age_limit);
        PlanFreshness { age_limit, confirmed_at: None }
    }

    /// Returns the maximum age of a plan at which keys are accepted. It is zero if the revocation
    /// time is too short for any key to be accepted.
    pub fn age_limit(revocation_time: Duration) -> Duration {
        revocation_time.mul_f64(1.0 - CLOCK_DRIFT).saturating_sub(TRANSPORT_MARGIN)
    }

    /// Returns whether the deployment bounds the time for which a withdrawn key is accepted.
    pub fn is_bounded(&self) -> bool {
        self.age_limit.is_some()
    }

    /// Records a complete read of the operators' table that began at `began_at`. The response may
    /// have been made at any time since.
    pub fn note_store_read(&mut self, began_at: BootTime) {
        self.note_confirmed(began_at);
    }

    /// Records that a peer stated the age of its plan in response to a probe that was sent at
    /// `asked_at`. The records that the peer knew by then must have been applied.
    pub fn note_peer_age(&mut self, asked_at: BootTime, age: Duration) {
        // A time before the boot can't be expressed, and a later one would make the plan younger.
        if let Some(at) = asked_at.before(age) {
            self.note_confirmed(at);
        }
    }

    fn note_confirmed(&mut self, at: BootTime) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Returns the time since the plan was last known to be the newest, or `None` if it never was.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether a request that presents an API key may be sent to a server.
    pub fn allows_keys(&self, now: BootTime) -> bool {
        self.is_within(1.0, now)
    }

    /// Returns whether this VM should read the store itself, because the confirmations of its peer
    /// are late.
    pub fn needs_refresh(&self, now: BootTime) -> bool {
        !self.is_within(REFRESH_FRACTION, now)
    }

    fn is_within(&self, fraction: f64, now: BootTime) -> bool {
        let Some(limit) = self.age_limit else { return true };
        self.age(now).is_some_and(|age| age <= limit.mul_f64(fraction))
    }
}
