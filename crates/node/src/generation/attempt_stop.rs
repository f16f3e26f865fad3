//! Stops a generation at the engine of an attempt that ended.
//!
//! The first request to stop is awaited before the generation goes on elsewhere. If it is not
//! conclusive, it is repeated in the background. The generation goes on once the engine has answered
//! or is not heard any more, see `docs/design/ended-runs.md`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dragonflycart_core::GenerationId;
use dragonflycart_engine::{CancelOutcome, EngineClient};
use log::{info, warn};
use tokio::{task::JoinHandle, time::Instant};

/// Interval between two requests to stop: half of the 400 ms for which two engines may work on one
/// generation.
const STOP_PERIOD: Duration = Duration::from_millis(200);

/// What is known about a generation at the engine of the current attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineHold {
    /// The engine does not work on it.
    Absent,
    /// The start got no response, so that the engine may work on it or begin it later.
    MayStart,
    /// The engine has accepted it.
    Started,
}

/// Time limits of the requests to stop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopLimits {
    /// Limit of one request.
    pub(crate) request: Duration,
    /// Time after which a start without a response can't take effect any more.
    pub(crate) start: Duration,
    /// Time for which an engine that can't be reached is asked again.
    pub(crate) engine: Duration,
}

/// Result of one request to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopResult {
    Stopped,
    /// The engine does not know the generation, but may still begin it.
    NotStarted,
    /// It is not known whether the engine got the request.
    NoResponse,
}

/// Stops one generation at one engine.
pub(crate) struct AttemptStop {
    engine: Arc<dyn EngineClient>,
    location: GenerationId,
    may_start: bool,
    limits: StopLimits,
}

impl AttemptStop {
    /// Prepares the stop of the generation at `location`.
    pub(crate) fn new(
        engine: Arc<dyn EngineClient>,
        location: GenerationId,
        hold: EngineHold,
        limits: StopLimits,
    ) -> AttemptStop {
        AttemptStop { engine, location, may_start: hold == EngineHold::MayStart, limits }
    }

    /// Sends a request to stop and waits for its result. If the engine may work on the generation
    /// afterwards, returns a task that repeats the request.
    pub(crate) async fn run(self) -> Option<StopTask> {
        let started_at = Instant::now();
        let result = self.request().await;
        if result == StopResult::Stopped {
            return None;
        }
        let location = &self.location;
        info!("stream: engine may work on; generation={location} result={result:?}");
        let signals = StopSignals::default();
        signals.note_result(result);
        let task = tokio::spawn(self.repeat(started_at, signals.clone()));
        Some(StopTask { signals, task })
    }

    async fn request(&self) -> StopResult {
        let generation = self.location.to_string();
        let cancel = self.engine.cancel(&generation);
        match tokio::time::timeout(self.limits.request, cancel).await {
            Ok(Ok(CancelOutcome::Unknown)) if self.may_start => StopResult::NotStarted,
            Ok(Ok(_)) => StopResult::Stopped,
            Ok(Err(_)) | Err(_) => StopResult::NoResponse,
        }
    }

    async fn repeat(self, started_at: Instant, signals: StopSignals) {
        let location = &self.location;
        loop {
            tokio::time::sleep(STOP_PERIOD).await;
            if signals.is_closed.load(Ordering::Relaxed) {
                return;
            }
            let result = self.request().await;
            signals.note_result(result);
            let elapsed = started_at.elapsed();
            let after_ms = elapsed.as_millis();
            match result {
                StopResult::NotStarted if elapsed < self.limits.start => {}
                StopResult::NoResponse if elapsed < self.limits.engine => {}
                StopResult::Stopped | StopResult::NotStarted => {
                    info!("stream: engine stopped; generation={location} after_ms={after_ms}");
                    return;
                }
                StopResult::NoResponse => {
                    warn!("stream: engine not stopped; generation={location} after_ms={after_ms}");
                    return;
                }
            }
        }
    }
}

/// What the task that repeats the request to stop and its owner tell each other.
#[derive(Debug, Clone, Default)]
struct StopSignals {
    is_closed: Arc<AtomicBool>,
    is_answered: Arc<AtomicBool>,
}

impl StopSignals {
    fn note_result(&self, result: StopResult) {
        if result != StopResult::NoResponse {
            self.is_answered.store(true, Ordering::Relaxed);
        }
    }
}

/// Repeats the request to stop until the engine confirms it or a limit has passed, also if this
/// value is dropped.
pub(crate) struct StopTask {
    signals: StopSignals,
    task: JoinHandle<()>,
}

impl StopTask {
    /// Returns whether the engine has answered, or is not asked any more.
    pub(crate) fn is_settled(&self) -> bool {
        self.signals.is_answered.load(Ordering::Relaxed) || self.task.is_finished()
    }

    /// Ends the task after its current request, because the engine gets the generation again in a
    /// higher epoch, which replaces the earlier one.
    pub(crate) async fn close(self) {
        self.signals.is_closed.store(true, Ordering::Relaxed);
        if self.task.await.is_err() {
            warn!("stream: task that stops an engine panicked");
        }
    }
}
