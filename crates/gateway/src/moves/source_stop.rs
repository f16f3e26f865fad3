//! Stops a generation at its engine after its response was lost.
//!
//! An engine that works on may not notice that the connection has closed, so it is told before the
//! generation goes on elsewhere. The only call that stops a generation is the final copy of its
//! memory, which stops it first and retains the memory until it is freed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use tracing::info;

use crate::{
    GatewayContext,
    contacts::EngineSilence,
    moves::{SourceState, StopAnswer, StopCalls, StopProgress, StoppedSource},
};

/// Minimum time for which an engine is called before it counts as lost.
const UNREACHED_WAIT: Duration = Duration::from_millis(250);
/// Interval at which to look whether all connections of an engine have closed at whose address nothing
/// listens. Those of a process that ends close together.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time to wait for an engine that has answered, but not that the generation is stopped, and
/// for the memory that an engine retains.
const ANSWER_WAIT: Duration = Duration::from_millis(1_800);

/// Stop of a generation at its engine. The engine is told again and again until its answer shows that
/// it does not run the generation, also after the stream has ended or went on elsewhere.
#[derive(Debug, Clone)]
pub(crate) struct SourceStop {
    attempt: String,
    progress: watch::Receiver<StopProgress>,
    is_wanted: watch::Sender<bool>,
    is_used: Arc<AtomicBool>,
}

impl SourceStop {
    /// Starts to tell the engine.
    pub(crate) fn start(calls: StopCalls) -> SourceStop {
        let (sender, progress) = watch::channel(StopProgress::default());
        let stop = SourceStop {
            attempt: calls.attempt.clone(),
            progress,
            is_wanted: watch::Sender::new(true),
            is_used: Arc::default(),
        };
        let (is_wanted, is_used) = (stop.is_wanted.clone(), Arc::clone(&stop.is_used));
        tokio::spawn(async move {
            let (attempt, engine) = (&calls.attempt, calls.source.address);
            calls.context.stops.add(attempt, engine, &is_wanted);
            calls.run(&sender, is_wanted.subscribe()).await;
            calls.context.stops.remove(attempt, engine, &is_wanted);
            // The generation may still go on from the retained memory.
            sender.closed().await;
            let handle = sender.borrow().retained().map(str::to_owned);
            if let Some(handle) = handle.filter(|_| !is_used.load(Ordering::Acquire)) {
                calls.source.release(&calls.context, &calls.attempt, &handle).await;
            }
        });
        stop
    }

    /// Waits until the engine has stopped the generation or counts as lost. Returns `None` if it has
    /// answered without telling that the generation does not run there.
    ///
    /// An engine that is heard on any connection is not lost, however its calls end: it may be slow,
    /// or accept no new connections.
    pub(crate) async fn wait_stopped(
        &self,
        context: &GatewayContext,
        silence: &EngineSilence,
    ) -> Option<StoppedSource> {
        self.is_wanted.send_if_modified(|is_wanted| !std::mem::replace(is_wanted, true));
        self.wait_for(UNREACHED_WAIT, |progress| progress.answer.is_some()).await;
        let mut unclear_end = None;
        let mut is_logged = false;
        loop {
            let (answer, is_unclear) = {
                let progress = self.progress.borrow();
                (progress.answer.as_ref().map(|answer| answer.state), progress.is_unclear)
            };
            if answer == Some(SourceState::Exited)
                && !silence.time_left_without_listener().is_zero()
            {
                tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
                continue;
            }
            if let Some(state) = answer {
                return Some(StoppedSource::new(context, state));
            }
            let now = Instant::now();
            let wait = if is_unclear {
                unclear_end.get_or_insert(now + ANSWER_WAIT).duration_since(now)
            } else {
                silence.time_left()
            };
            if wait.is_zero() {
                return (!is_unclear).then(|| StoppedSource::new(context, SourceState::Unreached));
            }
            if !is_unclear && !std::mem::replace(&mut is_logged, true) {
                let left_ms = wait.as_millis() as u64;
                info!(id = self.attempt, left_ms, "move: source is heard, but has not answered");
            }
            self.wait_for(wait, |progress| {
                progress.answer.is_some() || progress.is_unclear != is_unclear
            })
            .await;
        }
    }

    /// Returns the answer that shows that the generation does not run, if there is one.
    pub(crate) fn answer(&self) -> Option<StopAnswer> {
        self.progress.borrow().answer.clone()
    }

    /// Waits for the calls that are connected, and returns the handle of the memory that the engine
    /// retains.
    pub(crate) async fn wait_retained(&self) -> Option<String> {
        self.wait_for(ANSWER_WAIT, StopProgress::is_settled).await;
        self.progress.borrow().retained().map(str::to_owned)
    }

    /// Records that the generation goes on from the retained memory, which is not freed then.
    pub(crate) fn note_used(&self) {
        self.is_used.store(true, Ordering::Release);
    }

    /// Makes no further calls for now, since the generation goes on at its engine.
    pub(crate) fn suspend(&self) {
        self.is_wanted.send_replace(false);
    }

    async fn wait_for(&self, limit: Duration, is_reached: impl FnMut(&StopProgress) -> bool) {
        let mut progress = self.progress.clone();
        // Ends early if no more calls are made.
        drop(tokio::time::timeout(limit, progress.wait_for(is_reached)).await);
    }
}
