//! Generations on the traffic threads: receiving, buffering and continuing them.

mod buffer_reader;
mod generation_buffer;
mod generation_runner;
mod generation_spec;
mod generation_store;
mod stream_resumer;

pub(crate) use self::{
    buffer_reader::BufferReader,
    generation_buffer::{BufferSlice, GenerationBuffer, GenerationEnd},
    generation_runner::{GenerationRunner, RunnerContext, RunnerLimits},
    generation_spec::GenerationSpec,
    generation_store::GenerationStore,
    stream_resumer::StreamResumer,
};
