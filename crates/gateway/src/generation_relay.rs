//! Passes the events of a generation on to its caller, across engines.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;
use tracing::info;

use crate::{
    BodyBroken, CallerRequest, ChannelError, EventSplitter, GatewayContext, MoveFollower,
    MoveOutcome, PieceSender, ServerChannel, StreamEvent, WorkTicket, generation_resumer,
};

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum RelayEnd {
    /// The caller has the whole stream.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The engine's connection broke.
    Broken,
    /// The numbers of the events have a gap.
    Gap,
    /// The time limit passed.
    TimedOut,
}

enum RelayStep {
    Continue,
    End(RelayEnd),
    Moved(MoveOutcome),
}

/// Relay of one generation. Each event is passed on once and in order, and only whole.
pub struct GenerationRelay {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    ticket: WorkTicket,
    follower: MoveFollower,
    channel: ServerChannel,
    sender: PieceSender,
    splitter: EventSplitter,
    last_event: Option<u64>,
    events: u64,
    resumes: u32,
    /// Longest time between two events, first event included.
    last_event_at: Instant,
    longest_pause_ms: u64,
}

impl GenerationRelay {
    /// Builds the relay of a stream whose head was passed on.
    pub fn new(
        context: &Arc<GatewayContext>,
        request: CallerRequest,
        ticket: WorkTicket,
        follower: MoveFollower,
        channel: ServerChannel,
        sender: PieceSender,
    ) -> GenerationRelay {
        GenerationRelay {
            context: Arc::clone(context),
            last_event: request.last_event,
            request,
            ticket,
            follower,
            channel,
            sender,
            splitter: EventSplitter::default(),
            events: 0,
            resumes: 0,
            last_event_at: Instant::now(),
            longest_pause_ms: 0,
        }
    }

    /// Passes events on until the stream ends.
    pub async fn run(mut self) {
        let end = loop {
            match self.step().await {
                RelayStep::Continue => {}
                RelayStep::End(end) => break end,
                RelayStep::Moved(outcome) => match self.resume(outcome).await {
                    Ok(relay) => self = relay,
                    Err(()) => return,
                },
            }
        };
        self.finish(end).await;
    }

    async fn step(&mut self) -> RelayStep {
        tokio::select! {
            biased;
            () = self.sender.closed() => RelayStep::End(RelayEnd::CallerLeft),
            outcome = self.follower.next(&self.context, &self.request, &self.ticket) => {
                match outcome {
                    MoveOutcome::Stays => RelayStep::Continue,
                    moved => RelayStep::Moved(moved),
                }
            }
            piece = self.channel.next_piece() => self.take_piece(piece).await,
            () = tokio::time::sleep_until(self.request.deadline) => {
                RelayStep::End(RelayEnd::TimedOut)
            }
        }
    }

    async fn take_piece(&mut self, piece: Result<Option<Bytes>, ChannelError>) -> RelayStep {
        match piece {
            Ok(Some(bytes)) => {
                self.splitter.push(&bytes);
                self.pass_events().await
            }
            Ok(None) if self.splitter.has_partial() => RelayStep::End(RelayEnd::Broken),
            Ok(None) => RelayStep::End(RelayEnd::Complete),
            Err(_) if self.follower.is_moving() => match self.follower.outcome().await {
                MoveOutcome::Stays => RelayStep::End(RelayEnd::Broken),
                moved => RelayStep::Moved(moved),
            },
            Err(_) => RelayStep::End(RelayEnd::Broken),
        }
    }

    async fn pass_events(&mut self) -> RelayStep {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    if let Some(end) = self.pass_event(event).await {
                        return RelayStep::End(end);
                    }
                }
                Ok(None) => return RelayStep::Continue,
                Err(_) => return RelayStep::End(RelayEnd::Broken),
            }
        }
    }

    async fn pass_event(&mut self, event: StreamEvent) -> Option<RelayEnd> {
        if let (Some(last), Some(id)) = (self.last_event, event.id) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                return Some(RelayEnd::Gap);
            }
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        self.note_event();
        match self.sender.send(Ok(event.bytes)).await {
            Ok(()) => None,
            Err(_) => Some(RelayEnd::CallerLeft),
        }
    }

    fn note_event(&mut self) {
        if self.events == 0 {
            self.context.metrics.count_first_event(self.request.arrived.elapsed());
        } else {
            let pause_ms = self.last_event_at.elapsed().as_millis() as u64;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.events += 1;
        self.last_event_at = Instant::now();
    }

    /// Goes on at another engine. The response head was passed on already, and the generation is
    /// the same, so only the events that come after the last one matter.
    async fn resume(self, outcome: MoveOutcome) -> Result<GenerationRelay, ()> {
        let GenerationRelay { context, request, ticket, channel, sender, .. } = self;
        channel.close();
        let resumed =
            generation_resumer::resume(&context, &request, ticket, outcome, self.last_event).await;
        let Ok(resumed) = resumed else {
            log_end(&context, &request, "not_resumed", self.events, self.longest_pause_ms);
            if sender.send(Err(BodyBroken::Interrupted)).await.is_err() {
                info!(id = request.attempt, "stream: the caller left before its end was told");
            }
            return Err(());
        };
        Ok(GenerationRelay {
            follower: MoveFollower::new(&context),
            context,
            request,
            ticket: resumed.ticket,
            channel: resumed.channel,
            sender,
            splitter: EventSplitter::default(),
            last_event: self.last_event,
            events: self.events,
            resumes: self.resumes + 1,
            last_event_at: self.last_event_at,
            longest_pause_ms: self.longest_pause_ms,
        })
    }

    async fn finish(self, end: RelayEnd) {
        let outcome = <&str>::from(end);
        log_end(&self.context, &self.request, outcome, self.events, self.longest_pause_ms);
        let is_failure = matches!(end, RelayEnd::Broken | RelayEnd::Gap);
        if let Some(state) = self.context.view().server_mut(self.ticket.server()) {
            state.note_answer(is_failure, self.request.arrived.elapsed());
        }
        if end == RelayEnd::Complete {
            self.context.pool.put_back(self.ticket.address(), self.channel);
        } else {
            self.channel.close();
        }
        let is_cut = !matches!(end, RelayEnd::Complete | RelayEnd::CallerLeft);
        if is_cut && self.sender.send(Err(BodyBroken::Interrupted)).await.is_err() {
            info!(id = self.request.attempt, "stream: the caller left before its end was told");
        }
        self.ticket.close();
    }
}

fn log_end(
    context: &GatewayContext,
    request: &CallerRequest,
    outcome: &'static str,
    events: u64,
    longest_pause_ms: u64,
) {
    context.metrics.count_request(request.route.kind.into(), outcome, request.arrived.elapsed());
    info!(
        id = request.attempt,
        route = request.route.name,
        outcome,
        events,
        longest_pause_ms,
        total_ms = request.arrived.elapsed().as_millis() as u64,
        "stream: ended"
    );
}
