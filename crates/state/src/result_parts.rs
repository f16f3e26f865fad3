//! Parts of the result of one attempt at a job.

use std::collections::BTreeMap;

use bytes::Bytes;
use dragonflycart_core::LogOffset;

/// Parts of the result of one attempt by one worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResultParts {
    count: u32,
    parts: BTreeMap<u32, (LogOffset, Bytes)>,
}

impl ResultParts {
    /// Creates the collection of a result with `count` parts, none of which is known.
    pub fn new(count: u32) -> ResultParts {
        ResultParts { count, parts: BTreeMap::new() }
    }

    /// Returns the number of parts that the result has.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a part that first appeared at `offset`. Parts beyond the count are ignored.
    pub fn add(&mut self, part: u32, offset: LogOffset, body: Bytes) {
        if part >= self.count {
            return;
        }
        let (known, _) = self.parts.entry(part).or_insert((offset, body));
        *known = offset.min(*known);
    }

    /// Returns the offset of the record that completed the result, or `None` if a part is missing.
    pub fn completed_at(&self) -> Option<LogOffset> {
        if self.count == 0 || self.parts.len() < self.count as usize {
            return None;
        }
        self.parts.values().map(|(offset, _)| *offset).max()
    }

    /// Returns the parts with their numbers and first offsets.
    pub fn parts(&self) -> impl Iterator<Item = (u32, LogOffset, &Bytes)> {
        self.parts.iter().map(|(part, (offset, body))| (*part, *offset, body))
    }

    /// Returns the content of all known parts, joined in order.
    pub fn body(&self) -> Bytes {
        let mut body = Vec::new();
        for (_, part) in self.parts.values() {
            body.extend_from_slice(part);
        }
        Bytes::from(body)
    }
}
