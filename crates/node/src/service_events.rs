//! Service-level events of one request.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_burn::{SliEvent, SliMeasurement};
use dragonflycart_core::{
    ErrorKind, RouteName, RunState, ServiceError, TeamName, VersionName, ZoneName,
};

/// Collects the service-level events of one request and sends them at its end, so that a token
/// does not cost a message.
#[derive(Debug)]
pub(crate) struct ServiceEvents {
    team: TeamName,
    route: RouteName,
    /// Availability zone of the backend server that ran it last.
    pub(crate) zone: Option<ZoneName>,
    /// Model version that served it.
    pub(crate) version: Option<VersionName>,
    first_token: Option<Duration>,
    /// Number of token gaps per millisecond, rounded up.
    gaps: BTreeMap<u64, u64>,
}

impl ServiceEvents {
    /// Starts without events.
    pub(crate) fn new(team: TeamName, route: RouteName) -> ServiceEvents {
        ServiceEvents {
            team,
            route,
            zone: None,
            version: None,
            first_token: None,
            gaps: BTreeMap::new(),
        }
    }

    /// Notes the first token.
    pub(crate) fn first_token(&mut self, span: Duration) {
        self.first_token.get_or_insert(span);
    }

    /// Notes the gap between two tokens.
    pub(crate) fn token_gap(&mut self, span: Duration) {
        let millis = span.as_micros().div_ceil(1_000) as u64;
        *self.gaps.entry(millis).or_default() += 1;
    }

    /// Returns all events of a request that ended with `result`. A request that the caller got
    /// wrong is not an event.
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
        if kind.is_some_and(is_callers_fault) {
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

fn is_callers_fault(kind: ErrorKind) -> bool {
    kind.run_state() == RunState::NotRun && (400..500).contains(&kind.status())
}
