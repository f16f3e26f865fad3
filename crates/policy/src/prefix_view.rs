//! View of a server's prefix cache.

use std::collections::BTreeMap;

/// Prefixes remembered per server. Older ones are forgotten first, as in the server.
const PREFIX_LIMIT: usize = 256;

/// Prefixes that a server is believed to hold. The events of the server are late and have gaps;
/// after a gap nothing is known.
#[derive(Debug, Clone, Default)]
pub struct PrefixView {
    prefixes: BTreeMap<u64, u64>,
    clock: u64,
    next_sequence: Option<u64>,
}

impl PrefixView {
    /// Notes that a request with this prefix was sent to the server.
    pub fn insert(&mut self, digest: u64) {
        self.clock += 1;
        self.prefixes.insert(digest, self.clock);
        if self.prefixes.len() <= PREFIX_LIMIT {
            return;
        }
        let oldest = self.prefixes.iter().min_by_key(|(_, used)| **used).map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.prefixes.remove(&oldest);
        }
    }

    /// Applies a cache event. A gap in the sequence clears the view.
    pub fn apply(&mut self, sequence: u64, digest: u64, inserted: bool) {
        if self.next_sequence.is_some_and(|next| next != sequence) {
            self.prefixes.clear();
        }
        self.next_sequence = Some(sequence + 1);
        if inserted {
            self.insert(digest);
        } else {
            self.prefixes.remove(&digest);
        }
    }

    /// Forgets everything, after a restart of the server.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.next_sequence = None;
    }

    /// Returns whether the server is believed to hold the prefix.
    pub fn contains(&self, digest: u64) -> bool {
        self.prefixes.contains_key(&digest)
    }
}
