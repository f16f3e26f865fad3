//! Failure to answer a question.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// Why a VM can't answer a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The question is malformed or incomplete.
    BadQuestion,
    /// The route plan has no such route, or the route has no such service.
    UnknownRoute,
    /// The route plan has no such team.
    UnknownTeam,
    /// The VM does not know the route plan or the servers yet.
    NotReady,
}

impl FaultKind {
    /// Returns the status code of the response.
    pub fn status(self) -> u16 {
        match self {
            FaultKind::BadQuestion => 400,
            FaultKind::UnknownRoute | FaultKind::UnknownTeam => 404,
            FaultKind::NotReady => 503,
        }
    }
}

/// Failure to answer a question, as the body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementFault {
    /// Kind.
    pub error: FaultKind,
    /// Text for the operator.
    pub message: String,
}

impl PlacementFault {
    /// Builds a failure.
    pub fn new(error: FaultKind, message: impl Into<String>) -> PlacementFault {
        PlacementFault { error, message: message.into() }
    }
}
