//! Order in which the generations of a leaving engine are copied.
//!
//! Copies queue on the engine's network link, and the time between its announcement and its
//! shutdown is about as long as it takes to copy a full memory. If all copies started at once, the
//! final copies of generations with a complete first copy would queue behind the first copies of
//! generations for which there is no time, and all would be lost. The VMs that relay the
//! generations do not know of each other's, but each reads the same list from the engine and
//! computes the same order.

use std::{cmp::Reverse, time::Duration};

use crate::RunningGeneration;

/// Fraction of the preceding copies' total time after which a copy starts. With a value below 1,
/// copies would queue on the link, and it would stay busy when a generation ends by itself.
const START_FRACTION: f64 = 1.0;
/// Time that a generation takes in addition to its first copy: the final copy and the calls.
pub const COPY_SLOT_OVERHEAD: Duration = Duration::from_millis(25);

/// When a generation's first copy starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyStart {
    /// It starts after this delay.
    After(Duration),
    /// There is no time left for it after the copies of other generations.
    NoTime,
}

/// Schedule of the first copies within the time left for them.
#[derive(Debug, Clone, Copy)]
pub struct MoveSchedule<'a> {
    /// Generations that run on the engine.
    pub generations: &'a [RunningGeneration],
    /// Time to copy one token's memory within a zone.
    pub token_time: Duration,
    /// Time left for all first copies.
    pub time: Duration,
}

impl MoveSchedule<'_> {
    /// Returns the time of a copy.
    pub fn copy_time(&self, tokens: u64) -> Duration {
        self.token_time.saturating_mul(u32::try_from(tokens).unwrap_or(u32::MAX))
    }

    /// Returns whether there is not enough time to copy all generations.
    pub fn is_tight(&self) -> bool {
        self.generations
            .iter()
            .any(|generation| self.copy_start(&generation.attempt) == CopyStart::NoTime)
    }

    /// Returns when the first copy of a generation starts. Generations that produced the most
    /// events come first, since they have the least work left. One that does not fit in the time
    /// left is skipped in favor of those after it. One that is not in the engine's list has
    /// produced nothing yet and comes last.
    pub fn copy_start(&self, attempt: &str) -> CopyStart {
        let mut order: Vec<&RunningGeneration> = self.generations.iter().collect();
        order.sort_by_key(|generation| (Reverse(generation.events), &generation.attempt));
        let mut taken = Duration::ZERO;
        for generation in order {
            let own = self.copy_time(generation.tokens);
            let fits = taken.saturating_add(own) <= self.time;
            if generation.attempt == attempt {
                return if fits {
                    CopyStart::After(taken.mul_f64(START_FRACTION))
                } else {
                    CopyStart::NoTime
                };
            }
            if fits {
                taken += own + COPY_SLOT_OVERHEAD;
            }
        }
        CopyStart::After(taken.mul_f64(START_FRACTION))
    }
}
