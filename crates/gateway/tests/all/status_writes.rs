//! Version moves while a store does not answer the writes of their statuses.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_gateway::{
    BoxFuture, FleetOrder, FleetStore, FleetTable, GatewayClock, GatewayContext, ServerRecord,
    StoreError, StorePosition, TableBatch, VersionMovePhase, VersionMoveRecord, VersionMoveSpec,
    VersionRole, control_version_moves,
};
use tokio::{sync::Notify, time::Instant};

use crate::{
    fixtures::{DESK, NAMES, position, settings},
    stub_protocol::StubProtocol,
};

/// Offset of the order.
const ORDER: u64 = 3;
/// Time from sufficient evidence until a bad version must get no more requests.
const STOP_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time until the first write.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Interval between two looks at the version move.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Store that accepts each write of a status and never answers.
#[derive(Default)]
struct SilentStore {
    write_begun: Notify,
}

impl FleetStore for SilentStore {
    fn read_newest(&self, _table: FleetTable) -> BoxFuture<'_, Result<TableBatch, StoreError>> {
        Box::pin(pending())
    }

    fn read_from(
        &self,
        _table: FleetTable,
        _from: StorePosition,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<TableBatch, StoreError>> {
        Box::pin(pending())
    }

    fn write_vm(&self, _name: &str, _value: Bytes) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(pending())
    }

    fn write_status(
        &self,
        _status: &VersionMoveRecord,
        _at: StorePosition,
    ) -> BoxFuture<'_, Result<(), StoreError>> {
        self.write_begun.notify_one();
        Box::pin(pending())
    }

    fn decode_status(
        &self,
        _key: &str,
        _value: &Bytes,
        _era: u64,
    ) -> Result<Option<VersionMoveRecord>, StoreError> {
        Ok(None)
    }

    fn decode_order(&self, _key: &str, _value: &Bytes) -> Result<Option<FleetOrder>, StoreError> {
        Ok(None)
    }

    fn decode_removed_order(&self, _key: &str) -> Option<String> {
        None
    }

    fn decode_server(&self, _value: &Bytes) -> Result<ServerRecord, StoreError> {
        Err(StoreError::Malformed("no servers".to_owned()))
    }
}

/// Returns the context of the only VM, which has read that a version move was ordered and that it
/// has no status yet.
fn moving_context(store: &Arc<SilentStore>) -> Arc<GatewayContext> {
    let store: Arc<dyn FleetStore> = Arc::<SilentStore>::clone(store);
    let context = GatewayContext::new(Arc::new(settings()), NAMES, store, Arc::new(StubProtocol));
    let order = VersionMoveSpec {
        service: DESK.to_owned(),
        target: "v2".to_owned(),
        time_limit: Duration::from_secs(60),
    };
    let now = context.clock.now();
    context.view().start_version_move(order, position(ORDER), now, GatewayClock::unix_ms());
    context.view().note_statuses_read();
    Arc::new(context)
}

/// Reads the empty table of statuses again and again until a write begins. A VM that has not read it
/// lately writes nothing.
async fn wait_write(context: &GatewayContext, store: &SilentStore) {
    let start = Instant::now();
    loop {
        let statuses = TableBatch { era: 0, records: Vec::new(), next: 0 };
        context.tables.apply(FleetTable::Statuses, statuses, true, Duration::ZERO, |_, _| false);
        if tokio::time::timeout(POLL_INTERVAL, store.write_begun.notified()).await.is_ok() {
            return;
        }
        assert!(start.elapsed() < WRITE_LIMIT, "no status is written");
    }
}

/// Records results of which those of the new version are all bad.
fn note_bad_version(context: &GatewayContext) {
    let mut view = context.view();
    let version_move = view.version_move_mut(DESK, position(ORDER)).unwrap();
    for _ in 0..100 {
        let time = Duration::from_millis(30);
        version_move.note_result("book", VersionRole::Old, false, time);
        version_move.note_result("book", VersionRole::New, true, time);
    }
}

/// Guards against a bad version that goes on getting requests because the VM waits for the store to
/// answer the write of a status, and does not look at the results meanwhile (EXPOSURE).
#[tokio::test]
async fn bad_version_is_rolled_back_while_a_write_to_the_store_hangs() {
    let store = Arc::new(SilentStore::default());
    let context = moving_context(&store);
    let control = tokio::spawn(control_version_moves(Arc::clone(&context)));
    wait_write(&context, &store).await;

    note_bad_version(&context);
    let phase = || context.view().version_move(DESK).unwrap().phase();
    let start = Instant::now();
    while phase() != VersionMovePhase::RolledBack && start.elapsed() < STOP_LIMIT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    assert_eq!(phase(), VersionMovePhase::RolledBack);
    control.abort();
}
