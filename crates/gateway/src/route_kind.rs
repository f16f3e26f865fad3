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
    /// The response is an event stream; a request runs at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_retryable(self) -> bool {
        self == RouteKind::Idempotent
    }
}
