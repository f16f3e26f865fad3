//! Batch writer: guards against lost, repeated and reordered records and against appends above the
//! rate limit.

use std::time::Duration;

use dragonflycart_core::{Incarnation, LogOffset, MonoTime, WallTime};
use dragonflycart_state::{
    AppendDeduplicator, AppendRateLimiter, BatchWriter, WriterAction, WriterError, WriterLimits,
};
use dragonflycart_wire::{LogEntry, MoveEnd, RecordBatch, log_entry::Kind};
use proptest::prelude::*;

use crate::support::{AppendFault, FakeLog, RunCounter, any_fault, millis, run_config};

static STEPS: RunCounter = RunCounter::new("writer steps");
static REPEATED: RunCounter = RunCounter::new("appends dropped as repeated");

#[derive(Debug, Clone)]
enum WriterOp {
    Push,
    Serve(AppendFault),
    ApplyDelayed { index: usize, again: bool },
    Wait { millis: u64 },
}

fn any_op() -> impl Strategy<Value = WriterOp> {
    prop_oneof![
        4 => Just(WriterOp::Push),
        6 => any_fault().prop_map(WriterOp::Serve),
        2 => (0..3_usize, any::<bool>())
            .prop_map(|(index, again)| WriterOp::ApplyDelayed { index, again }),
        3 => (1..300_u64).prop_map(|millis| WriterOp::Wait { millis }),
    ]
}

fn record(number: u64) -> LogEntry {
    let end = MoveEnd { ended_at_ms: number, ..MoveEnd::default() };
    LogEntry { kind: Some(Kind::MoveEnd(end)) }
}

fn new_writer(limits: WriterLimits) -> BatchWriter {
    BatchWriter::new(Incarnation(1), limits, LogOffset(0))
}

/// Returns the numbers of the records that readers see.
fn numbers_read(log: &FakeLog) -> Vec<u64> {
    let mut deduplicator = AppendDeduplicator::default();
    let mut numbers = Vec::new();
    for (offset, batch) in log.all() {
        if !deduplicator.accept(offset, batch) {
            REPEATED.add(1);
            continue;
        }
        for entry in &batch.entries {
            if let Some(Kind::MoveEnd(end)) = &entry.kind {
                numbers.push(end.ended_at_ms);
            }
        }
    }
    numbers
}

proptest! {
    #![proptest_config(run_config(1_000))]

    fn writer_cases(ops in prop::collection::vec(any_op(), 1..120)) {
        let mut log = FakeLog::default();
        let mut writer = new_writer(WriterLimits { batch_bytes: 40, ..WriterLimits::default() });
        let mut rate_limiter = AppendRateLimiter::new();
        let mut now = MonoTime::default();
        let mut pushed = 0;
        for op in &ops {
            STEPS.add(1);
            match op {
                WriterOp::Push => pushed = writer.push(record(pushed + 1), now).expect("fits"),
                WriterOp::Serve(fault) => log.serve(&mut writer, &mut rate_limiter, *fault, now),
                WriterOp::ApplyDelayed { index, again } => log.apply_delayed(*index, *again),
                WriterOp::Wait { millis } => now = now + Duration::from_millis(*millis),
            }
            let numbers = numbers_read(&log);
            prop_assert!(numbers.iter().copied().eq(1..=numbers.len() as u64));
            prop_assert!(writer.confirmed() <= numbers.len() as u64);
        }
        for _ in 0..1_000 {
            now = now + Duration::from_millis(100);
            log.serve(&mut writer, &mut rate_limiter, AppendFault::Acked, now);
        }
        prop_assert_eq!(writer.confirmed(), pushed);
        prop_assert_eq!(numbers_read(&log).len() as u64, pushed);
    }
}

/// Guards against a record that is lost, applied twice or reordered when acknowledgements are lost
/// and appends are applied late, and against a confirmation of a record that is not in the log.
#[test]
fn records_are_read_once_and_in_order() {
    writer_cases();
    STEPS.require(20_000);
    REPEATED.require(100);
}

/// Guards against an append per record, and against records that wait for longer than 10 ms.
#[test]
fn records_wait_for_others_for_ten_milliseconds() {
    let mut writer = new_writer(WriterLimits::default());
    let mut rate_limiter = AppendRateLimiter::new();
    writer.push(record(1), millis(0)).expect("fits");
    writer.push(record(2), millis(9)).expect("fits");

    let early = writer.poll(&mut rate_limiter, millis(9), WallTime::default());
    let due = writer.poll(&mut rate_limiter, millis(10), WallTime::default());

    assert_eq!(early, WriterAction::Wait(Some(millis(10))));
    assert!(matches!(due, WriterAction::Append(batch) if batch.entries.len() == 2));
}

/// Guards against searching for a lost append from the beginning of the log.
#[test]
fn search_starts_after_what_was_read_before_the_append() {
    let mut writer = new_writer(WriterLimits::default());
    let mut rate_limiter = AppendRateLimiter::new();
    writer.observe(LogOffset(41), &RecordBatch::default());
    writer.push(record(1), millis(0)).expect("fits");
    writer.poll(&mut rate_limiter, millis(10), WallTime::default());
    writer.observe(LogOffset(42), &RecordBatch::default());

    writer.ack_lost(1);

    let step = writer.poll(&mut rate_limiter, millis(20), WallTime::default());
    assert_eq!(step, WriterAction::ReadFrom(LogOffset(42)));
}

/// Guards against more appends per second than the log service can take from each VM.
#[test]
fn appends_stay_within_the_rate() {
    let mut rate_limiter = AppendRateLimiter::new();
    let mut taken = Vec::new();
    for at in 0..10_000 {
        if rate_limiter.take(millis(at)).is_ok() {
            taken.push(at);
        }
    }

    assert!(taken.len() >= 250);
    for start in 0..9_000 {
        let within = taken.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
        assert!(within <= 30, "{within} appends in the second from {start} ms");
    }
}

/// Guards against a buffer that grows without limit while the log service is down, and against a
/// record that is too large for any append.
#[test]
fn full_buffer_and_large_records_are_refused() {
    let limits = WriterLimits { batch_bytes: 64, buffer_bytes: 100, ..WriterLimits::default() };
    let mut writer = new_writer(limits);
    let reason = "x".repeat(100);
    let large = MoveEnd { reason, ..MoveEnd::default() };
    let large = LogEntry { kind: Some(Kind::MoveEnd(large)) };

    let refused = writer.push(large, millis(0));
    let full = (0..100).find_map(|number| writer.push(record(number), millis(0)).err());

    assert!(matches!(refused, Err(WriterError::TooLarge { limit: 64, .. })));
    assert_eq!(full, Some(WriterError::Full));
    assert!(writer.buffered_bytes() <= 100);
}

/// Guards against memory that grows with each restart of a VM.
#[test]
fn deduplicator_forgets_the_oldest_writers() {
    let mut deduplicator = AppendDeduplicator::default();
    for offset in 0..5_000_u64 {
        let writer = Incarnation(u128::from(offset) + 1);
        let writer = dragonflycart_state::incarnation_to_wire(writer);
        let batch = RecordBatch { writer, sequence: 1, ..RecordBatch::default() };
        assert!(deduplicator.accept(LogOffset(offset), &batch));
        assert!(!deduplicator.accept(LogOffset(offset), &batch));
    }

    let recent = dragonflycart_state::incarnation_to_wire(Incarnation(5_000));
    let batch = RecordBatch { writer: recent, sequence: 1, ..RecordBatch::default() };
    assert!(!deduplicator.accept(LogOffset(5_000), &batch));
}
