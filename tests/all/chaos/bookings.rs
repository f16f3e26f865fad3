//! Callers that book and try again under the same key at other VMs; at most one execution.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;

use super::RunCounts;
use crate::support::{Caller, Deployment};

/// Deadline that callers state.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which a caller gives an attempt up without an answer, for example at a paused VM.
const PATIENCE: Duration = Duration::from_secs(4);
/// Attempts after which a caller leaves a key alone.
const MOST_ATTEMPTS: u32 = 6;

/// What the caller knows of a key at the end.
#[derive(Debug)]
enum LastWord {
    /// The whole answer.
    Answered(Value),
    /// "Not run"; no attempt followed.
    NotRun,
    /// Neither.
    Unknown,
}

/// History of one key.
#[derive(Debug)]
pub(super) struct KeyRecord {
    key: String,
    body: String,
    last: LastWord,
    attempts: Vec<String>,
}

/// Books until `stopped` and returns what was answered.
pub(super) async fn call(
    addresses: Vec<SocketAddr>,
    prefix: String,
    mut rng: ChaCha8Rng,
    stopped: watch::Receiver<bool>,
) -> Vec<KeyRecord> {
    let mut records = Vec::new();
    while !*stopped.borrow() {
        let key = format!("{prefix}-{}", records.len());
        records.push(book(&addresses, key, &mut rng).await);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    records
}

async fn book(addresses: &[SocketAddr], key: String, rng: &mut ChaCha8Rng) -> KeyRecord {
    let body = format!("{{\"order\":\"{key}\"}}");
    let mut record = KeyRecord { key, body, last: LastWord::Unknown, attempts: Vec::new() };
    for attempt in 1..=MOST_ATTEMPTS {
        let vm = rng.random_range(0..addresses.len());
        record.last = try_once(addresses[vm], vm, attempt, &mut record).await;
        match record.last {
            LastWord::Answered(_) => break,
            // Half of the callers take the answer as final, so that a later execution shows.
            LastWord::NotRun if rng.random_bool(0.5) => break,
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..300))).await;
    }
    record
}

async fn try_once(
    address: SocketAddr,
    vm: usize,
    attempt: u32,
    record: &mut KeyRecord,
) -> LastWord {
    let (number, deadline) = (attempt.to_string(), DEADLINE.as_millis().to_string());
    let headers = [
        ("idempotency-key", record.key.as_str()),
        ("x-attempt", number.as_str()),
        ("x-deadline-ms", deadline.as_str()),
    ];
    let caller = Caller::new("orders");
    let call = caller.call(address, "book", &headers, &record.body);
    let (seen, word) = match tokio::time::timeout(PATIENCE, call).await {
        Ok(Ok(answer)) if answer.status == 200 => ("200".into(), LastWord::Answered(answer.json())),
        Ok(Ok(answer)) => {
            let word =
                if answer.run_state() == "not_run" { LastWord::NotRun } else { LastWord::Unknown };
            (format!("{} {}", answer.error_kind(), answer.run_state()), word)
        }
        Ok(Err(error)) => (error, LastWord::Unknown),
        Err(_) => ("no answer".to_owned(), LastWord::Unknown),
    };
    record.attempts.push(format!("vm-{vm}: {seen}"));
    word
}

/// Checks the records against what the servers executed.
pub(super) fn check(deployment: &Deployment, records: &[KeyRecord], counts: &mut RunCounts) {
    for record in records {
        let executions = deployment.executions(&record.key);
        counts.keys += 1;
        counts.executed += executions;
        assert!(executions <= 1, "{executions} executions: {record:?}");
        match &record.last {
            LastWord::Answered(answer) => {
                assert_eq!(executions, 1, "answered without an execution: {record:?}");
                assert_eq!(answer["key"], record.key, "answer to another request: {record:?}");
                assert_eq!(answer["echo"], record.body, "answer to another request: {record:?}");
            }
            LastWord::NotRun => {
                counts.not_run += 1;
                assert_eq!(executions, 0, "executed after \"not run\": {record:?}");
            }
            LastWord::Unknown => counts.unknown += 1,
        }
    }
}
