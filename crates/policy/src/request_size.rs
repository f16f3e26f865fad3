//! Size of a request for the comparison of requests that can't be placed.

use crate::{PoolKey, PriorityClass};

/// Pool and class of a request, and the memory that it holds now and is expected to need in
/// addition, in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestSize {
    pub(crate) pool: PoolKey,
    pub(crate) class: PriorityClass,
    pub(crate) held: u32,
    pub(crate) remaining: u32,
}

impl RequestSize {
    /// Returns whether a request of size `other` can't be placed if one of size `self` can't.
    pub(crate) fn covers(&self, other: &RequestSize) -> bool {
        self.pool == other.pool
            && self.class <= other.class
            && self.held <= other.held
            && self.remaining <= other.remaining
    }
}
