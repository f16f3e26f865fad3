//! Tokens of one generation as received so far.
//!
//! The buffer separates the engine's connection from the caller's: either may break and be opened
//! again without the other noticing, and a caller can read the same tokens more than once.

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
        /// Why the engine ended the output.
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
    /// Where the generation runs; callers resume at this location.
    pub(crate) location: GenerationId,
    /// End of the generation, present once all tokens before it were returned.
    pub(crate) end: Option<GenerationEnd>,
}

struct BufferState {
    /// Index of the first token kept; above zero when the stream was taken over from another VM.
    base: u64,
    /// Texts of all tokens, joined, with the end of each. Joined texts keep a stream of tens of
    /// thousands of tokens at about 13 bytes a token.
    text: String,
    text_ends: Vec<u32>,
    end: Option<GenerationEnd>,
    location: GenerationId,
    read: bool,
    first_token_at: Option<Instant>,
    readers: u32,
    /// Time since which nobody reads.
    unread_since: Instant,
}

/// Tokens of one generation, shared by the task that fills it and the callers that read it.
pub(crate) struct GenerationBuffer {
    state: Mutex<BufferState>,
    changed: watch::Sender<()>,
    abandoned: watch::Sender<bool>,
}

impl GenerationBuffer {
    /// Builds an empty buffer whose first token will have index `base`.
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
            unread_since: Instant::now(),
        };
        GenerationBuffer {
            state: Mutex::new(state),
            changed: watch::Sender::new(()),
            abandoned: watch::Sender::new(false),
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
        state.first_token_at.get_or_insert_with(Instant::now);
        drop(state);
        self.changed.send_replace(());
    }

    /// Sets the end of the generation; a second end is ignored.
    pub(crate) fn finish(&self, end: GenerationEnd) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Records that the generation goes on at another backend server.
    pub(crate) fn relocate(&self, location: GenerationId) {
        self.lock().location = location;
    }

    /// Drops all tokens, for a new generation in place of one that nobody has read.
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

    /// Returns the index of the token that is expected next.
    pub(crate) fn next_index(&self) -> u64 {
        let state = self.lock();
        state.base + state.text_ends.len() as u64
    }

    /// Returns the index of the first token kept.
    pub(crate) fn base(&self) -> u64 {
        self.lock().base
    }

    /// Counts a reader.
    pub(crate) fn reader_joined(&self) {
        self.lock().readers += 1;
    }

    /// Counts the end of a reader.
    pub(crate) fn reader_left(&self) {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.unread_since = Instant::now();
    }

    /// Returns for how long nobody has read, or `None` while somebody does.
    pub(crate) fn unread_for(&self) -> Option<Duration> {
        let state = self.lock();
        (state.readers == 0).then(|| state.unread_since.elapsed())
    }

    /// Gives the generation up, because nobody will read it.
    pub(crate) fn abandon(&self) {
        self.abandoned.send_replace(true);
    }

    /// Returns a receiver that tells whether the generation was given up.
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

    /// Returns the whole text received so far.
    pub(crate) fn whole_text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns a receiver that is notified of each change. Subscribe before reading, so that no
    /// change between the read and the wait is missed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the tokens from `index` on. Marks the buffer as read if there are any.
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
