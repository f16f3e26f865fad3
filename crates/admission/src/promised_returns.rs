//! Refused requests that were told to come back later.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

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
        *self.returns.entry(now + time).or_default() += tokens;
        self.tokens += tokens;
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
