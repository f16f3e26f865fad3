//! What was measured of an event.

use std::time::Duration;

use crate::SliKind;

/// What was measured of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliMeasurement {
    /// Time from the request to the first token.
    FirstToken(Duration),
    /// Time from one token to the next.
    TokenGap(Duration),
    /// Whether the work finished within its deadline.
    WithinDeadline(bool),
    /// Whether the request got an answer that is not a failure of the service.
    Answered(bool),
}

impl SliMeasurement {
    /// Returns the kind of objective that the measure counts for.
    pub fn kind(self) -> SliKind {
        match self {
            SliMeasurement::FirstToken(_) => SliKind::FirstToken,
            SliMeasurement::TokenGap(_) => SliKind::TokenGap,
            SliMeasurement::WithinDeadline(_) => SliKind::WithinDeadline,
            SliMeasurement::Answered(_) => SliKind::Answered,
        }
    }

    /// Returns the measured time, if the kind has one.
    pub fn span(self) -> Option<Duration> {
        match self {
            SliMeasurement::FirstToken(span) | SliMeasurement::TokenGap(span) => Some(span),
            SliMeasurement::WithinDeadline(_) | SliMeasurement::Answered(_) => None,
        }
    }
}
