//! Tests of the log client against the fake log service.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{HttpLogClient, LogError, LogService, LogTopic};
use dragonflycart_testkit::{FakeLog, FaultCommand, LogCommand, LogConfig, OutageKind};

use crate::fixtures::closed_address;

const NO_WAIT: Duration = Duration::ZERO;

async fn start_log(config: LogConfig) -> (FakeLog, HttpLogClient) {
    let fake = FakeLog::start(config).await.unwrap();
    let log = HttpLogClient::new(fake.address());
    (fake, log)
}

async fn append(log: &HttpLogClient, text: &'static str) -> Result<LogOffset, LogError> {
    log.append(LogTopic::Calls, Bytes::from_static(text.as_bytes())).await
}

async fn read_texts(log: &HttpLogClient, from: u64, wait: Duration) -> Vec<(u64, String)> {
    let batch = log.read(LogTopic::Calls, LogOffset(from), wait).await.unwrap();
    let mut texts = Vec::new();
    for record in batch.records {
        let text = String::from_utf8_lossy(&record.body).into_owned();
        texts.push((record.offset.0, text));
    }
    texts
}

/// Guards against lost or reordered records and against offsets shared between topics.
#[tokio::test]
async fn records_are_read_in_order_of_their_offsets() {
    let (fake, log) = start_log(LogConfig::default()).await;
    assert_eq!(append(&log, "a").await, Ok(LogOffset(0)));
    assert_eq!(append(&log, "").await, Ok(LogOffset(1)));
    let other = log.append(LogTopic::Plan, Bytes::from_static(b"plan")).await;
    assert_eq!(other, Ok(LogOffset(0)));
    assert_eq!(append(&log, "c\n").await, Ok(LogOffset(2)));
    let texts = read_texts(&log, 1, NO_WAIT).await;
    assert_eq!(texts, [(1, String::new()), (2, "c\n".to_owned())]);
    let batch = log.read(LogTopic::Calls, LogOffset(3), NO_WAIT).await.unwrap();
    assert_eq!((batch.end, batch.records.len()), (LogOffset(3), 0));
    fake.close().await;
}

/// Guards against a waiting read that misses a record appended meanwhile, or returns it only at the
/// end of the wait.
#[tokio::test]
async fn a_waiting_read_ends_with_the_next_record() {
    let (fake, log) = start_log(LogConfig::default()).await;
    let writer = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        append(&log, "late").await.unwrap();
    };
    let started_at = tokio::time::Instant::now();
    let (texts, ()) = tokio::join!(read_texts(&log, 0, Duration::from_secs(5)), writer);
    assert_eq!(texts, [(0, "late".to_owned())]);
    assert!(started_at.elapsed() < Duration::from_secs(1));
    fake.close().await;
}

/// Guards against a written record that is reported as not written because the response was lost,
/// and against a record that is written twice.
#[tokio::test]
async fn a_lost_response_is_not_a_refusal() {
    let (fake, log) = start_log(LogConfig::default()).await;
    for (reset, text) in [(true, "reset"), (false, "silent")] {
        fake.fault(&FaultCommand::DropResponses { count: 1, reset });
        assert_eq!(append(&log, text).await, Err(LogError::ResponseLost));
    }
    let texts = read_texts(&log, 0, NO_WAIT).await;
    assert_eq!(texts, [(0, "reset".to_owned()), (1, "silent".to_owned())]);
    fake.close().await;
}

/// Guards against the assumption that a read right after a lost response shows whether the record
/// was written: it may be written later.
#[tokio::test]
async fn a_record_can_be_written_after_its_response_was_lost() {
    let (fake, log) = start_log(LogConfig::default()).await;
    fake.command(LogCommand::ApplyLate { count: 1, ms: 300 });
    assert_eq!(append(&log, "late").await, Err(LogError::ResponseLost));
    assert!(read_texts(&log, 0, NO_WAIT).await.is_empty());
    assert_eq!(append(&log, "next").await, Ok(LogOffset(0)));
    let texts = read_texts(&log, 1, Duration::from_secs(2)).await;
    assert_eq!(texts, [(1, "late".to_owned())]);
    fake.close().await;
}

/// Guards against a read that skips removed records without an error.
#[tokio::test]
async fn expired_records_are_reported() {
    let config = LogConfig { retention_records: 3, ..LogConfig::default() };
    let (fake, log) = start_log(config).await;
    for text in ["a", "b", "c", "d", "e"] {
        append(&log, text).await.unwrap();
    }
    let expired = Err(LogError::Expired { first_available: LogOffset(2) });
    assert_eq!(log.read(LogTopic::Calls, LogOffset(1), NO_WAIT).await, expired);
    assert_eq!(read_texts(&log, 2, NO_WAIT).await.len(), 3);
    fake.command(LogCommand::Expire { first: 4 });
    let expired = Err(LogError::Expired { first_available: LogOffset(4) });
    assert_eq!(log.read(LogTopic::Calls, LogOffset(2), NO_WAIT).await, expired);
    fake.close().await;
}

/// Guards against a refused append that writes a record. Appends are refused by the size limit, the
/// rate limit, an outage and a dead log service.
#[tokio::test]
async fn refused_appends_write_nothing() {
    let config =
        LogConfig { record_limit_bytes: 4, appends_per_second: 2.0, ..LogConfig::default() };
    let (fake, log) = start_log(config).await;
    assert_eq!(append(&log, "12345").await, Err(LogError::TooLarge { found: 5, limit: 4 }));
    fake.command(LogCommand::Outage { kind: OutageKind::Refuse });
    assert_eq!(append(&log, "a").await, Err(LogError::Unavailable));
    fake.command(LogCommand::Outage { kind: OutageKind::None });
    for _ in 0..2 {
        append(&log, "ok").await.unwrap();
    }
    assert_eq!(append(&log, "b").await, Err(LogError::Unavailable));
    let stats = fake.stats();
    assert_eq!((stats.written, stats.rate_limited, stats.refused), (2, 1, 1));
    let dead = HttpLogClient::new(closed_address().await);
    assert_eq!(append(&dead, "c").await, Err(LogError::Unavailable));
    fake.close().await;
}

/// Guards against a client that waits forever for a log service that accepts connections but does
/// not respond, and against loss of the records in a restart.
#[tokio::test]
async fn a_frozen_log_service_times_out_and_keeps_its_records() {
    let (fake, log) = start_log(LogConfig::default()).await;
    append(&log, "kept").await.unwrap();
    fake.fault(&FaultCommand::Freeze);
    assert_eq!(append(&log, "frozen").await, Err(LogError::ResponseLost));
    fake.fault(&FaultCommand::Thaw);
    fake.fault(&FaultCommand::Die);
    assert_eq!(append(&log, "dead").await, Err(LogError::Unavailable));
    fake.fault(&FaultCommand::Restart);
    let mut texts = Vec::new();
    for _ in 0..50 {
        if let Ok(batch) = log.read(LogTopic::Calls, LogOffset(0), NO_WAIT).await {
            texts = batch.records;
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(texts.first().map(|record| &record.body[..]), Some(&b"kept"[..]));
    fake.close().await;
}
