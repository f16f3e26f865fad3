//! Harness of the call tests: VMs, callers and a service that are driven step by step.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::{Incarnation, MonoTime, WallTime};
use dragonflycart_state::{
    AppendRateLimiter, AttemptResponse, BatchWriter, CallAttempt, CallKey, CallLedger,
    CheckpointPass, ClaimId, ClaimRecord, DispatchPermit, LedgerLimits, PendingReleases,
    WriterLimits,
};
use dragonflycart_wire::{LogEntry, log_entry::Kind};

use super::{AppendFault, FakeLog, hour};
use crate::checkers::CallEvent;

/// Number of VMs.
pub const VMS: usize = 3;

/// Keys used by the callers. The attempts of the last one are not numbered.
pub const KEYS: usize = 4;

/// Key that is only used after all faults have ended.
const FRESH_KEY: usize = KEYS;

/// Latest hour of the wall clock. The test stays within the call window of 72 h.
const LATEST_HOUR: u64 = 60;

/// One step of the callers, the VMs, the log or the service.
#[derive(Debug, Clone)]
pub enum CallStep {
    Request { vm: usize, key: usize, digest: u8 },
    Refuse { vm: usize, key: usize },
    Append { vm: usize, fault: AppendFault },
    Read { vm: usize, count: usize },
    CatchUp { vm: usize },
    TakePermit { vm: usize, attempt: usize },
    ReturnPermit { vm: usize, attempt: usize },
    Run { vm: usize, attempt: usize, answered: bool },
    GiveUp { vm: usize, attempt: usize },
    Answer { vm: usize, attempt: usize },
    RepeatReleases { vm: usize },
    Checkpoint { vm: usize, keys: usize },
    Restart { vm: usize },
    Partition { vm: usize, partitioned: bool },
    ApplyDelayed { index: usize, again: bool },
    Truncate { count: usize },
    PassHours { hours: u64 },
}

/// Attempt of a caller at one VM.
struct LocalAttempt {
    attempt: CallAttempt,
    key: usize,
    number: u32,
    digest: u8,
    permit: Option<DispatchPermit>,
}

struct CallVm {
    incarnation: Incarnation,
    ledger: CallLedger,
    writer: BatchWriter,
    rate_limiter: AppendRateLimiter,
    attempts: Vec<LocalAttempt>,
    given_up: PendingReleases,
    pass: Option<CheckpointPass>,
    partitioned: bool,
}

impl CallVm {
    fn new(incarnation: u128, log: &FakeLog, now: WallTime) -> CallVm {
        let incarnation = Incarnation(incarnation);
        let limits = LedgerLimits::default();
        CallVm {
            incarnation,
            ledger: CallLedger::new(limits, log.first_available(), log.end(), now),
            writer: BatchWriter::new(incarnation, WriterLimits::default(), log.end()),
            rate_limiter: AppendRateLimiter::with_rate(1_000, 1_000),
            attempts: Vec::new(),
            given_up: PendingReleases::default(),
            pass: None,
            partitioned: false,
        }
    }

    fn push(&mut self, kind: Kind, now: MonoTime) {
        let entry = LogEntry { kind: Some(kind) };
        self.writer.push(entry, now).expect("the buffer is large enough");
    }

    /// Appends the copies of one key, or the checkpoint. Returns whether the series goes on.
    fn copy_key(&mut self, now: MonoTime, wall: WallTime) -> bool {
        let Some(mut pass) = self.pass.take().or_else(|| self.ledger.begin_checkpoint(wall)) else {
            return false;
        };
        for entry in self.ledger.next_copies(&mut pass, 1) {
            self.writer.push(entry, now).expect("the buffer is large enough");
        }
        self.pass = Some(pass).filter(|pass| !pass.is_done());
        self.pass.is_some()
    }

    fn read(&mut self, log: &FakeLog, count: usize, now: WallTime) {
        self.ledger.skip_removed(log.first_available(), now);
        for (offset, batch) in log.read(self.ledger.position(), count) {
            self.ledger.apply_batch(offset, &batch, now);
            self.writer.observe(offset, &batch);
        }
        for local in &mut self.attempts {
            local.attempt.observe(&self.ledger, now);
        }
    }
}

/// All VMs with their log, and the events so far.
pub struct CallHarness {
    log: FakeLog,
    vms: Vec<CallVm>,
    numbers: [u32; KEYS + 1],
    last_id: u128,
    runs: u64,
    now: MonoTime,
    hours: u64,
    pub trace: Vec<CallEvent>,
}

impl CallHarness {
    /// Starts with an empty log.
    pub fn new() -> CallHarness {
        let log = FakeLog::default();
        let vms = (0..VMS).map(|vm| CallVm::new(vm as u128 + 1, &log, hour(0))).collect();
        CallHarness {
            log,
            vms,
            numbers: [0; KEYS + 1],
            last_id: VMS as u128,
            runs: 0,
            now: MonoTime::default(),
            hours: 0,
            trace: Vec::new(),
        }
    }

    fn new_id(&mut self) -> u128 {
        self.last_id += 1;
        self.last_id
    }

    /// Applies one step.
    pub fn step(&mut self, step: CallStep) {
        self.now = self.now + Duration::from_millis(300);
        let wall = hour(self.hours);
        match step {
            CallStep::Request { vm, key, digest } => {
                let claim = self.accept(vm, key, digest).attempt.submit();
                let claim = claim.expect("the attempt is new");
                let now = self.now;
                self.vms[vm].push(Kind::CallClaim(claim), now);
            }
            CallStep::Refuse { vm, key } => {
                self.accept(vm, key, 0);
                self.give_up(vm, 0);
            }
            CallStep::Append { vm, fault } => self.append(vm, fault),
            CallStep::Read { vm, count } => {
                if !self.vms[vm].partitioned {
                    self.vms[vm].read(&self.log, count, wall);
                }
            }
            CallStep::CatchUp { vm } => {
                for _ in 0..3 {
                    self.append(vm, AppendFault::Acked);
                }
                if !self.vms[vm].partitioned {
                    self.vms[vm].read(&self.log, usize::MAX, wall);
                }
            }
            CallStep::TakePermit { vm, attempt } => {
                let now = self.now;
                if let Some(local) = self.local(vm, attempt)
                    && let Some(permit) = local.attempt.take_permit(now)
                {
                    local.permit = Some(permit);
                }
            }
            CallStep::ReturnPermit { vm, attempt } => {
                if let Some(local) = self.local(vm, attempt)
                    && let Some(permit) = local.permit.take()
                {
                    local.attempt.return_permit(permit).expect("the permit is its own");
                }
            }
            CallStep::Run { vm, attempt, answered } => self.run(vm, attempt, answered),
            CallStep::GiveUp { vm, attempt } => self.give_up(vm, attempt),
            CallStep::Answer { vm, attempt } => self.respond(vm, attempt),
            CallStep::RepeatReleases { vm } => {
                let now = self.now;
                let vm = &mut self.vms[vm];
                for release in vm.given_up.due(&vm.ledger, LedgerLimits::default(), wall) {
                    vm.push(Kind::CallRelease(release), now);
                }
            }
            CallStep::Checkpoint { vm, keys } => {
                let now = self.now;
                let vm = &mut self.vms[vm];
                for _ in 0..keys {
                    if !vm.copy_key(now, wall) {
                        break;
                    }
                }
            }
            CallStep::Restart { vm } => {
                let incarnation = self.new_id();
                self.vms[vm] = CallVm::new(incarnation, &self.log, wall);
            }
            CallStep::Partition { vm, partitioned } => self.vms[vm].partitioned = partitioned,
            CallStep::ApplyDelayed { index, again } => self.log.apply_delayed(index, again),
            CallStep::Truncate { count } => self.log.truncate(count),
            CallStep::PassHours { hours } => self.hours = (self.hours + hours).min(LATEST_HOUR),
        }
    }

    fn local(&mut self, vm: usize, attempt: usize) -> Option<&mut LocalAttempt> {
        let attempts = &mut self.vms[vm].attempts;
        let latest = attempts.len().checked_sub(1 + attempt)?;
        attempts.get_mut(latest)
    }

    /// Accepts the next attempt of a caller for a key.
    fn accept(&mut self, vm: usize, key: usize, digest: u8) -> &mut LocalAttempt {
        self.numbers[key] += 1;
        let number = if key + 1 == KEYS { 0 } else { self.numbers[key] };
        let claim = ClaimRecord {
            claim_id: ClaimId(self.new_id()),
            owner: self.vms[vm].incarnation,
            attempt: number,
            made_at: hour(self.hours),
            request_digest: Bytes::copy_from_slice(&[digest]),
        };
        let call_key = CallKey::new("team", &key.to_string());
        let deadline = self.now + Duration::from_secs(3_600);
        let attempt = CallAttempt::new(call_key, claim, deadline);
        let attempts = &mut self.vms[vm].attempts;
        attempts.push(LocalAttempt { attempt, key, number, digest, permit: None });
        attempts.last_mut().expect("one was added")
    }

    fn append(&mut self, vm: usize, fault: AppendFault) {
        let vm = &mut self.vms[vm];
        let fault = if vm.partitioned { AppendFault::Refused } else { fault };
        self.log.serve(&mut vm.writer, &mut vm.rate_limiter, fault, self.now);
    }

    fn run(&mut self, vm: usize, attempt: usize, answered: bool) {
        let (now, run, wall) = (self.now, self.runs, hour(self.hours));
        let Some(local) = self.local(vm, attempt) else {
            return;
        };
        let permit = local.permit.take().or_else(|| local.attempt.take_permit(now));
        let Some(permit) = permit else {
            return;
        };
        permit.spend();
        let (key, number, digest) = (local.key, local.number, local.digest);
        let (status, body) = if answered { (200, run.to_be_bytes().to_vec()) } else { (0, vec![]) };
        let outcome = local.attempt.record_outcome(status, Bytes::from(body), wall);
        self.vms[vm].push(Kind::CallOutcome(outcome.expect("the call was sent")), now);
        self.runs += 1;
        self.trace.push(CallEvent::Ran { key, attempt: number, digest, run });
    }

    fn give_up(&mut self, vm: usize, attempt: usize) {
        let (now, wall) = (self.now, hour(self.hours));
        let Some(local) = self.local(vm, attempt) else {
            return;
        };
        let Some(release) = local.attempt.give_up(wall) else {
            return;
        };
        self.vms[vm].given_up.add(&release);
        self.vms[vm].push(Kind::CallRelease(release), now);
    }

    fn respond(&mut self, vm: usize, attempt: usize) {
        let wall = hour(self.hours);
        let vm = &self.vms[vm];
        let Some(latest) = vm.attempts.len().checked_sub(1 + attempt) else {
            return;
        };
        let local = &vm.attempts[latest];
        let (key, digest) = (local.key, local.digest);
        match local.attempt.response(&vm.ledger, !vm.partitioned, wall) {
            AttemptResponse::NotRun => {
                self.trace.push(CallEvent::ToldNotRun { key, attempt: local.number });
            }
            AttemptResponse::Outcome(outcome) => {
                let run = outcome.body.as_ref().try_into().map(u64::from_be_bytes);
                let run = run.expect("responses hold the number of the run");
                self.trace.push(CallEvent::ToldAnswer { key, digest, run });
            }
            _ => {}
        }
    }
}

impl CallHarness {
    /// Ends all faults and asserts that a new call runs on one VM and is answered by another.
    /// Returns false if no ledger that knows all keys is left; calls then have to wait for the call
    /// window to pass.
    pub fn recover(&mut self) -> bool {
        for vm in 0..VMS {
            self.step(CallStep::Partition { vm, partitioned: false });
        }
        self.catch_up_all();
        let wall = hour(self.hours);
        let Some(source) = self.vms.iter().position(|vm| vm.ledger.is_authoritative(wall)) else {
            return false;
        };
        self.vms[source].pass = None;
        while self.vms[source].copy_key(self.now, wall) {}
        self.catch_up_all();
        for vm in &self.vms {
            assert!(vm.ledger.is_authoritative(wall), "a checkpoint is enough");
        }
        self.step(CallStep::Request { vm: 0, key: FRESH_KEY, digest: 0 });
        self.catch_up_all();
        self.step(CallStep::Run { vm: 0, attempt: 0, answered: true });
        self.step(CallStep::Request { vm: 1, key: FRESH_KEY, digest: 0 });
        self.catch_up_all();
        self.step(CallStep::Answer { vm: 1, attempt: 0 });
        let told = matches!(self.trace.last(), Some(CallEvent::ToldAnswer { key: FRESH_KEY, .. }));
        assert!(told, "a call is answered after all faults have ended");
        true
    }

    fn catch_up_all(&mut self) {
        for vm in (0..VMS).chain(0..VMS) {
            self.step(CallStep::CatchUp { vm });
        }
    }
}
