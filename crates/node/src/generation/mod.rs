//! Generations on the traffic threads: receiving, buffering and resuming token streams.

mod attempt_stop;
mod generation_buffer;
mod generation_runner;
mod generation_spec;
mod generation_store;
mod reader_guard;
mod stream_resumer;

pub(crate) use self::{
    attempt_stop::StopLimits,
    generation_buffer::{BufferSlice, GenerationBuffer, GenerationEnd},
    generation_runner::{GenerationRunner, RunnerContext, RunnerLimits},
    generation_spec::GenerationSpec,
    generation_store::GenerationStore,
    reader_guard::ReaderGuard,
    stream_resumer::StreamResumer,
};
