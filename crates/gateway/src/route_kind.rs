//! Kinds of routes.

use strum::{Display, EnumString, IntoStaticStr};

/// Kind of a route's requests, which determines whether they may be retried.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is an event stream; a request runs at most once unless its route is resumable.
    Stream,
}

impl RouteKind {
    /// Returns whether every request of the kind can be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        self == RouteKind::Idempotent
    }
}
