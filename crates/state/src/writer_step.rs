//! What the owner of a batch writer does next.

use dragonflycart_core::{LogOffset, MonoTime};
use dragonflycart_wire::RecordBatch;

/// Next step of a batch writer.
#[derive(Debug, Clone, PartialEq)]
pub enum WriterStep {
    /// Append this batch and report the result.
    Append(RecordBatch),
    /// Read the log from here and pass each batch to `observe`, the end of the log to `read_to`.
    LookFor(LogOffset),
    /// Nothing to do before this time; without a time, before the next record or result.
    Wait(Option<MonoTime>),
}
