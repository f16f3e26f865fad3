//! Reason why a move was done or rolled back.

use std::fmt;

use dragonflycart_core::RouteName;

use crate::{MoveMetric, MoveStratum};

/// Reason why a move was done or rolled back, with the figures behind it.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveReason {
    /// The tests showed that the new version is worse than the old one.
    Worse {
        /// Route on which it is worse; `None` if on all routes together.
        route: Option<RouteName>,
        /// Metric on which it is worse.
        metric: MoveMetric,
        /// Recent requests and bad requests of both versions.
        counts: MoveStratum,
        /// Combined e-value. The version is rolled back once it reaches the inverse of the error
        /// bound.
        e_value: f64,
    },
    /// The deadline came before the new version passed the acceptance tests.
    NotAccepted {
        /// Route whose test was not passed; `None` for the test over all routes.
        route: Option<RouteName>,
        /// Metric whose test was not passed.
        metric: MoveMetric,
        /// Requests of the new version in the test.
        requests: u64,
        /// E-value of the acceptance test.
        e_value: f64,
    },
    /// The deadline came before the new version had its full share without an alarm for long
    /// enough, or while the e-value against it was high.
    Inconclusive {
        /// Combined e-value against the new version.
        e_value: f64,
    },
    /// The deadline came with too little traffic to evaluate the new version.
    TooLittleTraffic {
        /// Requests that concluded on the new version.
        requests: u64,
        /// Requests needed.
        needed: u64,
    },
    /// The new version passed the acceptance tests.
    Accepted {
        /// Concluded requests of the new version.
        requests: u64,
        /// Routes with too little traffic to be tested.
        skipped_routes: Vec<RouteName>,
    },
    /// Another VM decided and sent the new state.
    Peer,
}

fn write_scope(f: &mut fmt::Formatter<'_>, route: Option<&RouteName>) -> fmt::Result {
    match route {
        Some(route) => write!(f, "on route {route}"),
        None => f.write_str("on all routes together"),
    }
}

impl fmt::Display for MoveReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MoveReason::Worse { route, metric, counts, e_value } => {
                f.write_str("the new version is worse ")?;
                write_scope(f, route.as_ref())?;
                write!(f, ": {metric} {} of {} requests, ", counts.new_bad, counts.new)?;
                write!(f, "old version {} of {} in the same period", counts.old_bad, counts.old)?;
                write!(f, " (evidence {e_value:.0})")
            }
            MoveReason::NotAccepted { route, metric, requests, e_value } => {
                f.write_str("not proven good by the deadline ")?;
                write_scope(f, route.as_ref())?;
                write!(f, ": {metric}, {requests} requests (evidence {e_value:.1})")
            }
            MoveReason::Inconclusive { e_value } => {
                f.write_str("not watched at full share without an alarm by the deadline")?;
                write!(f, " (evidence against the new version {e_value:.1})")
            }
            MoveReason::TooLittleTraffic { requests, needed } => {
                write!(f, "too little traffic by the deadline: {requests} of {needed} requests")
            }
            MoveReason::Accepted { requests, skipped_routes } => {
                write!(f, "proven good by {requests} requests")?;
                for route in skipped_routes {
                    write!(f, "; too little traffic to judge route {route}")?;
                }
                Ok(())
            }
            MoveReason::Peer => f.write_str("decided by another VM"),
        }
    }
}
