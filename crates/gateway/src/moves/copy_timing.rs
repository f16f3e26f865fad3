//! Times of the copies by which a generation moves from a leaving engine.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use tokio::time::Instant;
use tracing::info;

use crate::{
    CallerRequest, CopyStart, EngineReport, GatewayContext, MoveSchedule, ServerReservation,
    StreamProgress, move_schedule::COPY_SLOT_OVERHEAD, moves::MoveSource,
};

/// Time over which VMs spread the start of their moves from an engine whose report is not
/// available.
const START_SPREAD: Duration = Duration::from_millis(160);
/// Assumed age of an engine's report.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time before an engine's shutdown that is reserved for the final copies of all its generations.
const LAST_COPIES_TIME: Duration = Duration::from_millis(300);
/// Shortest time between the announcement and the shutdown of an engine.
const SHORTEST_NOTICE: Duration = Duration::from_millis(1_500);
/// Pause before an engine is asked again when it shuts down.
const ASK_PAUSE: Duration = Duration::from_millis(120);
/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time at which the engine shuts down.
#[derive(Debug, Clone, Copy)]
struct LeaveTime {
    at: Instant,
    /// Whether the engine reported the time; otherwise it is estimated from the shortest notice.
    is_known: bool,
}

/// Times of one generation's copies, as far as the engine's report tells them.
pub(crate) struct CopyTiming {
    context: Arc<GatewayContext>,
    progress: Arc<StreamProgress>,
    source: MoveSource,
    attempt: String,
    service: String,
    prompt_tokens: u64,
    leave: LeaveTime,
    /// End of the time slot of this generation's copy, if there is not enough time to copy all
    /// generations.
    copy_slot_end: Option<Instant>,
}

impl CopyTiming {
    /// Builds the times of a generation from the time since which its engine is known to leave.
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        progress: &Arc<StreamProgress>,
        source: &MoveSource,
    ) -> CopyTiming {
        let now = context.clock.now();
        let elapsed = context.view().leaving_for(source.server, now).unwrap_or_default();
        let left = SHORTEST_NOTICE.saturating_sub(elapsed);
        CopyTiming {
            context: Arc::clone(context),
            progress: Arc::clone(progress),
            source: source.clone(),
            attempt: request.attempt.clone(),
            service: request.service.clone(),
            prompt_tokens: request.demand.prompt_tokens,
            leave: LeaveTime { at: Instant::now() + left, is_known: false },
            copy_slot_end: None,
        }
    }

    /// Waits until the first copy should start. Returns whether there is time for it.
    pub(crate) async fn await_copy_start(&mut self) -> bool {
        loop {
            match self.find_copy_start().await {
                CopyStart::After(delay) => {
                    tokio::time::sleep(delay).await;
                    return true;
                }
                CopyStart::NoTime if self.leave.is_known || self.first_copies_time().is_zero() => {
                    return false;
                }
                CopyStart::NoTime => tokio::time::sleep(ASK_PAUSE).await,
            }
        }
    }

    /// Determines when the first copy should start.
    async fn find_copy_start(&mut self) -> CopyStart {
        let engine = self.context.view().engine_spec(&self.service);
        let (Some(report), Some(engine)) = (self.ask_report().await, engine) else {
            // A random delay lets each VM see the choices of those that started earlier.
            return CopyStart::After(START_SPREAD.mul_f64(rand::random()));
        };
        let now = self.context.clock.now();
        let (elapsed, near) = {
            let view = self.context.view();
            let near = view.fraction_fitting_in_zone(&self.service, &self.source.zone, now);
            (view.leaving_for(self.source.server, now).unwrap_or_default(), near)
        };
        let schedule = MoveSchedule {
            generations: &report.generations,
            // Copies to other zones take twice as long.
            token_time: engine.token_copy_time.mul_f64(2.0 - near),
            time: elapsed + self.first_copies_time(),
        };
        let start = match schedule.copy_start(&self.attempt) {
            CopyStart::After(delay) => CopyStart::After(delay.saturating_sub(elapsed)),
            start => start,
        };
        self.copy_slot_end = None;
        if let CopyStart::After(delay) = start
            && schedule.is_tight()
        {
            let copy_time = schedule.copy_time(self.memory_tokens());
            self.copy_slot_end = Some(Instant::now() + delay + copy_time + COPY_SLOT_OVERHEAD);
        }
        info!(
            id = self.attempt,
            source = self.source.id,
            left_ms = (self.leave.at - Instant::now()).as_millis() as u64,
            is_known = self.leave.is_known,
            runs = report.generations.len(),
            tokens = report.generations.iter().map(|run| run.tokens).sum::<u64>(),
            near,
            turn = ?start,
            "move: planned"
        );
        start
    }

    /// Returns the time left for first copies. A first copy that ends later would delay the final
    /// copies of other generations past the engine's shutdown.
    fn first_copies_time(&self) -> Duration {
        (self.leave.at - Instant::now()).saturating_sub(LAST_COPIES_TIME)
    }

    /// Returns whether the memory can be copied to a target in time.
    pub(crate) async fn has_time_for(&mut self, target: &ServerReservation) -> bool {
        let engine = self.context.view().engine_spec(&self.service);
        let token_time = engine.map_or(Duration::ZERO, |engine| engine.token_copy_time);
        let time = token_time.mul_f64(target.arriving_tokens() as f64);
        if time > self.first_copies_time() && !self.leave.is_known {
            self.ask_report().await;
        }
        let left = self.first_copies_time();
        let has_time = time <= left;
        if !has_time {
            info!(
                id = self.attempt,
                source = self.source.id,
                target = target.id(),
                time_ms = time.as_millis() as u64,
                left_ms = left.as_millis() as u64,
                "move: no time for the copy"
            );
        }
        has_time
    }

    /// Requests the engine's report, and updates the time of its shutdown if the report states it.
    async fn ask_report(&mut self) -> Option<EngineReport> {
        let call = self.context.engine_protocol.report_call();
        let response = self.context.pool.call(&call, self.source.address, REPORT_TIMEOUT).await;
        let report = match response {
            Ok((head, body)) if head.status == StatusCode::OK => {
                self.context.engine_protocol.decode_report(&body)?
            }
            Ok(_) | Err(_) => return None,
        };
        if let Some(left) = report.leaves_in {
            let at = Instant::now() + left.saturating_sub(REPORT_LAG);
            self.leave = LeaveTime { at, is_known: true };
        }
        Some(report)
    }

    /// Returns the number of tokens in the generation's memory.
    pub(crate) fn memory_tokens(&self) -> u64 {
        let engine = self.context.view().engine_spec(&self.service);
        let per_event = engine.map_or(1, |engine| u64::from(engine.tokens_per_event));
        let events = self.progress.last_event().map_or(0, |last| last + 1);
        self.prompt_tokens + events * per_event
    }

    /// Returns how long the final copy waits for the first copies of other generations, or `None` if
    /// it starts at once because this generation's time slot has not ended.
    pub(crate) async fn final_copy_wait(&mut self) -> Option<Duration> {
        if self.copy_slot_end.is_some_and(|end| Instant::now() <= end) {
            return None;
        }
        if !self.leave.is_known {
            self.ask_report().await;
        }
        let wait = self.first_copies_time();
        info!(
            id = self.attempt,
            wait_ms = wait.as_millis() as u64,
            "move: waits for the last copy"
        );
        Some(wait)
    }
}
