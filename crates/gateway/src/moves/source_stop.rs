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

use tokio::sync::watch;

use crate::{
    GatewayContext,
    moves::{SourceState, StopAnswer, StopCalls, StopProgress, StoppedSource},
};

/// Time after which a generation goes on elsewhere although its engine has not answered. An engine
/// that got the call stops the generation before it copies the memory.
const UNREACHED_WAIT: Duration = Duration::from_millis(250);
/// Maximum time to wait for an engine that has answered, but not that the generation is stopped, and
/// for the memory that an engine retains.
const ANSWER_WAIT: Duration = Duration::from_millis(1_800);

/// Stop of a generation at its engine. The engine is told again and again until its answer shows that
/// it does not run the generation, also after the stream has ended or went on elsewhere.
#[derive(Debug, Clone)]
pub(crate) struct SourceStop {
    progress: watch::Receiver<StopProgress>,
    is_wanted: Arc<AtomicBool>,
    is_used: Arc<AtomicBool>,
}

impl SourceStop {
    /// Starts to tell the engine.
    pub(crate) fn start(calls: StopCalls) -> SourceStop {
        let (sender, progress) = watch::channel(StopProgress::default());
        let stop = SourceStop {
            progress,
            is_wanted: Arc::new(AtomicBool::new(true)),
            is_used: Arc::default(),
        };
        let (is_wanted, is_used) = (Arc::clone(&stop.is_wanted), Arc::clone(&stop.is_used));
        tokio::spawn(async move {
            calls.run(&sender, &is_wanted).await;
            // The generation may still go on from the retained memory.
            sender.closed().await;
            let handle = sender.borrow().retained().map(str::to_owned);
            if let Some(handle) = handle.filter(|_| !is_used.load(Ordering::Acquire)) {
                calls.source.release(&calls.context, &calls.attempt, &handle).await;
            }
        });
        stop
    }

    /// Waits until the engine has stopped the generation, or has not answered for too long. Returns
    /// `None` if the generation may still run at an engine that can be reached.
    pub(crate) async fn wait_stopped(&self, context: &GatewayContext) -> Option<StoppedSource> {
        self.is_wanted.store(true, Ordering::Release);
        self.wait_for(UNREACHED_WAIT, |progress| progress.answer.is_some()).await;
        if self.progress.borrow().is_unclear {
            self.wait_for(ANSWER_WAIT, |progress| {
                progress.answer.is_some() || !progress.is_unclear
            })
            .await;
        }
        let progress = self.progress.borrow();
        let state = match &progress.answer {
            Some(answer) => answer.state,
            None if progress.is_unclear => return None,
            None => SourceState::Unreached,
        };
        Some(StoppedSource::new(context, state))
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
        self.is_wanted.store(false, Ordering::Release);
    }

    async fn wait_for(&self, limit: Duration, is_reached: impl FnMut(&StopProgress) -> bool) {
        let mut progress = self.progress.clone();
        // Ends early if no more calls are made.
        drop(tokio::time::timeout(limit, progress.wait_for(is_reached)).await);
    }
}
