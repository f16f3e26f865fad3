//! Options of fake runners without failures.

use dragonflycart_standins::{
    CrashPoint, GenerationOptions, RunnerFailure, RunnerKind, RunnerOptions,
};

/// Returns the options of a runner in zone `a` that does not fail.
pub(crate) fn runner_options(id: &str, kind: RunnerKind, service: &str) -> RunnerOptions {
    RunnerOptions {
        id: id.to_owned(),
        kind,
        service: service.to_owned(),
        zone: "a".to_owned(),
        lost_response_percent: 0,
        version: "v1".to_owned(),
        failure_percent: 0,
        failure: RunnerFailure::Error,
        crashes_on: None,
        crash_point: CrashPoint::AfterEvents,
        generations: GenerationOptions::default(),
    }
}
