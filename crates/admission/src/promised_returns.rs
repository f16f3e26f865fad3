//! Refused requests that were told to come back later.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

/// Unit to which the times of returns are rounded up, in microseconds. It bounds the number of
/// entries, and is short compared with the time until a retry.
const RETURN_STEP_MICROS: u64 = 10_000;

/// Tokens of refused requests by the time at which they come back. Each later refusal is told a later
/// time; otherwise, all would come back together and most would be refused again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct PromisedReturns {
    returns: BTreeMap<MonoTime, u64>,
    tokens: u64,
}

impl PromisedReturns {
    /// Records that a request was told to come back after `time`.
    pub(crate) fn note(&mut self, tokens: u64, time: Duration, now: MonoTime) {
        let micros = (now + time).as_micros();
        let at = micros.checked_next_multiple_of(RETURN_STEP_MICROS).unwrap_or(u64::MAX);
        let known = self.returns.entry(MonoTime::from_micros(at)).or_default();
        // Limited so that `self.tokens` stays the sum of the entries without an overflow.
        let added = tokens.min(u64::MAX - self.tokens);
        *known += added;
        self.tokens += added;
    }

    /// Returns the tokens of the requests that have not come back yet.
    pub(crate) fn tokens(&mut self, now: MonoTime) -> u64 {
        while let Some(first) = self.returns.first_entry()
            && *first.key() <= now
        {
            self.tokens -= first.remove();
        }
        self.tokens
    }
}
