//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::RunState;

/// Kind of a failed request. Callers and metrics see the snake-case name.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The credential is missing or unknown.
    Unauthorized,
    /// The named model, version, service, generation or key is unknown.
    NotFound,
    /// The same idempotency key was used for a different request.
    KeyReused,
    /// The operator's base revision is no longer the current one.
    RevisionConflict,
    /// The body, prompt or header is larger than the limit.
    TooLarge,
    /// The team has used its share; the request was not admitted.
    TeamLimited,
    /// No capacity is free within the deadline.
    Overloaded,
    /// No usable backend server is known.
    NoBackend,
    /// The VM is stopping and takes no new work.
    Draining,
    /// The log service can't be reached and the request needs it.
    LogUnavailable,
    /// The deadline passed before the work was started.
    DeadlineNotStarted,
    /// The deadline passed after the work was started.
    DeadlineExceeded,
    /// The call may have been executed; ask again with the same key.
    OutcomeUnknown,
    /// The generation was lost after tokens were delivered and can't be continued.
    Interrupted,
    /// The backend server answered with a failure.
    BackendFailed,
    /// A defect in dragonflycart.
    Internal,
}

/// One row of the table from kind to answer.
struct AnswerRow {
    status: u16,
    run: RunState,
    retry_after: Option<Duration>,
}

const fn row(status: u16, run: RunState, retry_after_ms: u64) -> AnswerRow {
    let retry_after =
        if retry_after_ms == 0 { None } else { Some(Duration::from_millis(retry_after_ms)) };
    AnswerRow { status, run, retry_after }
}

impl ErrorKind {
    fn answer_row(self) -> AnswerRow {
        use RunState::{MaybeRun, NotRun, Run};
        match self {
            ErrorKind::BadRequest => row(400, NotRun, 0),
            ErrorKind::Unauthorized => row(401, NotRun, 0),
            ErrorKind::NotFound => row(404, NotRun, 0),
            ErrorKind::KeyReused => row(422, NotRun, 0),
            ErrorKind::RevisionConflict => row(409, NotRun, 0),
            ErrorKind::TooLarge => row(413, NotRun, 0),
            ErrorKind::TeamLimited => row(429, NotRun, 1_000),
            ErrorKind::Overloaded => row(503, NotRun, 1_000),
            ErrorKind::NoBackend => row(503, NotRun, 1_000),
            ErrorKind::Draining => row(503, NotRun, 100),
            ErrorKind::LogUnavailable => row(503, NotRun, 2_000),
            ErrorKind::DeadlineNotStarted => row(504, NotRun, 0),
            ErrorKind::DeadlineExceeded => row(504, MaybeRun, 0),
            ErrorKind::OutcomeUnknown => row(504, MaybeRun, 1_000),
            ErrorKind::Interrupted => row(502, MaybeRun, 0),
            ErrorKind::BackendFailed => row(502, Run, 0),
            ErrorKind::Internal => row(500, MaybeRun, 0),
        }
    }

    /// Returns the HTTP status code of the answer.
    pub fn status(self) -> u16 {
        self.answer_row().status
    }

    /// Returns whether the work behind the request was executed.
    pub fn run_state(self) -> RunState {
        self.answer_row().run
    }

    /// Returns how long a caller should wait before it tries again, if trying again can help.
    pub fn retry_after(self) -> Option<Duration> {
        self.answer_row().retry_after
    }
}
