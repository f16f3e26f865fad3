//! Buffer for the tokens of one generation.
//!
//! The buffer decouples the connection to the engine from the caller's connection. Either can break
//! and be reopened without affecting the other, and a caller can read the same tokens again.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dragonflycart_core::{GenerationId, ServiceError};
use dragonflycart_engine::FinishReason;
use tokio::{sync::watch, time::Instant};

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GenerationEnd {
    /// All tokens arrived.
    Finished {
        /// Reason that the engine gave for ending the output.
        reason: FinishReason,
    },
    /// The generation can't be completed.
    Failed(ServiceError),
}

/// Tokens read from a buffer in one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BufferSlice {
    /// Index of the first token.
    pub(crate) first_index: u64,
    /// Texts of the tokens in order.
    pub(crate) texts: Vec<String>,
    /// Where the generation runs. Callers resume it under this id.
    pub(crate) location: GenerationId,
    /// End of the generation, if it has ended. `texts` then extends to the last token.
    pub(crate) end: Option<GenerationEnd>,
}

struct BufferState {
    /// Index of the first token in the buffer; above zero for a stream resumed from another VM.
    base: u64,
    /// Texts of all tokens, concatenated to save memory: a stream of tens of thousands of tokens
    /// takes about 13 bytes per token. `text_ends` has the end offset of each text.
    text: String,
    text_ends: Vec<u32>,
    end: Option<GenerationEnd>,
    location: GenerationId,
    read: bool,
    first_token_at: Option<Instant>,
    readers: u32,
    /// Whether the engine at `location` is connected.
    is_attached: bool,
    /// Whether no token has arrived since the generation went to another engine. The last event of
    /// the readers then names an engine that does not have the generation.
    is_moved: bool,
    /// Whether a reader was sent to another VM.
    is_read_elsewhere: bool,
    /// Start of the current time without readers.
    unread_since: Instant,
}

/// Tokens of one generation, shared by the task that receives them and the callers that read them.
pub(crate) struct GenerationBuffer {
    state: Mutex<BufferState>,
    changed: watch::Sender<()>,
    abandoned: watch::Sender<bool>,
    handed_over: watch::Sender<bool>,
}

impl GenerationBuffer {
    /// Creates an empty buffer whose first token will have index `base`.
    pub(crate) fn new(location: GenerationId, base: u64) -> GenerationBuffer {
        let state = BufferState {
            base,
            text: String::new(),
            text_ends: Vec::new(),
            end: None,
            location,
            read: false,
            first_token_at: None,
            readers: 0,
            is_attached: false,
            is_moved: false,
            is_read_elsewhere: false,
            unread_since: Instant::now(),
        };
        GenerationBuffer {
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
            abandoned: watch::Sender::new(false),
            handed_over: watch::Sender::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends the next token.
    pub(crate) fn push(&self, text: &str) {
        let mut state = self.lock();
        state.text.push_str(text);
        let end = state.text.len() as u32;
        state.text_ends.push(end);
        state.is_moved = false;
        state.first_token_at.get_or_insert_with(Instant::now);
        drop(state);
        self.changed.send_replace(());
    }

    /// Sets the end of the generation. Later calls are ignored.
    pub(crate) fn finish(&self, end: GenerationEnd) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Records that the generation now runs at `location`.
    pub(crate) fn relocate(&self, location: GenerationId) {
        let mut state = self.lock();
        state.location = location;
        state.is_attached = false;
        state.is_moved = !state.text_ends.is_empty();
    }

    /// Records that the engine is connected.
    pub(crate) fn attach(&self) {
        self.lock().is_attached = true;
        self.changed.send_replace(());
    }

    /// Records that the engine is not connected. Returns false if the generation was handed over.
    pub(crate) fn detach(&self) -> bool {
        let mut state = self.lock();
        state.is_attached = false;
        !*self.handed_over.borrow()
    }

    /// Removes all tokens if no caller has read any, so that the generation can start over.
    ///
    /// Returns false and changes nothing if a caller has read a token.
    pub(crate) fn clear_if_unread(&self) -> bool {
        let mut state = self.lock();
        if state.read {
            return false;
        }
        state.text.clear();
        state.text_ends.clear();
        state.first_token_at = None;
        true
    }

    /// Returns the index of the next token to be received.
    pub(crate) fn next_index(&self) -> u64 {
        let state = self.lock();
        state.base + state.text_ends.len() as u64
    }

    /// Returns the index of the first token in the buffer.
    pub(crate) fn base(&self) -> u64 {
        self.lock().base
    }

    /// Adds a reader.
    pub(crate) fn reader_joined(&self) {
        self.lock().readers += 1;
    }

    /// Removes a reader.
    pub(crate) fn reader_left(&self) {
        self.remove_reader(&mut self.lock());
    }

    fn remove_reader(&self, state: &mut BufferState) {
        state.readers = state.readers.saturating_sub(1);
        state.unread_since = Instant::now();
        if state.readers == 0 && state.is_read_elsewhere {
            self.handed_over.send_replace(true);
        }
    }

    /// Removes a reader that continues at another VM. Without any reader left, this VM leaves the
    /// generation to its engine.
    ///
    /// Returns false and changes nothing while no engine is known to have the generation: only the
    /// VM with the prompt can move it to another one.
    pub(crate) fn hand_over_reader(&self) -> bool {
        let mut state = self.lock();
        if !state.is_attached || state.is_moved {
            return false;
        }
        state.is_read_elsewhere = true;
        self.remove_reader(&mut state);
        true
    }

    /// Returns a receiver that becomes true when this VM must leave the generation to its engine.
    pub(crate) fn handed_over(&self) -> watch::Receiver<bool> {
        self.handed_over.subscribe()
    }

    /// Returns how long the buffer has had no reader, or `None` if it has one.
    pub(crate) fn unread_for(&self) -> Option<Duration> {
        let state = self.lock();
        (state.readers == 0).then(|| state.unread_since.elapsed())
    }

    /// Abandons the generation because nobody reads it.
    pub(crate) fn abandon(&self) {
        self.abandoned.send_replace(true);
    }

    /// Returns a receiver that becomes true when the generation is abandoned.
    pub(crate) fn abandoned(&self) -> watch::Receiver<bool> {
        self.abandoned.subscribe()
    }

    /// Returns whether a caller has read a token.
    pub(crate) fn is_read(&self) -> bool {
        self.lock().read
    }

    /// Returns the time at which the first token was received.
    pub(crate) fn first_token_at(&self) -> Option<Instant> {
        self.lock().first_token_at
    }

    /// Returns the end of the generation, if it ended.
    pub(crate) fn end(&self) -> Option<GenerationEnd> {
        self.lock().end.clone()
    }

    /// Returns where the generation runs.
    pub(crate) fn location(&self) -> GenerationId {
        self.lock().location.clone()
    }

    /// Returns the text received so far.
    pub(crate) fn whole_text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns a receiver that is notified of each change. Subscribe before reading, so as not to
    /// miss a change between reading and waiting.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the tokens from `index` on and marks the buffer as read if there are any.
    pub(crate) fn read_from(&self, index: u64) -> BufferSlice {
        let mut state = self.lock();
        let skip = index.saturating_sub(state.base) as usize;
        let skip = skip.min(state.text_ends.len());
        let mut texts = Vec::with_capacity(state.text_ends.len() - skip);
        let mut begin = if skip == 0 { 0 } else { state.text_ends[skip - 1] as usize };
        for end in &state.text_ends[skip..] {
            texts.push(state.text[begin..*end as usize].to_owned());
            begin = *end as usize;
        }
        if !texts.is_empty() {
            state.read = true;
        }
        BufferSlice {
            first_index: state.base + skip as u64,
            texts,
            location: state.location.clone(),
            end: state.end.clone(),
        }
    }
}
