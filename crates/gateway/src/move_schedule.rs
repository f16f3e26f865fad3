//! Order in which the generations of a leaving engine are copied away.
//!
//! Copies queue on the engine's link, and its notice is about as long as the copies of a full
//! memory take. Started all at once, the last copies of generations that were copied wait behind
//! the first copies of those for which there is no time, and all are lost. The VMs that relay the
//! generations know nothing of each other's, but each reads the same list from the engine and
//! comes to the same order.

use std::{cmp::Reverse, time::Duration};

use crate::RunningGeneration;

/// Part of the time of the copies before it after which a copy starts: a short queue keeps the
/// link busy where a generation ends by itself.
const START_FRACTION: f64 = 1.0;
/// Time of a turn beside its first copy: the last copy and the calls.
pub const TURN_OVERHEAD: Duration = Duration::from_millis(25);

/// Turn of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveTurn {
    /// Its first copy starts after a delay.
    After(Duration),
    /// There is no time left for its copy after those of the others.
    NoTime,
}

/// Order of the first copies within the time that is left for them.
#[derive(Debug, Clone, Copy)]
pub struct MoveSchedule<'a> {
    /// Generations of the engine.
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

    /// Returns whether there is no time for the copies of some generations.
    pub fn is_tight(&self) -> bool {
        self.generations.iter().any(|generation| self.turn(&generation.attempt) == MoveTurn::NoTime)
    }

    /// Returns the turn of a generation. Those that made most come first, since the least work is
    /// left for them; one that doesn't fit leaves its time to those after it. One that the engine
    /// doesn't list has made nothing and comes last.
    pub fn turn(&self, attempt: &str) -> MoveTurn {
        let mut order: Vec<&RunningGeneration> = self.generations.iter().collect();
        order.sort_by_key(|generation| (Reverse(generation.events), &generation.attempt));
        let mut taken = Duration::ZERO;
        for generation in order {
            let own = self.copy_time(generation.tokens);
            let fits = taken.saturating_add(own) <= self.time;
            if generation.attempt == attempt {
                return if fits {
                    MoveTurn::After(taken.mul_f64(START_FRACTION))
                } else {
                    MoveTurn::NoTime
                };
            }
            if fits {
                taken += own + TURN_OVERHEAD;
            }
        }
        MoveTurn::After(taken.mul_f64(START_FRACTION))
    }
}
