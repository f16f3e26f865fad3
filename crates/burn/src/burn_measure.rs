//! What was measured of an event.

use std::time::Duration;

use crate::BurnKind;

/// What was measured of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BurnMeasure {
    /// Time from the request to the first token.
    FirstToken(Duration),
    /// Time from one token to the next.
    TokenGap(Duration),
    /// Whether the work finished within its deadline.
    WithinDeadline(bool),
    /// Whether the request got an answer that is not a failure of the service.
    Answered(bool),
}

impl BurnMeasure {
    /// Returns the kind of objective that the measure counts for.
    pub fn kind(self) -> BurnKind {
        match self {
            BurnMeasure::FirstToken(_) => BurnKind::FirstToken,
            BurnMeasure::TokenGap(_) => BurnKind::TokenGap,
            BurnMeasure::WithinDeadline(_) => BurnKind::WithinDeadline,
            BurnMeasure::Answered(_) => BurnKind::Answered,
        }
    }

    /// Returns the measured time, if the kind has one.
    pub fn span(self) -> Option<Duration> {
        match self {
            BurnMeasure::FirstToken(span) | BurnMeasure::TokenGap(span) => Some(span),
            BurnMeasure::WithinDeadline(_) | BurnMeasure::Answered(_) => None,
        }
    }
}
