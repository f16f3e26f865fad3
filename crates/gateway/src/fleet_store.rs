//! Interface to the store that holds the records of operators, backend servers and VMs.

use std::{future::Future, pin::Pin, time::Duration};

use bytes::Bytes;

use crate::{
    FleetOrder, FleetTable, ServerRecord, StoreError, StorePosition, TableBatch, VersionMoveRecord,
};

/// Future returned by the object-safe asynchronous interfaces.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Access to the store and decoding of its records.
pub trait FleetStore: Send + Sync {
    /// Reads a snapshot of a table: the newest record of each key.
    fn read_newest(&self, table: FleetTable) -> BoxFuture<'_, Result<TableBatch, StoreError>>;

    /// Reads all records starting at `from`. Waits up to `wait` if there are none yet. Fails with
    /// [`StoreError::OtherEra`] if the store is no longer in the era of `from`.
    fn read_from(
        &self,
        table: FleetTable,
        from: StorePosition,
        wait: Duration,
    ) -> BoxFuture<'_, Result<TableBatch, StoreError>>;

    /// Writes the registration of a VM.
    fn write_vm(&self, name: &str, value: Bytes) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Writes the status of a version move if the table of statuses ends at `at`. Otherwise fails with
    /// [`StoreError::Conflict`], or with [`StoreError::OtherEra`] if the status was written in another
    /// era, at the same offset.
    fn write_status(
        &self,
        status: &VersionMoveRecord,
        at: StorePosition,
    ) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Decodes a record of the table of statuses, read in era `era`. Returns `Ok(None)` if it is of
    /// another kind.
    fn decode_status(
        &self,
        key: &str,
        value: &Bytes,
        era: u64,
    ) -> Result<Option<VersionMoveRecord>, StoreError>;

    /// Decodes a record of the operators' table. Returns `Ok(None)` if its key is unknown.
    fn decode_order(&self, key: &str, value: &Bytes) -> Result<Option<FleetOrder>, StoreError>;

    /// Returns the zone whose evacuation ends when the record with `key` is removed.
    fn decode_removed_order(&self, key: &str) -> Option<String>;

    /// Decodes the registration of a backend server.
    fn decode_server(&self, value: &Bytes) -> Result<ServerRecord, StoreError>;
}
