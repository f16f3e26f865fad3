//! Deferred generations (jobs): which VM runs them, and what their callers are told.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{
    ErrorKind, Incarnation, LogOffset, MonoTime, ServiceError, rendezvous_score,
};
use dragonflycart_interfaces::LogTopic;
use dragonflycart_state::{CallKey, JobLedger, JobView, LedgerLimits, incarnation_to_wire};
use dragonflycart_wire::{JobAccepted, JobResult, log_entry::Kind};
use log::{info, warn};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::{
    control::{
        append_control::AppendControl,
        call_control::{StepContext, stagger},
        decoded_batch::DecodedBatch,
    },
    job::{JobAttempt, JobMessage, JobResponse},
};

/// Maximum number of bytes of a result in one record.
const PART_BYTES: usize = 48 << 10;
/// Number of attempts after which a job ends with the error of the last one.
const MAX_ATTEMPTS: u32 = 5;
/// Time that the preferred VM has to claim a job before any VM may.
const PREFERENCE_TIME: Duration = Duration::from_secs(5);
/// Minimum interval between two claims of the same job by this VM.
const CLAIM_PERIOD: Duration = Duration::from_secs(5);
/// Time without messages from a job's worker after which another VM claims the job. If the worker
/// is still alive, this only wastes capacity, since the first complete result in the log counts.
const WORKER_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum interval between two attempts to append a checkpoint.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(60);

/// A caller that waits for its job to appear in the log.
struct AcceptWaiter {
    key: CallKey,
    deadline: MonoTime,
    reply: oneshot::Sender<JobResponse>,
}

/// State of an open job on this VM.
struct OpenJob {
    seen_at: MonoTime,
    claimed_at: Option<MonoTime>,
    /// Worker of the current claim, and the last time at which it was known to be alive.
    worker: Option<(Incarnation, MonoTime)>,
    /// Number of the last attempt that this VM has started.
    started: u32,
}

/// Deferred generations on this VM.
pub(crate) struct JobControl {
    own: Incarnation,
    limits: LedgerLimits,
    ledger: Option<JobLedger>,
    waiters: Vec<AcceptWaiter>,
    open: BTreeMap<CallKey, OpenJob>,
    attempts: mpsc::UnboundedSender<JobAttempt>,
    checkpoint_at: Option<MonoTime>,
    draining: bool,
}

impl JobControl {
    /// Creates the state without any records.
    pub(crate) fn new(
        own: Incarnation,
        limits: LedgerLimits,
        attempts: mpsc::UnboundedSender<JobAttempt>,
    ) -> JobControl {
        JobControl {
            own,
            limits,
            ledger: None,
            waiters: Vec::new(),
            open: BTreeMap::new(),
            attempts,
            checkpoint_at: None,
            draining: false,
        }
    }

    /// Stops claiming and starting jobs. Running attempts continue.
    pub(crate) fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Applies records that were read from topic `jobs`.
    pub(crate) fn apply(&mut self, batch: &DecodedBatch, step: StepContext) {
        let limits = self.limits;
        let ledger = self.ledger.get_or_insert_with(|| {
            JobLedger::new(limits, batch.first_available, batch.end, step.wall)
        });
        for (offset, append) in &batch.appends {
            ledger.apply_batch(*offset, append, step.wall);
        }
        self.reply_to_waiters(step);
    }

    /// Continues at `first_available` after the log removed records that were not read.
    pub(crate) fn skip(&mut self, first_available: LogOffset, step: StepContext) {
        if let Some(ledger) = &mut self.ledger {
            ledger.skip_removed(first_available, step.wall);
        }
    }

    /// Handles one message.
    pub(crate) fn handle(
        &mut self,
        message: JobMessage,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        match message {
            JobMessage::Accept { key, request, deadline, reply } => {
                let waiter = AcceptWaiter { key, deadline, reply };
                self.accept(waiter, request, appends, step);
            }
            JobMessage::Fetch(key, reply) => {
                let _ = reply.send(self.state(&key, step));
            }
            JobMessage::Ended(key, attempt, result) => {
                self.ended(&key, attempt, result, appends, step);
            }
        }
    }

    fn accept(
        &mut self,
        waiter: AcceptWaiter,
        request: Bytes,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let refuse = |waiter: AcceptWaiter, kind, message: &str| {
            let _ = waiter.reply.send(JobResponse::Refused(ServiceError::new(kind, message)));
        };
        let known = self.ledger.as_ref().is_some_and(|l| l.view(&waiter.key) != JobView::Unseen);
        if self.ledger.as_ref().is_some_and(|l| l.is_reused(&waiter.key, &request)) {
            refuse(waiter, ErrorKind::KeyReused, "the key belongs to another job");
            return;
        }
        if known {
            let _ = waiter.reply.send(self.state(&waiter.key, step));
            return;
        }
        if step.log_lost_at.is_some() {
            refuse(waiter, ErrorKind::LogUnavailable, "the job can't be recorded now");
            return;
        }
        let record = JobAccepted {
            team: waiter.key.team.clone(),
            key: waiter.key.key.clone(),
            request,
            accepted_at_ms: step.wall.as_unix_millis(),
            original_offset_plus_one: 0,
        };
        match appends.push(LogTopic::Jobs, Kind::JobAccepted(record), step.now) {
            Ok(()) => self.waiters.push(waiter),
            Err(error) => refuse(waiter, ErrorKind::LogUnavailable, &error.to_string()),
        }
    }

    fn state(&self, key: &CallKey, step: StepContext) -> JobResponse {
        let refused = |kind, message: &str| JobResponse::Refused(ServiceError::new(kind, message));
        let Some(ledger) = &self.ledger else {
            return refused(ErrorKind::LogUnavailable, "the log was not read yet");
        };
        match ledger.view(key) {
            JobView::Done { body, .. } => JobResponse::Done(body),
            JobView::Waiting | JobView::Claimed { .. } => JobResponse::Accepted,
            JobView::Unseen if !ledger.is_authoritative(step.wall) => {
                refused(ErrorKind::LogUnavailable, "the log was not read to its end yet")
            }
            JobView::Unseen => refused(ErrorKind::NotFound, "no job has this key"),
        }
    }

    fn reply_to_waiters(&mut self, step: StepContext) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        let mut waiting = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            match ledger.view(&waiter.key) {
                JobView::Unseen if step.now < waiter.deadline => waiting.push(waiter),
                JobView::Unseen => {
                    let message = "the job may have been recorded; ask again with the same key";
                    let error = ServiceError::new(ErrorKind::OutcomeUnknown, message);
                    let _ = waiter.reply.send(JobResponse::Refused(error));
                }
                JobView::Done { body, .. } => {
                    let _ = waiter.reply.send(JobResponse::Done(body));
                }
                JobView::Waiting | JobView::Claimed { .. } => {
                    let _ = waiter.reply.send(JobResponse::Accepted);
                }
            }
        }
        self.waiters = waiting;
    }

    /// Appends the result of an attempt, or claims the job again if the attempt failed. After
    /// [`MAX_ATTEMPTS`] the job ends with the error. A VM that stops leaves a failed job to others.
    fn ended(
        &mut self,
        key: &CallKey,
        attempt: u32,
        result: Result<Bytes, ServiceError>,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let body = match result {
            Ok(body) => body,
            Err(error) if self.draining => {
                // Another VM claims the job once this one has ended.
                warn!("job: attempt failed in a planned stop; key={key} error={error}");
                return;
            }
            Err(error) if attempt < MAX_ATTEMPTS => {
                warn!("job: attempt failed; key={key} attempt={attempt} error={error}");
                self.claim(key, appends, step);
                return;
            }
            Err(error) => {
                warn!("job: last attempt failed; key={key} attempt={attempt} error={error}");
                let body = json!({ "error": { "kind": error.kind(), "message": error.message() } });
                Bytes::from(body.to_string())
            }
        };
        let parts: Vec<Bytes> = (0..body.len().div_ceil(PART_BYTES).max(1))
            .map(|part| {
                let begin = part * PART_BYTES;
                body.slice(begin..(begin + PART_BYTES).min(body.len()))
            })
            .collect();
        let count = parts.len() as u32;
        for (part, body) in parts.into_iter().enumerate() {
            let record = JobResult {
                team: key.team.clone(),
                key: key.key.clone(),
                attempt,
                worker: incarnation_to_wire(self.own),
                part: part as u32,
                parts: count,
                body,
                original_offset_plus_one: 0,
            };
            if let Err(error) = appends.push(LogTopic::Jobs, Kind::JobResult(record), step.now) {
                // An incomplete result does not count. The job is claimed again when this VM stops
                // responding or restarts.
                warn!("job: can't buffer result; key={key} error={error}");
                return;
            }
        }
        info!("job: done; key={key} attempt={attempt} parts={count}");
    }

    fn claim(&mut self, key: &CallKey, appends: &mut AppendControl, step: StepContext) {
        let Some(record) = self.ledger.as_ref().and_then(|ledger| ledger.claim(key, self.own))
        else {
            return;
        };
        if let Some(job) = self.open.get_mut(key) {
            job.claimed_at = Some(step.now);
        }
        let _ = appends.push(LogTopic::Jobs, Kind::JobClaim(record), step.now);
    }

    /// Claims and starts jobs. `alive` has the incarnations of all responding VMs, including this
    /// one.
    pub(crate) fn tick(
        &mut self,
        alive: &[Incarnation],
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        self.reply_to_waiters(step);
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        ledger.expire(step.wall);
        let mut views = Vec::new();
        for (key, view) in ledger.open_jobs() {
            views.push((key.clone(), view));
        }
        self.open.retain(|key, _| views.iter().any(|(open, _)| open == key));
        for (key, view) in views {
            self.advance(key, &view, alive, appends, step);
        }
        self.append_checkpoint(appends, step);
    }

    fn advance(
        &mut self,
        key: CallKey,
        view: &JobView,
        alive: &[Incarnation],
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let own = self.own;
        let job = self.open.entry(key.clone()).or_insert(OpenJob {
            seen_at: step.now,
            claimed_at: None,
            worker: None,
            started: 0,
        });
        let recently = |at: Option<MonoTime>, span| at.is_some_and(|at| step.now.since(at) < span);
        let orphaned = match *view {
            JobView::Claimed { attempt, worker } if worker == own => {
                if job.started < attempt && !self.draining {
                    job.started = attempt;
                    self.start(key, attempt);
                }
                return;
            }
            JobView::Claimed { worker, .. } => {
                let last_alive = match job.worker {
                    Some((known, at)) if known == worker && !alive.contains(&worker) => at,
                    _ => step.now,
                };
                job.worker = Some((worker, last_alive));
                step.now.since(last_alive) >= WORKER_TIMEOUT
            }
            _ => true,
        };
        if !orphaned || self.draining || recently(job.claimed_at, CLAIM_PERIOD) {
            return;
        }
        let preference_expired = step.now.since(job.seen_at) >= PREFERENCE_TIME;
        if preference_expired || preferred(&key, alive) == Some(own) {
            self.claim(&key, appends, step);
        }
    }

    fn start(&self, key: CallKey, attempt: u32) {
        let ledger = self.ledger.as_ref();
        let accepted = ledger.and_then(|ledger| ledger.history(&key)?.accepted());
        let Some(accepted) = accepted else {
            return;
        };
        info!("job: starting attempt; key={key} attempt={attempt}");
        let job_attempt = JobAttempt { key, attempt, request: accepted.request.clone() };
        // The worker runs until the process exits, so this can't fail earlier.
        let _ = self.attempts.send(job_attempt);
    }

    fn append_checkpoint(&mut self, appends: &mut AppendControl, step: StepContext) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        let waited = self.checkpoint_at.is_none_or(|at| step.now.since(at) >= CHECKPOINT_PERIOD);
        let due = ledger.checkpoint_due(step.wall, stagger(self.own, self.limits));
        if !waited || !due {
            return;
        }
        self.checkpoint_at = Some(step.now);
        for entry in ledger.checkpoint(step.wall) {
            let Some(kind) = entry.kind else { continue };
            // Stop at the first failure: the checkpoint record comes last and must not follow an
            // incomplete copy, or a new VM would not know the missing jobs.
            if let Err(error) = appends.push(LogTopic::Jobs, kind, step.now) {
                warn!("job: checkpoint postponed; error={error}");
                return;
            }
        }
    }
}

/// Returns the VM that should claim a job, so that usually only one does.
fn preferred(key: &CallKey, alive: &[Incarnation]) -> Option<Incarnation> {
    let subject = [b"job".as_slice(), key.team.as_bytes(), key.key.as_bytes()];
    alive
        .iter()
        .copied()
        .max_by_key(|incarnation| rendezvous_score(&subject, &incarnation.0.to_be_bytes()))
}
