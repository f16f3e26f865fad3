//! Definition of a service-level objective.

use std::time::Duration;

use dragonflycart_core::{RouteName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{SliEvent, SliKind, SliMeasurement};

/// Definition of a service-level objective: the share of events that must be good over a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SloDefinition {
    /// Name, unique among the objectives.
    pub name: String,
    /// Route of a model, or operation of a service.
    pub route: RouteName,
    /// Team; all teams if `None`.
    pub team: Option<TeamName>,
    /// What counts as a good event.
    pub kind: SliKind,
    /// Longest time of a good event, in microseconds, for the kinds that measure one.
    pub threshold_us: Option<u64>,
    /// Share of events that must be good, below 1.
    pub ratio: f64,
    /// Window over which the share is computed, in milliseconds.
    pub window_ms: u64,
}

impl SloDefinition {
    /// Returns whether `event` counts for this objective.
    pub fn covers(&self, event: &SliEvent) -> bool {
        self.kind == event.measure.kind()
            && self.route == event.route
            && self.team.as_ref().is_none_or(|team| *team == event.team)
    }

    /// Returns whether a measured event is good. Without a threshold every time is good.
    pub fn is_good(&self, measure: SliMeasurement) -> bool {
        let within = |duration: Duration| {
            self.threshold_us.is_none_or(|threshold| duration.as_micros() <= u128::from(threshold))
        };
        match measure {
            SliMeasurement::FirstToken(duration) | SliMeasurement::TokenGap(duration) => {
                within(duration)
            }
            SliMeasurement::WithinDeadline(good) | SliMeasurement::Answered(good) => good,
        }
    }
}
