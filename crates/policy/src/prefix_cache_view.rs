//! This VM's view of a server's prefix cache.

use std::collections::BTreeMap;

/// Number of prefixes that are remembered per server. The least recently used one is removed first,
/// as in the server.
const PREFIX_LIMIT: usize = 256;

/// Prefixes that a server's cache is expected to hold. The cache events of the server arrive late
/// and may have gaps. A gap clears the view.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheView {
    /// Value of `use_count` at the last use of each prefix.
    prefixes: BTreeMap<u64, u64>,
    use_count: u64,
    next_sequence: Option<u64>,
}

impl PrefixCacheView {
    /// Records that a request with this prefix was sent to the server.
    pub fn insert(&mut self, digest: u64) {
        self.use_count += 1;
        self.prefixes.insert(digest, self.use_count);
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

    /// Clears the view after a restart of the server.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.next_sequence = None;
    }

    /// Returns whether the server's cache is expected to hold the prefix.
    pub fn contains(&self, digest: u64) -> bool {
        self.prefixes.contains_key(&digest)
    }
}
