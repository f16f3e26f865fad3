//! Fixtures shared by the tests.

mod call_harness;
mod fake_log;
mod run_config;

pub use self::{
    call_harness::{CallHarness, CallStep, KEYS, VMS},
    fake_log::{AppendFault, FakeLog, any_fault},
    run_config::{RunCounter, run_config},
};

use bytes::Bytes;
use dragonflycart_core::{Incarnation, MonoTime, WallTime};
use dragonflycart_state::incarnation_to_wire;
use dragonflycart_wire::{LogEntry, RecordBatch, log_entry::Kind};

/// Returns the wall-clock time `hours` after the start of a test.
pub fn hour(hours: u64) -> WallTime {
    WallTime::from_unix_millis(1_700_000_000_000 + hours * 3_600_000)
}

/// Returns the monotonic time `millis` after the start of a test.
pub fn millis(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a batch of `writer` with one record.
pub fn batch_of(writer: u128, sequence: u64, kind: Kind) -> RecordBatch {
    RecordBatch {
        writer: incarnation_to_wire(Incarnation(writer)),
        sequence,
        written_at_ms: 0,
        entries: vec![LogEntry { kind: Some(kind) }],
    }
}

/// Returns a text as the bytes of a record.
pub fn body_of(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
