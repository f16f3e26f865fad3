//! Messages by which a VM passes the tables of the store on to its peers.

use prost::Message;

/// First message of a connection: what the subscriber has.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRequest {
    /// Offset from which orders are wanted; none for all.
    #[prost(uint64, optional, tag = "1")]
    pub orders_from: Option<u64>,
    /// Offset from which registrations of servers are wanted; none for all.
    #[prost(uint64, optional, tag = "2")]
    pub servers_from: Option<u64>,
    /// Offset from which statuses are wanted; none for all.
    #[prost(uint64, optional, tag = "3")]
    pub statuses_from: Option<u64>,
}

/// Record of a table.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRecord {
    /// Offset in the table.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Value; none if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

/// News of one table.
#[derive(Clone, PartialEq, Message)]
pub struct TableUpdate {
    /// Records in the order of their offsets.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<FeedRecord>,
    /// Offset from which the table goes on.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Whether these are all records of the table.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
    /// Milliseconds since the sender knew the table to be current.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// News of the tables; sent at intervals even if there are none.
#[derive(Clone, PartialEq, Message)]
pub struct FeedUpdate {
    /// Orders; none if the sender has none yet.
    #[prost(message, optional, tag = "1")]
    pub orders: Option<TableUpdate>,
    /// Registrations of servers; none if the sender has none yet.
    #[prost(message, optional, tag = "2")]
    pub servers: Option<TableUpdate>,
    /// Statuses of moves to other versions; none if the sender has none yet.
    #[prost(message, optional, tag = "3")]
    pub statuses: Option<TableUpdate>,
}
