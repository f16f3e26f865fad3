//! One stream of tokens out of several connections and engines.

use crate::{ResumePoint, TokenDecision};

/// Delivered part of one generation.
///
/// Only a token of the current generation and epoch with the next index is delivered, so no fault
/// on the way can repeat, drop, reorder or mix tokens.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    generation: String,
    epoch: u32,
    next_index: u64,
    /// Index of the first token in `delivered`; not zero if another VM delivered the start.
    first_index: u64,
    delivered: Vec<u32>,
    finished: bool,
}

impl StreamAssembler {
    /// Starts a generation.
    pub fn new(generation: &str) -> StreamAssembler {
        StreamAssembler::resumed(ResumePoint {
            generation: generation.to_owned(),
            epoch: 0,
            next_index: 0,
        })
    }

    /// Continues a generation whose start was delivered by another VM.
    pub fn resumed(point: ResumePoint) -> StreamAssembler {
        StreamAssembler {
            generation: point.generation,
            epoch: point.epoch,
            next_index: point.next_index,
            first_index: point.next_index,
            delivered: Vec::new(),
            finished: false,
        }
    }

    /// Decides on a token and records it if it is to be delivered.
    pub fn accept_token(
        &mut self,
        generation: &str,
        epoch: u32,
        index: u64,
        id: u32,
    ) -> TokenDecision {
        if let Some(decision) = self.refuse(generation, epoch) {
            return decision;
        }
        if index < self.next_index {
            return TokenDecision::Duplicate;
        }
        if self.finished {
            return TokenDecision::Contradiction;
        }
        if index > self.next_index {
            return TokenDecision::Gap { expected: self.next_index };
        }
        self.next_index += 1;
        self.delivered.push(id);
        TokenDecision::Deliver
    }

    /// Decides on the end of the output, which has `count` tokens in all.
    pub fn accept_finish(&mut self, generation: &str, epoch: u32, count: u64) -> TokenDecision {
        if let Some(decision) = self.refuse(generation, epoch) {
            return decision;
        }
        if count < self.next_index {
            return TokenDecision::Contradiction;
        }
        if count > self.next_index {
            return TokenDecision::Gap { expected: self.next_index };
        }
        if self.finished {
            return TokenDecision::Duplicate;
        }
        self.finished = true;
        TokenDecision::Deliver
    }

    /// Moves to the next epoch, on another engine, and returns the ids that the engine has to
    /// continue after. `None` if the stream has ended or its start was delivered by another VM, so
    /// that the ids are not known; such a stream can only be interrupted.
    pub fn begin_epoch(&mut self) -> Option<Vec<u32>> {
        if self.finished || self.first_index > 0 {
            return None;
        }
        self.epoch += 1;
        Some(self.delivered.clone())
    }

    /// Returns where the stream continues on the same engine.
    pub fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            generation: self.generation.clone(),
            epoch: self.epoch,
            next_index: self.next_index,
        }
    }

    /// Returns whether no token was delivered.
    pub fn nothing_delivered(&self) -> bool {
        self.next_index == 0
    }

    /// Returns whether the end was delivered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn refuse(&self, generation: &str, epoch: u32) -> Option<TokenDecision> {
        if generation != self.generation {
            return Some(TokenDecision::OtherGeneration);
        }
        (epoch != self.epoch).then_some(TokenDecision::OtherEpoch)
    }
}
