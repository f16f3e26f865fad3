//! Forwards the store's tables to peers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::{info, warn};

use crate::{
    BootTime, FeedProbe, FeedRecord, FeedRequest, FeedUpdate, FleetTable, GatewayContext,
    PlanConfirmation, StorePosition, TableRecord, TableUpdate, server_connection,
};

/// Interval of messages without new records. A subscriber that no longer receives messages soon
/// reads the store itself.
const TICK: Duration = Duration::from_millis(300);
/// Maximum time to receive a subscriber's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to send a message to a subscriber.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves subscribers for the lifetime of the process.
pub async fn serve(context: Arc<GatewayContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_subscriber(Arc::clone(&context), stream));
            }
            Err(error) => {
                warn!(%error, "feed: can't accept");
                tokio::time::sleep(TICK).await;
            }
        }
    }
}

async fn serve_subscriber(context: Arc<GatewayContext>, stream: TcpStream) {
    if let Err(error) = server_connection::set_socket_options(&stream) {
        info!(%error, "feed: can't set socket options");
    }
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let request = tokio::time::timeout(REQUEST_TIMEOUT, frames.next()).await;
    let Ok(Some(Ok(bytes))) = request else { return };
    let request = match FeedRequest::decode(bytes) {
        Ok(request) => request,
        Err(error) => {
            info!(%error, "feed: request not understood");
            return;
        }
    };
    let mut changes = context.tables.subscribe();
    let position = |era, offset: Option<u64>| offset.map(|offset| StorePosition::new(era, offset));
    let mut orders_from = position(request.orders_era, request.orders_from);
    let mut servers_from = position(request.servers_era, request.servers_from);
    let mut statuses_from = position(request.statuses_era, request.statuses_from);
    let mut probe = request.probe;
    loop {
        changes.mark_unchanged();
        let update = FeedUpdate {
            orders: read_table(&context, FleetTable::Orders, &mut orders_from),
            servers: read_table(&context, FleetTable::Servers, &mut servers_from),
            statuses: read_table(&context, FleetTable::Statuses, &mut statuses_from),
            confirmation: probe.and_then(|probe| confirm_plan(&context, probe)),
        };
        let sent = frames.send(Bytes::from(update.encode_to_vec()));
        if !matches!(tokio::time::timeout(SEND_TIMEOUT, sent).await, Ok(Ok(()))) {
            return;
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(TICK) => {}
            frame = frames.next() => {
                let Some(Ok(bytes)) = frame else { return };
                match FeedProbe::decode(bytes) {
                    Ok(next) => probe = Some(next.number),
                    Err(error) => {
                        info!(%error, "feed: probe not understood");
                        return;
                    }
                }
            }
        }
    }
}

fn confirm_plan(context: &GatewayContext, probe: u64) -> Option<PlanConfirmation> {
    let age = context.freshness().age(BootTime::now())?;
    // Rounded up, since a plan must not look younger than it is.
    Some(PlanConfirmation { probe, age_ms: age.as_millis() as u64 + 1 })
}

fn read_table(
    context: &GatewayContext,
    table: FleetTable,
    from: &mut Option<StorePosition>,
) -> Option<TableUpdate> {
    let delta = context.tables.since(table, *from)?;
    let age = context.tables.age(table)?;
    if let (true, Some(from)) = (delta.is_whole, *from) {
        let next = StorePosition::new(delta.era, delta.next);
        info!(%table, %from, %next, "feed: whole table sent, removals may be unknown");
    }
    *from = Some(StorePosition::new(delta.era, delta.next));
    let mut records = Vec::new();
    for TableRecord { offset, key, value } in delta.records {
        records.push(FeedRecord { offset, key, value });
    }
    let (era, next, is_whole) = (delta.era, delta.next, delta.is_whole);
    Some(TableUpdate { era, records, next, is_whole, age_ms: age.as_millis() as u64 })
}
