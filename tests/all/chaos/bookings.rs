//! Callers that book and retry with the same idempotency key at other VMs. Checks that each key is
//! executed at most once.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::sync::watch;

use super::RunCounts;
use crate::support::{Caller, Deployment};

/// Deadline that callers state in `x-deadline-ms`.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which a caller abandons an attempt without a response, for example at a paused VM.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts after which a caller gives up a key.
const MAX_ATTEMPTS: u32 = 6;

/// What the caller knows about the execution of a key after its last attempt.
#[derive(Debug)]
enum KnownOutcome {
    /// Executed; holds the response of the service.
    Answered(Value),
    /// The response said `not_run`, and no attempt followed.
    NotRun,
    /// No response, or one that leaves it open.
    Unknown,
}

/// Attempts for one key and their outcome.
#[derive(Debug)]
pub(super) struct KeyRecord {
    key: String,
    body: String,
    outcome: KnownOutcome,
    attempts: Vec<String>,
}

/// Books until `stopped` and returns a record of each key.
pub(super) async fn run_caller(
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
    let mut record = KeyRecord { key, body, outcome: KnownOutcome::Unknown, attempts: Vec::new() };
    for attempt in 1..=MAX_ATTEMPTS {
        let vm = rng.random_range(0..addresses.len());
        record.outcome = try_once(addresses[vm], vm, attempt, &mut record).await;
        match record.outcome {
            KnownOutcome::Answered(_) => break,
            // Half of the time the caller takes this as final; `check` then finds a later
            // execution.
            KnownOutcome::NotRun if rng.random_bool(0.5) => break,
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
) -> KnownOutcome {
    let (number, deadline) = (attempt.to_string(), DEADLINE.as_millis().to_string());
    let headers = [
        ("idempotency-key", record.key.as_str()),
        ("x-attempt", number.as_str()),
        ("x-deadline-ms", deadline.as_str()),
    ];
    let caller = Caller::new("orders");
    let call = caller.call(address, "book", &headers, &record.body);
    let (seen, outcome) = match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Ok(response)) if response.status == 200 => {
            ("200".into(), KnownOutcome::Answered(response.json()))
        }
        Ok(Ok(response)) => {
            let outcome = if response.run_state() == "not_run" {
                KnownOutcome::NotRun
            } else {
                KnownOutcome::Unknown
            };
            (format!("{} {}", response.error_kind(), response.run_state()), outcome)
        }
        Ok(Err(error)) => (error, KnownOutcome::Unknown),
        Err(_) => ("no response".to_owned(), KnownOutcome::Unknown),
    };
    record.attempts.push(format!("vm-{vm}: {seen}"));
    outcome
}

/// Checks the records against the executions that the servers counted.
pub(super) fn check(deployment: &Deployment, records: &[KeyRecord], counts: &mut RunCounts) {
    for record in records {
        let executions = deployment.executions(&record.key);
        counts.keys += 1;
        counts.executed += executions;
        assert!(executions <= 1, "executed {executions} times: {record:?}");
        match &record.outcome {
            KnownOutcome::Answered(response) => {
                assert_eq!(executions, 1, "response without an execution: {record:?}");
                assert_eq!(response["key"], record.key, "response to another request: {record:?}");
                assert_eq!(
                    response["echo"], record.body,
                    "response to another request: {record:?}"
                );
            }
            KnownOutcome::NotRun => {
                counts.not_run += 1;
                assert_eq!(executions, 0, "executed after \"not run\": {record:?}");
            }
            KnownOutcome::Unknown => counts.unknown += 1,
        }
    }
}
