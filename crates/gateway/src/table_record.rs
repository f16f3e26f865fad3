//! Records and tables of the store.

use bytes::Bytes;
use strum::{Display, IntoStaticStr};

/// Table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FleetTable {
    /// Orders of operators.
    Orders,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of VMs.
    Vms,
    /// Statuses of version moves.
    Statuses,
}

/// Record of a key's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRecord {
    /// Offset in the table. Records with higher offsets are newer.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// Value, or `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// Result of reading a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableBatch {
    /// Era of the store to which all offsets belong.
    pub era: u64,
    /// Records ordered by offset.
    pub records: Vec<TableRecord>,
    /// Offset at which to continue reading.
    pub next: u64,
}
