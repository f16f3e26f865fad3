//! Receives the store's tables from the peer that reads them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::info;

use crate::{
    BootTime, FeedProbe, FeedProbes, FeedRequest, FeedUpdate, FleetTable, GatewayContext,
    StorePosition, TableBatch, TableRecord, TableUpdate, server_connection, table_sync,
};

/// Interval at which to check which peer reads the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a message after which the connection is closed.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum time to send a probe.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason for which a working feed is left.
const ANOTHER_READER: &str = "another reader";

/// Subscribes to the peer that reads the store, for the lifetime of the process.
pub async fn follow(context: Arc<GatewayContext>) {
    loop {
        let reader = context.peers().store_reader(context.clock.now());
        match reader {
            None => tokio::time::sleep(CHECK_INTERVAL).await,
            Some(address) => {
                let reason = follow_peer(&context, address).await;
                info!(%address, reason, "feed: lost");
                if reason != ANOTHER_READER {
                    context.peers().note_feed_failure(address, context.clock.now());
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Applies updates from a peer until the connection fails or another peer becomes the reader.
/// Returns the reason.
async fn follow_peer(context: &GatewayContext, address: SocketAddr) -> &'static str {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else { return "unreachable" };
    if let Err(error) = server_connection::set_socket_options(&stream) {
        info!(%error, "feed: can't set socket options");
    }
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let is_bounded = context.freshness().is_bounded();
    let mut probes = FeedProbes::default();
    let [orders, servers, statuses] =
        [FleetTable::Orders, FleetTable::Servers, FleetTable::Statuses]
            .map(|table| context.tables.next(table));
    let era = |next: Option<StorePosition>| next.map_or(0, |next| next.era);
    let request = FeedRequest {
        orders_from: orders.map(|next| next.offset),
        orders_era: era(orders),
        servers_from: servers.map(|next| next.offset),
        servers_era: era(servers),
        statuses_from: statuses.map(|next| next.offset),
        statuses_era: era(statuses),
        probe: is_bounded.then(|| probes.next(BootTime::now())),
    };
    if frames.send(Bytes::from(request.encode_to_vec())).await.is_err() {
        return "closed";
    }
    info!(%address, "feed: subscribed");
    context.tables.set_wake_on_every_batch(context.peers().is_large());
    loop {
        let bytes = match tokio::time::timeout(MESSAGE_TIMEOUT, frames.next()).await {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(_)) | None) => return "closed",
            Err(_) => return "silent",
        };
        let Ok(update) = FeedUpdate::decode(bytes) else { return "not understood" };
        let knows_orders = apply_table(context, FleetTable::Orders, update.orders);
        apply_table(context, FleetTable::Servers, update.servers);
        apply_table(context, FleetTable::Statuses, update.statuses);
        // A peer in an earlier era of the store may confirm a plan that this VM never had.
        if let Some(confirmation) = update.confirmation.filter(|_| knows_orders)
            && let Some(asked_at) = probes.sent_at(confirmation.probe)
        {
            let age = Duration::from_millis(confirmation.age_ms);
            context.freshness().note_peer_age(asked_at, age);
        }
        let now = BootTime::now();
        if is_bounded && probes.is_due(now) {
            let probe = FeedProbe { number: probes.next(now) };
            let sending = frames.send(Bytes::from(probe.encode_to_vec()));
            if !matches!(tokio::time::timeout(SEND_TIMEOUT, sending).await, Ok(Ok(()))) {
                return "closed";
            }
        }
        if context.peers().store_reader(context.clock.now()) != Some(address) {
            return ANOTHER_READER;
        }
    }
}

/// Applies the update of a table. Returns whether there is one and it was not of another era.
fn apply_table(context: &GatewayContext, table: FleetTable, update: Option<TableUpdate>) -> bool {
    let Some(update) = update else { return false };
    let records = update
        .records
        .into_iter()
        .map(|record| TableRecord { offset: record.offset, key: record.key, value: record.value })
        .collect();
    let batch = TableBatch { era: update.era, records, next: update.next };
    let age = Duration::from_millis(update.age_ms);
    table_sync::apply_batch(context, table, batch, update.is_whole, age)
}
