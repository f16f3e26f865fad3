//! Why a move ended.

use std::fmt;

use dragonflycart_core::RouteName;

use crate::{MoveMeasure, MoveStratum};

/// Why a move ended, with the evidence.
#[derive(Debug, Clone, PartialEq)]
pub enum MoveReason {
    /// The comparison showed that the new version is worse.
    Worse {
        /// Route on which it is worse; `None` if on all routes together.
        route: Option<RouteName>,
        /// What is worse.
        measure: MoveMeasure,
        /// Requests and bad requests of both versions.
        counts: MoveStratum,
        /// Combined evidence; the version is rolled back at the inverse of the error bound.
        evidence: f64,
    },
    /// The deadline came before the new version was proven good.
    Unproven {
        /// Route without proof; `None` if all routes together.
        route: Option<RouteName>,
        /// Measure without proof.
        measure: MoveMeasure,
        /// Requests of the new version that the proof rests on.
        requests: u64,
        /// Evidence that the version is good.
        evidence: f64,
    },
    /// The deadline came before the new version had its full share for long enough without an
    /// alarm, or while the evidence leaned against it.
    Doubtful {
        /// Combined evidence against the new version.
        evidence: f64,
    },
    /// The deadline came with too little traffic to judge the new version.
    TooLittleTraffic {
        /// Requests that concluded on the new version.
        requests: u64,
        /// Requests needed.
        needed: u64,
    },
    /// The new version was proven good.
    Proven {
        /// Requests of the new version that the proof rests on.
        requests: u64,
        /// Routes with too little traffic to be judged.
        unjudged: Vec<RouteName>,
    },
    /// Another VM decided.
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
            MoveReason::Worse { route, measure, counts, evidence } => {
                f.write_str("the new version is worse ")?;
                write_scope(f, route.as_ref())?;
                write!(f, ": {measure} {} of {} requests, ", counts.new_bad, counts.new)?;
                write!(f, "old version {} of {} in the same period", counts.old_bad, counts.old)?;
                write!(f, " (evidence {evidence:.0})")
            }
            MoveReason::Unproven { route, measure, requests, evidence } => {
                f.write_str("not proven good by the deadline ")?;
                write_scope(f, route.as_ref())?;
                write!(f, ": {measure}, {requests} requests (evidence {evidence:.1})")
            }
            MoveReason::Doubtful { evidence } => {
                f.write_str("not watched at full share without an alarm by the deadline")?;
                write!(f, " (evidence against the new version {evidence:.1})")
            }
            MoveReason::TooLittleTraffic { requests, needed } => {
                write!(f, "too little traffic by the deadline: {requests} of {needed} requests")
            }
            MoveReason::Proven { requests, unjudged } => {
                write!(f, "proven good by {requests} requests")?;
                for route in unjudged {
                    write!(f, "; too little traffic to judge route {route}")?;
                }
                Ok(())
            }
            MoveReason::Peer => f.write_str("decided by another VM"),
        }
    }
}
