//! Parts of a server's score.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter};

/// Part of a server's score. The server with the lowest score is chosen.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumCount,
    EnumIter,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ScorePart {
    /// Requests relative to slots, and requests beyond those that the server takes well.
    Use,
    /// Engine memory in use.
    Memory,
    /// Time until the first event, or prompt tokens that wait.
    FirstEvent,
    /// Pauses between events that are longer than their target.
    Pauses,
    /// Speed: latency of plain servers, engines kept free for long streams, and servers that are
    /// measured again.
    Speed,
    /// Time to copy the memory of a moved generation.
    Arrival,
    /// Another zone than the preferred one.
    Zone,
    /// Shared prompt prefix that is probably in the server's cache.
    Prefix,
    /// Recently lost responses.
    Losses,
    /// Failed requests and expired registration.
    Failures,
    /// Random part, which differs between requests.
    Random,
}
