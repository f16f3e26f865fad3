//! One generation of the fake engine.

use dragonflycart_engine::{FinishReason, GenerationRequest, StreamEvent};
use tokio::sync::watch;

use crate::TokenSource;

/// Characters that count as one prompt token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Progress of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GenerationPhase {
    /// Waits for a slot in the batch; uses no memory.
    Waiting,
    /// Computes the prompt and the tokens that exist already.
    Prefill { tokens_left: u64 },
    /// Generates one token per step.
    Decode,
    /// The output is complete, or the generation was cancelled.
    Finished { reason: FinishReason, at_ms: u64 },
    /// Ended by an error.
    Failed { message: String, at_ms: u64 },
}

/// What a stream has to do for the event at some position.
pub(crate) enum NextEvent {
    /// Send this event.
    Ready(StreamEvent),
    /// Wait: the event doesn't exist yet. The receiver is notified when the generation changes.
    Wait(watch::Receiver<u64>),
    /// End the stream: the position is beyond the output so far.
    End,
}

/// Request, state and output of one generation.
pub(crate) struct GenerationRecord {
    pub(crate) request: GenerationRequest,
    pub(crate) arrival: u64,
    pub(crate) phase: GenerationPhase,
    pub(crate) steps_waited: u32,
    source: TokenSource,
    natural_length: u64,
    tokens: Vec<u32>,
    changes: watch::Sender<u64>,
}

impl GenerationRecord {
    pub(crate) fn new(
        request: GenerationRequest,
        arrival: u64,
        output_lengths: (u32, u32),
    ) -> GenerationRecord {
        let source = TokenSource::new(request.version.as_str(), request.seed, &request.prompt);
        let natural_length = source.natural_length(output_lengths.0, output_lengths.1);
        GenerationRecord {
            tokens: request.forced_prefix.clone(),
            arrival,
            phase: GenerationPhase::Waiting,
            steps_waited: 0,
            source,
            natural_length,
            changes: watch::Sender::new(0),
            request,
        }
    }

    /// Returns whether the forced prefix equals the tokens that this engine would generate.
    pub(crate) fn prefix_matches(&self) -> bool {
        let mut expected = (0_u64..).map(|index| self.source.token_id(index));
        self.request.forced_prefix.iter().all(|token| expected.next() == Some(*token))
    }

    /// Returns whether the generation has neither finished nor failed.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.phase, GenerationPhase::Finished { .. } | GenerationPhase::Failed { .. })
    }

    /// Returns whether the generation is in the batch.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, GenerationPhase::Prefill { .. } | GenerationPhase::Decode)
    }

    /// Returns the time at which the generation finished or failed.
    pub(crate) fn ended_at_ms(&self) -> Option<u64> {
        match self.phase {
            GenerationPhase::Finished { at_ms, .. } | GenerationPhase::Failed { at_ms, .. } => {
                Some(at_ms)
            }
            _ => None,
        }
    }

    /// Returns the number of output tokens so far, including the forced prefix.
    pub(crate) fn token_count(&self) -> u64 {
        self.tokens.len() as u64
    }

    /// Returns the number of output tokens that this engine has generated.
    pub(crate) fn computed_tokens(&self) -> u64 {
        (self.tokens.len() - self.request.forced_prefix.len()) as u64
    }

    /// Returns the number of tokens of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        (self.request.prompt.len() / CHARACTERS_PER_TOKEN + 1) as u64
    }

    /// Returns the memory that the generation needs while it is in the batch, in tokens.
    pub(crate) fn memory_tokens(&self) -> u64 {
        self.prompt_tokens() + self.token_count()
    }

    /// Appends the next token and finishes the generation if its output is complete.
    pub(crate) fn decode_token(&mut self, now_ms: u64) {
        if !self.finish_if_complete(now_ms) {
            self.tokens.push(self.source.token_id(self.token_count()));
            self.finish_if_complete(now_ms);
        }
        self.notify_readers();
    }

    fn finish_if_complete(&mut self, now_ms: u64) -> bool {
        let reason = if self.token_count() >= self.natural_length {
            FinishReason::Stop
        } else if self.token_count() >= u64::from(self.request.max_tokens) {
            FinishReason::Length
        } else {
            return false;
        };
        self.phase = GenerationPhase::Finished { reason, at_ms: now_ms };
        true
    }

    /// Finishes the generation as cancelled.
    pub(crate) fn cancel(&mut self, now_ms: u64) {
        self.phase = GenerationPhase::Finished { reason: FinishReason::Cancelled, at_ms: now_ms };
        self.notify_readers();
    }

    /// Ends the generation by an error.
    pub(crate) fn fail(&mut self, message: &str, now_ms: u64) {
        self.phase = GenerationPhase::Failed { message: message.to_owned(), at_ms: now_ms };
        self.notify_readers();
    }

    /// Returns the event at position `index`: a token, or the end at the position after the last
    /// token.
    pub(crate) fn event_at(&self, index: u64) -> NextEvent {
        let generation = self.request.generation.clone();
        let epoch = self.request.epoch;
        if let Some(id) = self.tokens.get(index as usize) {
            let text = TokenSource::token_text(index);
            return NextEvent::Ready(StreamEvent::Token {
                generation,
                epoch,
                index,
                id: *id,
                text,
            });
        }
        if index > self.token_count() {
            return NextEvent::End;
        }
        match &self.phase {
            GenerationPhase::Finished { reason, .. } => {
                let count = self.token_count();
                let reason = *reason;
                NextEvent::Ready(StreamEvent::Finished { generation, epoch, reason, count })
            }
            GenerationPhase::Failed { message, .. } => {
                NextEvent::Ready(StreamEvent::Failed { generation, message: message.clone() })
            }
            _ => NextEvent::Wait(self.changes.subscribe()),
        }
    }

    fn notify_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
