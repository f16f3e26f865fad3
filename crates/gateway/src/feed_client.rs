//! Takes the tables of the store from the peer that reads them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::info;

use crate::{
    FeedNews, FeedRequest, FeedTable, FleetTable, GatewayContext, TableBatch, TableRecord,
    server_connection, table_follower,
};

/// Time between checks which peer reads the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a connection to be established.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time without a message after which the connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Follows the reading peer for the lifetime of the process.
pub async fn follow(context: Arc<GatewayContext>) {
    loop {
        let reader = context.peers().reader(context.clock.now());
        match reader {
            None => tokio::time::sleep(CHECK_INTERVAL).await,
            Some(address) => {
                let reason = follow_peer(&context, address).await;
                info!(%address, reason, "feed: lost");
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Takes messages from a peer until it stops or another one becomes the reader. Returns why.
async fn follow_peer(context: &GatewayContext, address: SocketAddr) -> &'static str {
    let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connecting.await else { return "unreachable" };
    if let Err(error) = server_connection::set_socket_options(&stream) {
        info!(%error, "feed: can't set socket options");
    }
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let request = FeedRequest {
        orders_from: context.tables.next(FleetTable::Orders),
        servers_from: context.tables.next(FleetTable::Servers),
        statuses_from: context.tables.next(FleetTable::Statuses),
    };
    if frames.send(Bytes::from(request.encode_to_vec())).await.is_err() {
        return "closed";
    }
    info!(%address, "feed: subscribed");
    context.tables.set_passes_ages_on(context.peers().is_large());
    loop {
        let bytes = match tokio::time::timeout(SILENCE_LIMIT, frames.next()).await {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(Some(Err(_)) | None) => return "closed",
            Err(_) => return "silent",
        };
        let Ok(news) = FeedNews::decode(bytes) else { return "not understood" };
        take_table(context, FleetTable::Orders, news.orders);
        take_table(context, FleetTable::Servers, news.servers);
        take_table(context, FleetTable::Statuses, news.statuses);
        if context.peers().reader(context.clock.now()) != Some(address) {
            return "another reader";
        }
    }
}

fn take_table(context: &GatewayContext, table: FleetTable, news: Option<FeedTable>) {
    let Some(news) = news else { return };
    let records = news
        .records
        .into_iter()
        .map(|record| TableRecord { offset: record.offset, key: record.key, value: record.value })
        .collect();
    let batch = TableBatch { records, next: news.next };
    let age = Duration::from_millis(news.age_ms);
    table_follower::take(context, table, batch, news.is_whole, age);
}
