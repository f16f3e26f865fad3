//! Messages with which a VM forwards the store's tables to its peers.

use prost::Message;

/// First message of a connection: the positions that the subscriber has reached.
#[derive(Clone, PartialEq, Message)]
pub struct FeedRequest {
    /// Offset of the first order to send; none for all.
    #[prost(uint64, optional, tag = "1")]
    pub orders_from: Option<u64>,
    /// Offset of the first server registration to send; none for all.
    #[prost(uint64, optional, tag = "2")]
    pub servers_from: Option<u64>,
    /// Offset of the first status to send; none for all.
    #[prost(uint64, optional, tag = "3")]
    pub statuses_from: Option<u64>,
    /// Number of the first probe; none if the subscriber needs no confirmations of the plan.
    #[prost(uint64, optional, tag = "4")]
    pub probe: Option<u64>,
    /// Era of the store to which the offset of the orders belongs.
    #[prost(uint64, tag = "5")]
    pub orders_era: u64,
    /// Era of the store to which the offset of the server registrations belongs.
    #[prost(uint64, tag = "6")]
    pub servers_era: u64,
    /// Era of the store to which the offset of the statuses belongs.
    #[prost(uint64, tag = "7")]
    pub statuses_era: u64,
}

/// Probe of a subscriber, which the sender of the updates answers at once.
#[derive(Clone, PartialEq, Message)]
pub struct FeedProbe {
    /// Number of the probe. Numbers increase on a connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Statement that a plan was the newest one a given time ago.
#[derive(Clone, PartialEq, Message)]
pub struct PlanConfirmation {
    /// Number of the newest probe that the sender had received.
    #[prost(uint64, tag = "1")]
    pub probe: u64,
    /// Milliseconds since the orders known to the sender were known to be the newest.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
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

/// Update of one table.
#[derive(Clone, PartialEq, Message)]
pub struct TableUpdate {
    /// Records ordered by offset.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<FeedRecord>,
    /// Offset after the last record.
    #[prost(uint64, tag = "2")]
    pub next: u64,
    /// Whether the update is a snapshot of the whole table.
    #[prost(bool, tag = "3")]
    pub is_whole: bool,
    /// Milliseconds since the sender's copy was last known to be current.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Era of the store to which all offsets belong.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// Updates of the tables. Also sent at intervals without new records, as a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct FeedUpdate {
    /// Orders; none if the sender has none yet.
    #[prost(message, optional, tag = "1")]
    pub orders: Option<TableUpdate>,
    /// Registrations of servers; none if the sender has none yet.
    #[prost(message, optional, tag = "2")]
    pub servers: Option<TableUpdate>,
    /// Statuses of version moves; none if the sender has none yet.
    #[prost(message, optional, tag = "3")]
    pub statuses: Option<TableUpdate>,
    /// Confirmation of the plan; none if the subscriber sent no probe, or if the sender can't tell.
    #[prost(message, optional, tag = "4")]
    pub confirmation: Option<PlanConfirmation>,
}
