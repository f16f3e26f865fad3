//! What a holder of an older copy of a table lacks.

use crate::TableRecord;

/// Changes of a table since some offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta {
    /// Era of the store to which all offsets belong.
    pub era: u64,
    /// Records ordered by offset.
    pub records: Vec<TableRecord>,
    /// Offset up to which they bring the older copy.
    pub next: u64,
    /// Whether these are all records of the table, because not all removals since that offset are
    /// known. Keys that are missing were removed.
    pub is_whole: bool,
}
