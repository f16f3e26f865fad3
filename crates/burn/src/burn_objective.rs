//! Definition of a service-level objective.

use std::time::Duration;

use dragonflycart_core::{RouteName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{BurnEvent, BurnKind, BurnMeasure};

/// Service-level objective: a share of events that must be good over a period.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnObjective {
    /// Name, unique among the objectives.
    pub name: String,
    /// Route of a model, or operation of a service.
    pub route: RouteName,
    /// Team; all teams if `None`.
    pub team: Option<TeamName>,
    /// What counts as a good event.
    pub kind: BurnKind,
    /// Longest time of a good event, in microseconds, for the kinds that measure one.
    pub threshold_us: Option<u64>,
    /// Share of events that must be good, below 1.
    pub ratio: f64,
    /// Period over which the share is taken, in milliseconds.
    pub window_ms: u64,
}

impl BurnObjective {
    /// Returns whether `event` counts for this objective.
    pub fn covers(&self, event: &BurnEvent) -> bool {
        self.kind == event.measure.kind()
            && self.route == event.route
            && self.team.as_ref().is_none_or(|team| *team == event.team)
    }

    /// Returns whether a measured event is good. A time without a threshold is good.
    pub fn is_good(&self, measure: BurnMeasure) -> bool {
        let within = |span: Duration| {
            self.threshold_us.is_none_or(|threshold| span.as_micros() <= u128::from(threshold))
        };
        match measure {
            BurnMeasure::FirstToken(span) | BurnMeasure::TokenGap(span) => within(span),
            BurnMeasure::WithinDeadline(good) | BurnMeasure::Answered(good) => good,
        }
    }
}
