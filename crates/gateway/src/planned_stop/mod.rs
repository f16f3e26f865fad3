//! What is open during a planned stop.

mod open_streams;
mod stream_entry;
mod stream_phase;

pub use self::{open_streams::OpenStreams, stream_entry::StreamEntry, stream_phase::StreamPhase};
