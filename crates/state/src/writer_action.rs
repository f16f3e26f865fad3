//! Next action of a batch writer.

use dragonflycart_core::{LogOffset, MonoTime};
use dragonflycart_wire::RecordBatch;

/// What the owner of a batch writer has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum WriterAction {
    /// Append this batch and report the result.
    Append(RecordBatch),
    /// Read the log from this offset, pass each batch to `observe` and the end of the log to
    /// `read_to`.
    ReadFrom(LogOffset),
    /// Nothing to do until this time, or until the next record or result if there is no time.
    Wait(Option<MonoTime>),
}
