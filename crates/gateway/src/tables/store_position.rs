//! Place of a record in the store.

use std::fmt;

/// Place of a record in a table of the store. Offsets are compared within an era only: a store that
/// comes back from an older copy gives out the offsets after it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of times that the store came back from an older copy.
    pub era: u64,
    /// Offset in the table.
    pub offset: u64,
}

impl StorePosition {
    /// Builds the place of the record at `offset` in era `era`.
    pub const fn new(era: u64, offset: u64) -> StorePosition {
        StorePosition { era, offset }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.offset)
    }
}
