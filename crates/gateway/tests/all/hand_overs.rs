//! Hand-overs between VMs during which both act for a moment.

use std::{sync::Arc, time::Duration};

use dragonflycart_gateway::{FleetTable, GatewayContext, TableBatch, TableRecord, apply_batch};

use crate::{
    fixtures::context,
    stub_store::{EVACUATION, StubStore, table_record},
};

/// Applies one record of a table, as read from the store or forwarded by a reader.
fn apply(context: &GatewayContext, table: FleetTable, record: TableRecord) {
    let next = record.offset + 1;
    let batch = TableBatch { era: 0, records: vec![record], next };
    apply_batch(context, table, batch, false, Duration::ZERO);
}

/// Applies `first`, which is decoded slowly, and meanwhile the later record `second`.
fn apply_at_once(
    context: &Arc<GatewayContext>,
    store: &StubStore,
    table: FleetTable,
    first: TableRecord,
    second: TableRecord,
) {
    let other = Arc::clone(context);
    let forwarded = std::thread::spawn(move || apply(&other, table, first));
    store.wait_slow_decode();
    apply(context, table, second);
    forwarded.join().unwrap();
}

/// Guards against a server that left and is in use again: while the reader of the store changes, a
/// VM reads the removal itself and still applies the registration before it from the feed.
#[test]
fn registration_from_the_last_reader_does_not_undo_a_removal() {
    let store = Arc::new(StubStore::default());
    let context = context(Arc::clone(&store) as _);
    let registration = table_record(5, "d0", Some(StubStore::SLOW));
    let removal = table_record(6, "d0", None);

    apply_at_once(&context, &store, FleetTable::Servers, registration, removal);

    let view = context.view();
    let is_used = view.servers().any(|(key, _)| !view.is_leaving(key));
    assert!(!is_used, "the server is in use again");
}

/// Guards against a zone that stays out for good: while the reader of the store changes, a VM reads
/// that the evacuation has ended and still applies its beginning from the feed.
#[test]
fn evacuation_from_the_last_reader_does_not_undo_its_end() {
    let store = Arc::new(StubStore::default());
    let context = context(Arc::clone(&store) as _);
    let beginning = table_record(5, EVACUATION, Some(StubStore::SLOW));
    let end = table_record(6, EVACUATION, None);

    apply_at_once(&context, &store, FleetTable::Orders, beginning, end);

    assert!(!context.view().end_evacuation("a"), "the zone is still out");
}
