//! State of the repeated estimates of one waiting request.

use std::time::Duration;

use dragonflycart_core::MonoTime;

use crate::EstimateInputs;

/// Minimum time between two estimates of a request. It is short against the least time for which
/// callers wait, 2 s, so that most of that time is left to a caller that is refused.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum average time between two estimates for a service at one VM. An estimate may look at all
/// engines of the service, and a small VM has 0.09 of a core, so there are at most 100 per second.
const ESTIMATE_SPACING: Duration = Duration::from_millis(10);

/// State of the repeated estimates of one waiting request: when the next one is due, and how many
/// tokens of requests at other VMs are still ahead of it.
///
/// Reports don't contain the arrival times of requests. Among the requests at other VMs with the
/// same lateness and rank, those in the reports at the first estimate count as earlier, less all
/// memory that became free since then. The estimated wait is thus rather too short than too long.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WaitProspect {
    review_at: MonoTime,
    /// Lateness of this request when the earlier requests were counted, and their remaining tokens.
    older: Option<(bool, f64)>,
    /// Largest `late_in` of the estimates so far, which is about the latency target.
    late_in: Duration,
    /// Tokens that became free since no other request was ahead.
    collected: f64,
    /// Time of the last estimate.
    updated_at: Option<MonoTime>,
}

impl WaitProspect {
    /// Returns whether there was no estimate yet.
    pub fn is_new(&self) -> bool {
        self.updated_at.is_none()
    }

    /// Returns whether the request is to be estimated again. One with little time `left` is not: it
    /// would hardly be refused earlier than at the end of its wait.
    pub fn is_due(&self, left: Duration, now: MonoTime) -> bool {
        now >= self.review_at && left > REVIEW_INTERVAL
    }

    /// Records an estimate at a VM where `waiting` requests wait for the service.
    pub fn note_estimate(&mut self, waiting: usize, now: MonoTime) {
        let spacing = ESTIMATE_SPACING.saturating_mul(u32::try_from(waiting).unwrap_or(u32::MAX));
        self.review_at = now + spacing.max(REVIEW_INTERVAL);
    }

    /// Returns the tokens of the requests elsewhere, of the same lateness and rank, that were there
    /// before this one. `reported` are the tokens of all of them.
    pub(crate) fn older_tokens(
        &mut self,
        is_late: bool,
        reported: u64,
        freed_per_s: f64,
        now: MonoTime,
    ) -> u64 {
        let freed = self.freed_since(freed_per_s, now);
        let known = self.older.filter(|(was_late, _)| *was_late == is_late);
        let older = known.map_or(reported as f64, |(_, tokens)| (tokens - freed).max(0.0));
        self.older = Some((is_late, older));
        (older as u64).min(reported)
    }

    /// Returns how many of `tokens`, those of requests that go before it only until they are late,
    /// count as ahead. The newest of them is on time for about one latency target, so they delay
    /// the request by no more than that.
    pub(crate) fn passing_tokens(
        &mut self,
        tokens: u64,
        freed_per_s: f64,
        late_in: Duration,
    ) -> u64 {
        self.late_in = self.late_in.max(late_in);
        if self.is_new() {
            return tokens;
        }
        tokens.min((freed_per_s * self.late_in.as_secs_f64()) as u64)
    }

    /// Returns the tokens that the request still lacks. While no other request is ahead of it, it
    /// gets all that becomes free. Called last in an estimate, since it sets the time from which
    /// freed memory counts in the next one.
    pub(crate) fn missing_tokens(&mut self, inputs: EstimateInputs, now: MonoTime) -> u64 {
        let freed = self.freed_since(inputs.freed_per_s, now);
        self.collected = if inputs.ahead_tokens == 0 { self.collected + freed } else { 0.0 };
        self.updated_at = Some(now);
        inputs.own_tokens.saturating_sub(self.collected as u64)
    }

    fn freed_since(&self, freed_per_s: f64, now: MonoTime) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        (freed_per_s * now.since(updated_at).as_secs_f64()).max(0.0)
    }
}
