//! Events of one request that count towards service-level objectives.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_burn::{SliEvent, SliMeasurement};
use dragonflycart_core::{
    ErrorKind, RouteName, RunState, ServiceError, TeamName, VersionName, ZoneName,
};

/// Collects the events of one request that count towards service-level objectives. They are sent
/// together at its end, to avoid one message per token.
#[derive(Debug)]
pub(crate) struct SloEvents {
    team: TeamName,
    route: RouteName,
    /// Availability zone of the backend server that last ran the request.
    pub(crate) zone: Option<ZoneName>,
    /// Model version that served the request.
    pub(crate) version: Option<VersionName>,
    first_token: Option<Duration>,
    /// Number of gaps between tokens by length, in milliseconds rounded up.
    gaps: BTreeMap<u64, u64>,
}

impl SloEvents {
    /// Creates an empty collection.
    pub(crate) fn new(team: TeamName, route: RouteName) -> SloEvents {
        SloEvents {
            team,
            route,
            zone: None,
            version: None,
            first_token: None,
            gaps: BTreeMap::new(),
        }
    }

    /// Records the time to the first token.
    pub(crate) fn first_token(&mut self, span: Duration) {
        self.first_token.get_or_insert(span);
    }

    /// Records the gap between two tokens.
    pub(crate) fn token_gap(&mut self, span: Duration) {
        let millis = span.as_micros().div_ceil(1_000) as u64;
        *self.gaps.entry(millis).or_default() += 1;
    }

    /// Returns all events of a request that ended with `result`. An error of the caller counts
    /// neither as a good nor as a bad event.
    pub(crate) fn close<T>(self, result: &Result<T, ServiceError>) -> Vec<SliEvent> {
        let mut events = Vec::with_capacity(self.gaps.len() + 3);
        if let Some(span) = self.first_token {
            events.push(self.event(SliMeasurement::FirstToken(span), 1));
        }
        for (millis, count) in &self.gaps {
            let measure = SliMeasurement::TokenGap(Duration::from_millis(*millis));
            events.push(self.event(measure, *count));
        }
        let kind = result.as_ref().err().map(ServiceError::kind);
        if kind.is_some_and(is_caller_error) {
            return events;
        }
        let late =
            matches!(kind, Some(ErrorKind::DeadlineExceeded | ErrorKind::DeadlineNotStarted));
        events.push(self.event(SliMeasurement::WithinDeadline(!late && kind.is_none()), 1));
        events.push(self.event(SliMeasurement::Answered(kind.is_none()), 1));
        events
    }

    fn event(&self, measure: SliMeasurement, count: u64) -> SliEvent {
        SliEvent {
            route: self.route.clone(),
            team: self.team.clone(),
            zone: self.zone.clone(),
            version: self.version.clone(),
            measure,
            count,
        }
    }
}

fn is_caller_error(kind: ErrorKind) -> bool {
    kind.run_state() == RunState::NotRun && (400..500).contains(&kind.status())
}
