//! Store without network.

use std::{
    sync::{Condvar, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_gateway::{
    BoxFuture, FleetOrder, FleetStore, FleetTable, ServerRecord, StoreError, StorePosition,
    TableBatch, TableRecord, VersionMoveRecord,
};

use crate::fixtures::{DESK, record};

/// Key of the order that takes zone "a" out.
pub(crate) const EVACUATION: &str = "evacuate-a";

/// Stub store that holds nothing. Decoding of a record whose value is [`StubStore::SLOW`] takes until
/// another thread has had time to apply a later batch.
#[derive(Debug, Default)]
pub(crate) struct StubStore {
    slow_decodes: Mutex<u32>,
    slow_began: Condvar,
}

impl StubStore {
    /// Value of a record that is decoded slowly.
    pub(crate) const SLOW: &'static [u8] = b"slow";
    /// Duration of a slow decode.
    const SLOW_TIME: Duration = Duration::from_millis(300);

    /// Waits until a slow decode has begun.
    pub(crate) fn wait_slow_decode(&self) {
        let count = self.slow_decodes.lock().unwrap();
        drop(self.slow_began.wait_while(count, |count| *count == 0).unwrap());
    }

    fn decode(&self, value: &Bytes) {
        if value != StubStore::SLOW {
            return;
        }
        *self.slow_decodes.lock().unwrap() += 1;
        self.slow_began.notify_all();
        std::thread::sleep(StubStore::SLOW_TIME);
    }
}

/// Returns the record of a key at an offset.
pub(crate) fn table_record(offset: u64, key: &str, value: Option<&'static [u8]>) -> TableRecord {
    TableRecord { offset, key: key.to_owned(), value: value.map(Bytes::from_static) }
}

impl FleetStore for StubStore {
    fn read_newest(&self, _: FleetTable) -> BoxFuture<'_, Result<TableBatch, StoreError>> {
        Box::pin(async { Ok(TableBatch { era: 0, records: Vec::new(), next: 0 }) })
    }

    fn read_from(
        &self,
        _: FleetTable,
        from: StorePosition,
        _: Duration,
    ) -> BoxFuture<'_, Result<TableBatch, StoreError>> {
        Box::pin(
            async move { Ok(TableBatch { era: from.era, records: Vec::new(), next: from.offset }) },
        )
    }

    fn write_vm(&self, _: &str, _: Bytes) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn write_status(
        &self,
        _: &VersionMoveRecord,
        _: StorePosition,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn decode_status(
        &self,
        _: &str,
        value: &Bytes,
        _: u64,
    ) -> Result<Option<VersionMoveRecord>, StoreError> {
        self.decode(value);
        Ok(None)
    }

    fn decode_order(&self, key: &str, value: &Bytes) -> Result<Option<FleetOrder>, StoreError> {
        self.decode(value);
        Ok((key == EVACUATION).then(|| FleetOrder::EvacuateZone { zone: "a".to_owned() }))
    }

    fn decode_removed_order(&self, key: &str) -> Option<String> {
        (key == EVACUATION).then(|| "a".to_owned())
    }

    fn decode_server(&self, value: &Bytes) -> Result<ServerRecord, StoreError> {
        self.decode(value);
        Ok(record(DESK, "a", 8_000))
    }
}
