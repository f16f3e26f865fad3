//! Calls on several VMs under random interleavings of faults: guards against a second run of a call
//! and against a wrong "not run".

use dragonflycart_core::LogOffset;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::{
    checkers::{CallEvent, at_most_once, not_run_truth},
    support::{CallHarness, CallStep, FakeLog, KEYS, RunCounter, VMS, any_fault, run_config},
};

static STEPS: RunCounter = RunCounter::new("call steps");
static RUNS: RunCounter = RunCounter::new("calls run");
static NOT_RUN: RunCounter = RunCounter::new("calls answered as not run");
static RECOVERED: RunCounter = RunCounter::new("cases in which calls work again");
static ANSWERS: RunCounter = RunCounter::new("calls answered with a result");

/// Counts the events that happened while there were faults.
fn count_events(trace: &[CallEvent]) {
    for event in trace {
        match event {
            CallEvent::Ran { .. } => RUNS.add(1),
            CallEvent::ToldNotRun { .. } => NOT_RUN.add(1),
            CallEvent::ToldAnswer { .. } => ANSWERS.add(1),
        }
    }
}

/// Generates the steps. Any step is possible at any time.
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
            16 => vm.clone().prop_map(|vm| CallStep::CatchUp { vm }),
            4 => one.clone().prop_map(|(vm, attempt)| CallStep::TakePermit { vm, attempt }),
            1 => one.clone().prop_map(|(vm, attempt)| CallStep::ReturnPermit { vm, attempt }),
            8 => (one.clone(), any::<bool>())
                .prop_map(|((vm, attempt), answered)| CallStep::Run { vm, attempt, answered }),
            3 => one.clone().prop_map(|(vm, attempt)| CallStep::GiveUp { vm, attempt }),
            8 => one.prop_map(|(vm, attempt)| CallStep::Answer { vm, attempt }),
            1 => vm.clone().prop_map(|vm| CallStep::RepeatReleases { vm }),
            3 => (vm.clone(), 1..KEYS + 2)
                .prop_map(|(vm, keys)| CallStep::Checkpoint { vm, keys }),
            2 => vm.clone().prop_map(|vm| CallStep::Restart { vm }),
            1 => (vm, any::<bool>())
                .prop_map(|(vm, partitioned)| CallStep::Partition { vm, partitioned }),
            4 => (0..4_usize, any::<bool>())
                .prop_map(|(index, again)| CallStep::ApplyDelayed { index, again }),
            1 => (1..6_usize).prop_map(|count| CallStep::Truncate { count }),
            1 => (1..6_u64).prop_map(|hours| CallStep::PassHours { hours }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &CallStep) {}
}

struct CallTest;

impl StateMachineTest for CallTest {
    type SystemUnderTest = CallHarness;
    type Reference = CallReference;

    fn init_test(_: &()) -> CallHarness {
        CallHarness::new()
    }

    fn apply(mut harness: CallHarness, _: &(), step: CallStep) -> CallHarness {
        STEPS.add(1);
        harness.step(step);
        harness
    }

    fn check_invariants(harness: &CallHarness, _: &()) {
        at_most_once::check(&harness.trace).expect("a call runs at most once");
        not_run_truth::check(&harness.trace).expect("not run is true");
    }

    fn teardown(mut harness: CallHarness, _: ()) {
        count_events(&harness.trace);
        RECOVERED.add(usize::from(harness.recover()));
        Self::check_invariants(&harness, &());
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
    RECOVERED.require(500);
    ANSWERS.require(100);
}

/// Guards against a fake log that renumbers offsets when records are removed: ledgers compare
/// offsets with the first available one.
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
