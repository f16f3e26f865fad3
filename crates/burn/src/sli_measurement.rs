//! Measured value of an event.

use std::time::Duration;

use crate::SliKind;

/// Measured value of an event, by kind of indicator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SliMeasurement {
    /// Time from the request to the first token.
    FirstToken(Duration),
    /// Time from one token to the next.
    TokenGap(Duration),
    /// Whether the work finished within its deadline.
    WithinDeadline(bool),
    /// Whether the request got a response that is not a failure of the service.
    Answered(bool),
}

impl SliMeasurement {
    /// Returns the kind of indicator.
    pub fn kind(self) -> SliKind {
        match self {
            SliMeasurement::FirstToken(_) => SliKind::FirstToken,
            SliMeasurement::TokenGap(_) => SliKind::TokenGap,
            SliMeasurement::WithinDeadline(_) => SliKind::WithinDeadline,
            SliMeasurement::Answered(_) => SliKind::Answered,
        }
    }

    /// Returns the measured time, if the kind has one.
    pub fn duration(self) -> Option<Duration> {
        match self {
            SliMeasurement::FirstToken(duration) | SliMeasurement::TokenGap(duration) => {
                Some(duration)
            }
            SliMeasurement::WithinDeadline(_) | SliMeasurement::Answered(_) => None,
        }
    }
}
