//! Generations of the fake engine.

use std::collections::{BTreeMap, VecDeque};

use crate::generation_record::GenerationRecord;

/// Generations by id. Ended ones are kept in a separate map, so that a step of the batch only
/// visits the open ones.
#[derive(Default)]
pub(crate) struct GenerationTable {
    open: BTreeMap<String, GenerationRecord>,
    ended: BTreeMap<String, GenerationRecord>,
    expiry: VecDeque<(u64, String)>,
}

impl GenerationTable {
    /// Returns the generation with the id, open or ended.
    pub(crate) fn get(&self, generation: &str) -> Option<&GenerationRecord> {
        self.open.get(generation).or_else(|| self.ended.get(generation))
    }

    /// Adds a generation and replaces its earlier epoch, if any.
    pub(crate) fn insert(&mut self, record: GenerationRecord) {
        let generation = record.request.generation.clone();
        self.ended.remove(&generation);
        self.open.insert(generation, record);
    }

    /// Returns the generation with the id if it is open.
    pub(crate) fn get_open(&mut self, generation: &str) -> Option<&mut GenerationRecord> {
        self.open.get_mut(generation).filter(|record| record.is_open())
    }

    /// Returns the open generations, and those that ended since the last [`Self::retire_ended`].
    pub(crate) fn open(&self) -> impl Iterator<Item = &GenerationRecord> {
        self.open.values()
    }

    /// Returns the open generations, and those that ended since the last [`Self::retire_ended`].
    pub(crate) fn open_mut(&mut self) -> impl Iterator<Item = &mut GenerationRecord> {
        self.open.values_mut()
    }

    /// Moves generations that have ended out of the open ones, and drops those that ended more than
    /// `retain_ms` ago.
    pub(crate) fn retire_ended(&mut self, now_ms: u64, retain_ms: u64) {
        for (generation, record) in self.open.extract_if(.., |_, record| !record.is_open()) {
            self.expiry.push_back((now_ms + retain_ms, generation.clone()));
            self.ended.insert(generation, record);
        }
        while let Some((expires_ms, generation)) = self.expiry.front() {
            if *expires_ms > now_ms {
                break;
            }
            // The entry may belong to an earlier epoch of the generation. The check of the end time
            // keeps the later epoch until its own entry expires.
            let expired = self.ended.get(generation).and_then(GenerationRecord::ended_at_ms);
            if expired.is_some_and(|ended_ms| ended_ms + retain_ms <= now_ms) {
                self.ended.remove(generation);
            }
            self.expiry.pop_front();
        }
    }

    /// Removes all generations.
    pub(crate) fn clear(&mut self) {
        *self = GenerationTable::default();
    }
}
