//! Error kinds and the HTTP response that each one maps to.

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
    /// A part of the prompt has crashed several backend servers; the request was not admitted.
    PromptContained,
    /// The deadline passed before the work was started.
    DeadlineNotStarted,
    /// The deadline passed after the work was started.
    DeadlineExceeded,
    /// The call may have been executed; ask again with the same key.
    OutcomeUnknown,
    /// The generation was lost after tokens were delivered and can't be continued.
    Interrupted,
    /// The backend server responded with a failure.
    BackendFailed,
    /// A bug in dragonflycart.
    Internal,
}

/// How an error kind is reported to the caller.
struct ErrorResponse {
    status: u16,
    run: RunState,
    retry_after: Option<Duration>,
}

const fn error_response(status: u16, run: RunState, retry_after_ms: u64) -> ErrorResponse {
    let retry_after =
        if retry_after_ms == 0 { None } else { Some(Duration::from_millis(retry_after_ms)) };
    ErrorResponse { status, run, retry_after }
}

impl ErrorKind {
    fn response(self) -> ErrorResponse {
        use RunState::{MaybeRun, NotRun, Run};
        match self {
            ErrorKind::BadRequest => error_response(400, NotRun, 0),
            ErrorKind::Unauthorized => error_response(401, NotRun, 0),
            ErrorKind::NotFound => error_response(404, NotRun, 0),
            ErrorKind::KeyReused => error_response(422, NotRun, 0),
            ErrorKind::RevisionConflict => error_response(409, NotRun, 0),
            ErrorKind::TooLarge => error_response(413, NotRun, 0),
            ErrorKind::TeamLimited => error_response(429, NotRun, 1_000),
            ErrorKind::Overloaded => error_response(503, NotRun, 1_000),
            ErrorKind::NoBackend => error_response(503, NotRun, 1_000),
            ErrorKind::Draining => error_response(503, NotRun, 100),
            ErrorKind::LogUnavailable => error_response(503, NotRun, 2_000),
            ErrorKind::PromptContained => error_response(503, NotRun, 10_000),
            ErrorKind::DeadlineNotStarted => error_response(504, NotRun, 0),
            ErrorKind::DeadlineExceeded => error_response(504, MaybeRun, 0),
            ErrorKind::OutcomeUnknown => error_response(504, MaybeRun, 1_000),
            ErrorKind::Interrupted => error_response(502, MaybeRun, 0),
            ErrorKind::BackendFailed => error_response(502, Run, 0),
            ErrorKind::Internal => error_response(500, MaybeRun, 0),
        }
    }

    /// Returns the HTTP status code of the response.
    pub fn status(self) -> u16 {
        self.response().status
    }

    /// Returns whether the work behind the request was executed.
    pub fn run_state(self) -> RunState {
        self.response().run
    }

    /// Returns how long a caller should wait before a retry, or `None` if a retry can't help.
    pub fn retry_after(self) -> Option<Duration> {
        self.response().retry_after
    }
}
