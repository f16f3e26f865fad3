//! What the estimates of one waiting request are based on.

use std::time::Duration;

use dragonflycart_core::MonoTime;

use crate::EstimateInputs;

/// Minimum time between two estimates of a request. It is short against the least time for which
/// callers wait, 2 s, so that most of that time is left to a caller that is refused.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two estimates of a VM. An estimate looks at all engines of the service, so that 100
/// per second bound what they cost a small VM.
const ESTIMATE_SPACING: Duration = Duration::from_millis(10);

/// When a waiting request is estimated again, and which requests of other VMs were there before it.
///
/// Reports don't tell the age of requests. Of those of its own place that wait elsewhere, a request
/// thus counts as earlier what was reported when it took its place, less all memory that became free
/// since then. The estimate errs towards a shorter wait.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WaitProspect {
    review_at: MonoTime,
    /// Lateness for which the earlier requests were counted, and their tokens.
    older: Option<(bool, f64)>,
    /// Longest time until the request is late that was seen, which is about its latency target.
    late_in: Duration,
    /// Tokens that became free since nothing else was ahead.
    collected: f64,
    updated_at: Option<MonoTime>,
}

impl WaitProspect {
    /// Returns whether the request was not estimated yet.
    pub fn is_new(&self) -> bool {
        self.updated_at.is_none()
    }

    /// Returns whether the request is to be estimated again. One that has little time `left` is not:
    /// a refusal would come hardly earlier than the end of its wait.
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

    /// Returns the part of the tokens of requests that go before it only as long as they are on time.
    /// They hold it up for as long as the newest of them is on time, about one latency target.
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

    /// Returns the tokens that the request still lacks, and ends the step that
    /// [`WaitProspect::older_tokens`] began. While nothing is ahead of it, it gets all that becomes
    /// free.
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
