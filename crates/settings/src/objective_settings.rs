//! One service-level objective.

use std::time::Duration;

use dragonflycart_core::{RouteName, TeamName};

use crate::{ObjectiveKind, section_values::SectionValues};

/// Settings of one service-level objective.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectiveSettings {
    /// Route of a model, or operation of a service.
    pub route: RouteName,
    /// Team; all teams if not set.
    pub team: Option<TeamName>,
    /// What counts as a good event.
    pub kind: ObjectiveKind,
    /// Longest time of a good event, for the kinds that measure one.
    pub threshold: Option<Duration>,
    /// Share of events that must be good.
    pub ratio: f64,
    /// Window over which the share is computed.
    pub window: Duration,
}

impl ObjectiveSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<ObjectiveSettings> {
        let team = values.text("team").filter(|team| *team != "all");
        Some(ObjectiveSettings {
            route: values.parsed("route")?,
            team: team.and_then(|team| team.parse().ok()),
            kind: values.parsed("kind")?,
            threshold: values.duration("threshold"),
            ratio: values.number("ratio")?,
            window: values.duration("window")?,
        })
    }
}
