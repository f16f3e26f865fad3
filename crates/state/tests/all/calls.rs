//! Calls on several VMs under every interleaving of faults: guards against a second run of a call
//! and against a wrong "not run".

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::{Incarnation, LogOffset, MonoTime, WallTime};
use dragonflycart_state::{
    AppendBudget, AttemptAnswer, BatchWriter, CallAttempt, CallKey, CallLedger, ClaimId, ClaimNote,
    DispatchPermit, GivenUpClaims, LedgerLimits, WriterLimits,
};
use dragonflycart_wire::{LogEntry, log_entry::Kind};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::{
    checkers::{CallEvent, at_most_once, not_run_truth},
    support::{AppendFault, FakeLog, RunCounter, any_fault, hour, run_config},
};

const VMS: usize = 3;

/// Keys used by the callers. The attempts of the last one are not numbered.
const KEYS: usize = 4;

/// Time after which the test stops to advance the wall clock, so that it stays within the call
/// window of 72 h.
const LATEST_HOUR: u64 = 60;

static STEPS: RunCounter = RunCounter::new("call steps");
static RUNS: RunCounter = RunCounter::new("calls run");
static NOT_RUN: RunCounter = RunCounter::new("calls answered as not run");
static ANSWERS: RunCounter = RunCounter::new("calls answered with a result");

/// One step of the callers, the VMs, the log or the service.
#[derive(Debug, Clone)]
enum CallStep {
    Request { vm: usize, key: usize, digest: u8 },
    Refuse { vm: usize, key: usize },
    Append { vm: usize, fault: AppendFault },
    Read { vm: usize, count: usize },
    Exchange { vm: usize },
    TakePermit { vm: usize, attempt: usize },
    ReturnPermit { vm: usize, attempt: usize },
    Run { vm: usize, attempt: usize, answered: bool },
    GiveUp { vm: usize, attempt: usize },
    Answer { vm: usize, attempt: usize },
    RepeatReleases { vm: usize },
    Checkpoint { vm: usize },
    Restart { vm: usize },
    CutOff { vm: usize, cut_off: bool },
    LandLate { index: usize, again: bool },
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
    budget: AppendBudget,
    attempts: Vec<LocalAttempt>,
    given_up: GivenUpClaims,
    cut_off: bool,
}

impl CallVm {
    fn new(incarnation: u128, log: &FakeLog, now: WallTime) -> CallVm {
        let incarnation = Incarnation(incarnation);
        let limits = LedgerLimits::default();
        CallVm {
            incarnation,
            ledger: CallLedger::new(limits, log.first_available(), log.end(), now),
            writer: BatchWriter::new(incarnation, WriterLimits::default(), log.end()),
            budget: AppendBudget::with_rate(1_000, 1_000),
            attempts: Vec::new(),
            given_up: GivenUpClaims::default(),
            cut_off: false,
        }
    }

    fn push(&mut self, kind: Kind, now: MonoTime) {
        let entry = LogEntry { kind: Some(kind) };
        self.writer.push(entry, now).expect("the buffer is large enough");
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

struct CallWorld {
    log: FakeLog,
    vms: Vec<CallVm>,
    numbers: [u32; KEYS],
    drawn: u128,
    runs: u64,
    now: MonoTime,
    hours: u64,
    trace: Vec<CallEvent>,
}

impl CallWorld {
    fn new() -> CallWorld {
        let log = FakeLog::default();
        let vms = (0..VMS).map(|vm| CallVm::new(vm as u128 + 1, &log, hour(0))).collect();
        CallWorld {
            log,
            vms,
            numbers: [0; KEYS],
            drawn: VMS as u128,
            runs: 0,
            now: MonoTime::default(),
            hours: 0,
            trace: Vec::new(),
        }
    }

    fn draw(&mut self) -> u128 {
        self.drawn += 1;
        self.drawn
    }

    fn step(&mut self, step: CallStep) {
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
                if !self.vms[vm].cut_off {
                    self.vms[vm].read(&self.log, count, wall);
                }
            }
            CallStep::Exchange { vm } => {
                for _ in 0..3 {
                    self.append(vm, AppendFault::Acked);
                }
                if !self.vms[vm].cut_off {
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
            CallStep::Answer { vm, attempt } => self.answer(vm, attempt),
            CallStep::RepeatReleases { vm } => {
                let now = self.now;
                let vm = &mut self.vms[vm];
                for release in vm.given_up.due(&vm.ledger, LedgerLimits::default(), wall) {
                    vm.push(Kind::CallRelease(release), now);
                }
            }
            CallStep::Checkpoint { vm } => {
                let now = self.now;
                let vm = &mut self.vms[vm];
                for entry in vm.ledger.checkpoint(wall) {
                    vm.writer.push(entry, now).expect("the buffer is large enough");
                }
            }
            CallStep::Restart { vm } => {
                let incarnation = self.draw();
                self.vms[vm] = CallVm::new(incarnation, &self.log, wall);
            }
            CallStep::CutOff { vm, cut_off } => self.vms[vm].cut_off = cut_off,
            CallStep::LandLate { index, again } => self.log.land_late(index, again),
            CallStep::Truncate { count } => self.log.truncate(count),
            CallStep::PassHours { hours } => self.hours = (self.hours + hours).min(LATEST_HOUR),
        }
    }

    fn local(&mut self, vm: usize, attempt: usize) -> Option<&mut LocalAttempt> {
        let attempts = &mut self.vms[vm].attempts;
        let latest = attempts.len().checked_sub(1 + attempt)?;
        attempts.get_mut(latest)
    }

    /// Takes in a caller's next attempt for a key.
    fn accept(&mut self, vm: usize, key: usize, digest: u8) -> &mut LocalAttempt {
        self.numbers[key] += 1;
        let number = if key + 1 == KEYS { 0 } else { self.numbers[key] };
        let claim = ClaimNote {
            claim_id: ClaimId(self.draw()),
            owner: self.vms[vm].incarnation,
            attempt: number,
            made_at: hour(self.hours),
            request_digest: Bytes::copy_from_slice(&[digest]),
        };
        let deadline = self.now + Duration::from_secs(3_600);
        let attempt = CallAttempt::new(CallKey::new("team", &key.to_string()), claim, deadline);
        let attempts = &mut self.vms[vm].attempts;
        attempts.push(LocalAttempt { attempt, key, number, digest, permit: None });
        attempts.last_mut().expect("one was added")
    }

    fn append(&mut self, vm: usize, fault: AppendFault) {
        let vm = &mut self.vms[vm];
        let fault = if vm.cut_off { AppendFault::Refused } else { fault };
        self.log.serve(&mut vm.writer, &mut vm.budget, fault, self.now);
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
        let outcome = local.attempt.settle(status, Bytes::from(body), wall);
        self.vms[vm].push(Kind::CallOutcome(outcome.expect("the call was sent")), now);
        self.runs += 1;
        self.trace.push(CallEvent::Ran { key, attempt: number, digest, run });
        RUNS.add(1);
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

    fn answer(&mut self, vm: usize, attempt: usize) {
        let wall = hour(self.hours);
        let vm = &self.vms[vm];
        let Some(latest) = vm.attempts.len().checked_sub(1 + attempt) else {
            return;
        };
        let local = &vm.attempts[latest];
        let (key, digest) = (local.key, local.digest);
        match local.attempt.answer(&vm.ledger, !vm.cut_off, wall) {
            AttemptAnswer::NotRun => {
                NOT_RUN.add(1);
                self.trace.push(CallEvent::ToldNotRun { key, attempt: local.number });
            }
            AttemptAnswer::Outcome(outcome) => {
                ANSWERS.add(1);
                let run = outcome.body.as_ref().try_into().map(u64::from_be_bytes);
                let run = run.expect("answers hold the number of the run");
                self.trace.push(CallEvent::ToldAnswer { key, digest, run });
            }
            _ => {}
        }
    }
}

/// Draws the steps; any step is possible at any time.
struct CallReference;

impl ReferenceStateMachine for CallReference {
    type State = ();
    type Transition = CallStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<CallStep> {
        let vm = 0..VMS;
        let attempt = prop_oneof![3 => Just(0_usize), 1 => 1..3_usize];
        let digest = prop_oneof![19 => Just(0_u8), 1 => Just(1)];
        let one = (vm.clone(), attempt);
        prop_oneof![
            8 => (vm.clone(), 0..KEYS, digest)
                .prop_map(|(vm, key, digest)| CallStep::Request { vm, key, digest }),
            3 => (vm.clone(), 0..KEYS).prop_map(|(vm, key)| CallStep::Refuse { vm, key }),
            8 => (vm.clone(), any_fault()).prop_map(|(vm, fault)| CallStep::Append { vm, fault }),
            4 => (vm.clone(), 1..4_usize).prop_map(|(vm, count)| CallStep::Read { vm, count }),
            16 => vm.clone().prop_map(|vm| CallStep::Exchange { vm }),
            4 => one.clone().prop_map(|(vm, attempt)| CallStep::TakePermit { vm, attempt }),
            1 => one.clone().prop_map(|(vm, attempt)| CallStep::ReturnPermit { vm, attempt }),
            8 => (one.clone(), any::<bool>())
                .prop_map(|((vm, attempt), answered)| CallStep::Run { vm, attempt, answered }),
            3 => one.clone().prop_map(|(vm, attempt)| CallStep::GiveUp { vm, attempt }),
            8 => one.prop_map(|(vm, attempt)| CallStep::Answer { vm, attempt }),
            1 => vm.clone().prop_map(|vm| CallStep::RepeatReleases { vm }),
            2 => vm.clone().prop_map(|vm| CallStep::Checkpoint { vm }),
            2 => vm.clone().prop_map(|vm| CallStep::Restart { vm }),
            1 => (vm, any::<bool>()).prop_map(|(vm, cut_off)| CallStep::CutOff { vm, cut_off }),
            4 => (0..4_usize, any::<bool>())
                .prop_map(|(index, again)| CallStep::LandLate { index, again }),
            1 => (1..6_usize).prop_map(|count| CallStep::Truncate { count }),
            1 => (1..6_u64).prop_map(|hours| CallStep::PassHours { hours }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &CallStep) {}
}

struct CallTest;

impl StateMachineTest for CallTest {
    type SystemUnderTest = CallWorld;
    type Reference = CallReference;

    fn init_test(_: &()) -> CallWorld {
        CallWorld::new()
    }

    fn apply(mut world: CallWorld, _: &(), step: CallStep) -> CallWorld {
        STEPS.add(1);
        world.step(step);
        world
    }

    fn check_invariants(world: &CallWorld, _: &()) {
        at_most_once::check(&world.trace).expect("a call runs at most once");
        not_run_truth::check(&world.trace).expect("not run is true");
    }
}

prop_state_machine! {
    #![proptest_config(run_config(1_000))]

    fn call_cases(sequential 1..200 => CallTest);
}

/// Guards against a second run and against a wrong "not run". The counts guard against a run in
/// which no call gets that far.
#[test]
fn calls_run_at_most_once_and_not_run_is_true() {
    call_cases();
    STEPS.require(50_000);
    RUNS.require(400);
    NOT_RUN.require(100);
    ANSWERS.require(100);
}

/// Offsets are compared with the log's first record, so the fixture must not renumber them.
#[test]
fn fake_log_keeps_offsets_after_truncation() {
    let mut log = FakeLog::default();
    for sequence in 1..4 {
        log.push(dragonflycart_wire::RecordBatch { sequence, ..Default::default() });
    }

    log.truncate(2);

    let read = log.read(LogOffset(0), usize::MAX);
    assert_eq!(read.len(), 1);
    assert_eq!((read[0].0, read[0].1.sequence), (LogOffset(2), 3));
}
