//! Size of a request as servers judge it.

use crate::{PoolKey, PriorityClass};

/// Memory that a request holds now and is expected to need in addition, in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestSize {
    pub(crate) pool: PoolKey,
    pub(crate) class: PriorityClass,
    pub(crate) held: u32,
    pub(crate) remaining: u32,
}

impl RequestSize {
    /// Returns whether a server that refuses `self` refuses `other` as well.
    pub(crate) fn covers(&self, other: &RequestSize) -> bool {
        self.pool == other.pool
            && self.class <= other.class
            && self.held <= other.held
            && self.remaining <= other.remaining
    }
}
