//! Deferred generations: guards against results that mix attempts, change or differ between VMs.

use dragonflycart_core::{Incarnation, LogOffset};
use dragonflycart_state::{
    CallKey, JobLedger, JobView, LedgerLimits, incarnation_from_wire, incarnation_to_wire,
};
use dragonflycart_wire::{JobAccepted, JobClaim, JobResult, RecordBatch, log_entry::Kind};
use proptest::prelude::*;

use crate::support::{FakeLog, RunCounter, batch_of, body_of, hour, run_config};

const PARTS: u32 = 3;
const JOBS: usize = 2;
const WORKERS: u128 = 3;

static STEPS: RunCounter = RunCounter::new("job steps");
static DONE: RunCounter = RunCounter::new("jobs done");
static LATE_READERS: RunCounter = RunCounter::new("readers that caught up after truncation");

#[derive(Debug, Clone)]
enum JobStep {
    Accept { job: usize },
    Claim { job: usize, worker: u128 },
    Part { job: usize, worker: u128, attempt: u32, part: u32 },
    Repeat { back: usize },
    Checkpoint,
    Truncate { count: usize },
}

fn any_step() -> impl Strategy<Value = JobStep> {
    let place = || (0..JOBS, 1..=WORKERS);
    prop_oneof![
        2 => (0..JOBS).prop_map(|job| JobStep::Accept { job }),
        3 => place().prop_map(|(job, worker)| JobStep::Claim { job, worker }),
        12 => (place(), 1..3_u32, 0..PARTS).prop_map(|((job, worker), attempt, part)| {
            JobStep::Part { job, worker, attempt, part }
        }),
        3 => (0..10_usize).prop_map(|back| JobStep::Repeat { back }),
        2 => Just(JobStep::Checkpoint),
        2 => (1..8_usize).prop_map(|count| JobStep::Truncate { count }),
    ]
}

fn job_key(job: usize) -> CallKey {
    CallKey::new("team", &job.to_string())
}

fn new_ledger(log: &FakeLog) -> JobLedger {
    JobLedger::new(LedgerLimits::default(), log.first_available(), log.end(), hour(0))
}

fn read(ledger: &mut JobLedger, log: &FakeLog) {
    ledger.skip_removed(log.first_available(), hour(0));
    for (offset, batch) in log.read(ledger.position(), usize::MAX) {
        ledger.apply_batch(offset, &batch, hour(0));
    }
}

fn result(job: usize, worker: u128, attempt: u32, part: u32) -> JobResult {
    let key = job_key(job);
    JobResult {
        team: key.team,
        key: key.key,
        attempt,
        worker: incarnation_to_wire(Incarnation(worker)),
        part,
        parts: PARTS,
        body: body_of(&format!("[{attempt} {worker} {part}]")),
        original_offset_plus_one: 0,
    }
}

fn accepted(job: usize) -> JobAccepted {
    let key = job_key(job);
    JobAccepted {
        team: key.team,
        key: key.key,
        request: body_of("request"),
        accepted_at_ms: hour(0).as_unix_millis(),
        original_offset_plus_one: 0,
    }
}

/// Applies a step to the log. `reader` has read the whole log and writes the checkpoints.
fn apply(step: &JobStep, log: &mut FakeLog, reader: &JobLedger) {
    let sequence = log.end().0 + 1;
    let mut push = |kind| {
        log.push(batch_of(9, sequence, kind));
    };
    match step {
        JobStep::Accept { job } => push(Kind::JobAccepted(accepted(*job))),
        JobStep::Claim { job, worker } => {
            if let Some(claim) = reader.claim(&job_key(*job), Incarnation(*worker)) {
                push(Kind::JobClaim(claim));
            }
        }
        JobStep::Part { job, worker, attempt, part } => {
            push(Kind::JobResult(result(*job, *worker, *attempt, *part)));
        }
        JobStep::Repeat { back } => {
            let repeated = log.all().map(|(_, batch)| batch.clone()).collect::<Vec<_>>();
            if let Some(batch) = repeated.iter().rev().nth(*back) {
                log.push(batch.clone());
            }
        }
        JobStep::Checkpoint => {
            let entries = reader.checkpoint(hour(0));
            log.push(RecordBatch { entries, ..RecordBatch::default() });
        }
        JobStep::Truncate { count } => log.truncate(*count),
    }
}

/// Asserts that a result consists of all parts of one attempt of one worker.
fn check_body(view: &JobView) {
    let JobView::Done { attempt, body } = view else {
        return;
    };
    let text = std::str::from_utf8(body).expect("parts are text");
    let whole = (1..=WORKERS).any(|worker| {
        let parts = (0..PARTS).map(|part| format!("[{attempt} {worker} {part}]"));
        text == parts.collect::<String>()
    });
    assert!(whole, "result {text} mixes attempts");
}

proptest! {
    #![proptest_config(run_config(1_000))]

    fn job_cases(steps in prop::collection::vec(any_step(), 1..100)) {
        let mut log = FakeLog::default();
        let mut first = new_ledger(&log);
        let mut settled = vec![None; JOBS];
        for step in &steps {
            STEPS.add(1);
            apply(step, &mut log, &first);
            read(&mut first, &log);
            let mut late = new_ledger(&log);
            let truncated = late.position() > LogOffset(0);
            read(&mut late, &log);
            for (job, known) in settled.iter_mut().enumerate() {
                let view = first.view(&job_key(job));
                check_body(&view);
                prop_assert!(known.is_none() || known.as_ref() == Some(&view));
                if known.is_none() && matches!(view, JobView::Done { .. }) {
                    DONE.add(1);
                    *known = Some(view.clone());
                }
                if late.is_authoritative(hour(0)) {
                    LATE_READERS.add(usize::from(truncated));
                    prop_assert_eq!(late.view(&job_key(job)), view);
                }
            }
        }
    }
}

/// Guards against a result that is joined from two attempts, that changes after it was complete, or
/// that differs on a VM which started after records were removed.
#[test]
fn first_complete_attempt_wins_everywhere() {
    job_cases();
    STEPS.require(20_000);
    DONE.require(100);
    LATE_READERS.require(500);
}

/// Guards against two VMs that both believe that an attempt is theirs.
#[test]
fn first_claim_of_an_attempt_in_log_order_counts() {
    let mut log = FakeLog::default();
    let mut ledger = new_ledger(&log);
    log.push(batch_of(1, 1, Kind::JobAccepted(accepted(0))));
    read(&mut ledger, &log);
    let claims: [JobClaim; 2] =
        [5, 4].map(|worker| ledger.claim(&job_key(0), Incarnation(worker)).expect("it is open"));

    for (index, claim) in claims.iter().enumerate() {
        log.push(batch_of(2, index as u64 + 1, Kind::JobClaim(claim.clone())));
    }
    read(&mut ledger, &log);

    assert_eq!(incarnation_from_wire(&claims[0].worker), Incarnation(5));
    let view = ledger.view(&job_key(0));
    assert_eq!(view, JobView::Claimed { attempt: 1, worker: Incarnation(5) });
    assert_eq!(ledger.open_jobs().count(), 1);
}

/// Guards against a job that can never finish because many attempts left partial results.
#[test]
fn many_broken_attempts_do_not_block_a_job() {
    let mut log = FakeLog::default();
    let mut ledger = new_ledger(&log);
    for attempt in 1..50 {
        log.push(batch_of(1, u64::from(attempt), Kind::JobResult(result(0, 1, attempt, 0))));
    }
    for part in 0..PARTS {
        log.push(batch_of(2, u64::from(part) + 1, Kind::JobResult(result(0, 1, 50, part))));
    }

    read(&mut ledger, &log);

    assert!(matches!(ledger.view(&job_key(0)), JobView::Done { attempt: 50, .. }));
}
