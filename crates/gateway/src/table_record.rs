//! Record of a table in the store.

use bytes::Bytes;
use strum::{Display, IntoStaticStr};

/// Table of the store that every VM follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FleetTable {
    /// What operators ask for.
    Orders,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of VMs of the system.
    Vms,
    /// Statuses of moves to other versions.
    Statuses,
}

/// Newest value of a key at some offset of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRecord {
    /// Offset in the table; a higher one is newer.
    pub offset: u64,
    /// Key.
    pub key: String,
    /// Value, or `None` where the key was removed.
    pub value: Option<Bytes>,
}

/// Result of reading a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableBatch {
    /// Records in the order of their offsets.
    pub records: Vec<TableRecord>,
    /// Offset from which to read on.
    pub next: u64,
}
