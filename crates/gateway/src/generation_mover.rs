//! Moves a running generation from an engine that leaves to another one.
//!
//! The memory is copied twice: first while the generation runs on, which takes most of the time,
//! then what came since, after the generation has stopped. Only the second copy shows as a pause.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use tokio::sync::oneshot;
use tracing::info;

use crate::{CallerRequest, CopyAnswer, GatewayContext, ServerKey, WorkQuery, WorkTicket};

/// Time for one copy. Notices of engines that leave are about two seconds long.
const COPY_LIMIT: Duration = Duration::from_millis(1_800);
/// Time after which a copy is asked for again where another one is in progress.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Time after which a copy is asked for again where the generation has not started.
const UNSTARTED_PAUSE: Duration = Duration::from_millis(150);
/// Targets that are tried.
const TARGET_LIMIT: u32 = 4;
/// Calls that are made at most, over all targets.
const CALL_LIMIT: u32 = 24;

/// Result of a move.
pub enum MoveOutcome {
    /// The generation stopped and its memory is complete at the target.
    Moved {
        /// Reservation at the target.
        target: WorkTicket,
        /// Names the copy.
        handle: String,
    },
    /// The generation stopped, but its memory is only at the source.
    Stopped {
        /// Names the memory that the source keeps.
        handle: String,
    },
    /// The generation runs on at the source.
    Stays,
}

/// Move of one generation.
pub struct GenerationMover {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    source: SocketAddr,
    source_zone: String,
    tried: BTreeSet<ServerKey>,
    calls: u32,
}

impl GenerationMover {
    /// Starts a move away from the server of `ticket`. The receiver gets the outcome; if it was
    /// dropped by then, the copy is freed.
    pub fn start(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        ticket: &WorkTicket,
    ) -> oneshot::Receiver<MoveOutcome> {
        let (sender, receiver) = oneshot::channel();
        let zone = context.view().server(ticket.server()).map(|state| state.record.zone.clone());
        let mover = GenerationMover {
            context: Arc::clone(context),
            request: request.clone(),
            source: ticket.address(),
            source_zone: zone.unwrap_or_default(),
            tried: BTreeSet::from([ticket.server()]),
            calls: 0,
        };
        tokio::spawn(mover.run(sender));
        receiver
    }

    async fn run(mut self, sender: oneshot::Sender<MoveOutcome>) {
        let outcome = self.try_targets(&sender).await;
        let result = match &outcome {
            MoveOutcome::Moved { .. } => "moved",
            MoveOutcome::Stopped { .. } => "stopped",
            MoveOutcome::Stays => "stays",
        };
        self.context.metrics.count_move(result);
        info!(id = self.request.attempt, source = %self.source, result, calls = self.calls,
            "move: ended");
        let Err(unused) = sender.send(outcome) else { return };
        match unused {
            MoveOutcome::Moved { handle, .. } | MoveOutcome::Stopped { handle } => {
                self.release(&handle).await;
            }
            MoveOutcome::Stays => {}
        }
    }

    async fn try_targets(&mut self, sender: &oneshot::Sender<MoveOutcome>) -> MoveOutcome {
        for _ in 0..TARGET_LIMIT {
            let Some(target) = self.place() else { return MoveOutcome::Stays };
            self.tried.insert(target.server());
            match self.copy(&target, false, sender).await {
                Some(CopyAnswer::Copied { handle }) => {
                    if sender.is_closed() {
                        self.release(&handle).await;
                        return MoveOutcome::Stays;
                    }
                }
                Some(CopyAnswer::NoRoom { .. }) => continue,
                Some(CopyAnswer::Unknown | CopyAnswer::Busy) | None => return MoveOutcome::Stays,
            }
            return match self.copy(&target, true, sender).await {
                Some(CopyAnswer::Copied { handle }) => MoveOutcome::Moved { target, handle },
                Some(CopyAnswer::NoRoom { handle: Some(handle) }) => {
                    MoveOutcome::Stopped { handle }
                }
                _ => MoveOutcome::Stays,
            };
        }
        MoveOutcome::Stays
    }

    fn place(&self) -> Option<WorkTicket> {
        let now = self.context.clock.now();
        let query =
            WorkQuery { near_zone: Some(&self.source_zone), ..self.request.query(&self.tried) };
        let placement = self.context.view().place(&query, now).ok()?;
        Some(WorkTicket::new(&self.context, placement))
    }

    /// Copies the memory to a target, and asks again while the engine is busy or has not started
    /// the generation.
    async fn copy(
        &mut self,
        target: &WorkTicket,
        is_final: bool,
        sender: &oneshot::Sender<MoveOutcome>,
    ) -> Option<CopyAnswer> {
        loop {
            if sender.is_closed() || self.calls >= CALL_LIMIT {
                return None;
            }
            self.calls += 1;
            let call =
                self.context.engines.copy_call(&self.request.attempt, target.address(), is_final);
            let answer = call.send(&self.context.pool, self.source, COPY_LIMIT).await;
            let copy = match &answer {
                Ok((status, body)) => self.context.engines.decode_copy(*status, body),
                Err(_) => None,
            };
            info!(
                id = self.request.attempt,
                target = target.id(),
                is_final,
                ?copy,
                error = answer.err().map(<&str>::from),
                "move: copied"
            );
            let pause = match copy {
                Some(CopyAnswer::Busy) => BUSY_PAUSE,
                Some(CopyAnswer::Unknown) if !is_final => UNSTARTED_PAUSE,
                other => return other,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn release(&self, handle: &str) {
        let call = self.context.engines.release_call(handle);
        if let Err(error) = call.send(&self.context.pool, self.source, COPY_LIMIT).await {
            info!(
                id = self.request.attempt,
                handle,
                error = <&str>::from(error),
                "move: copy not freed"
            );
        }
    }
}
