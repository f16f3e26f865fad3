//! Streams over several connections and engines: guards against lost, repeated, reordered and
//! mixed tokens.

use dragonflycart_state::{ResumePoint, StreamAssembler, TokenDecision};
use proptest::prelude::*;

use crate::{
    checkers::token_delivery::{self, StreamNote},
    support::{RunCounter, run_config},
};

const GENERATION: &str = "engine~1";

static STEPS: RunCounter = RunCounter::new("stream steps");
static DELIVERED: RunCounter = RunCounter::new("tokens delivered");
static ENDED: RunCounter = RunCounter::new("streams ended");

/// One event on the way to the VM. `ahead` is the distance from the next index, so that most
/// events are near it.
#[derive(Debug, Clone)]
enum StreamStep {
    Token { foreign: bool, epochs_old: u32, ahead: i64 },
    Finish { foreign: bool, epochs_old: u32, ahead: i64 },
    NextEngine,
    Burst { count: u64 },
}

fn any_step() -> impl Strategy<Value = StreamStep> {
    let event = || (prop::bool::weighted(0.1), 0..3_u32, -2..3_i64);
    prop_oneof![
        8 => event().prop_map(|(foreign, epochs_old, ahead)| StreamStep::Token {
            foreign,
            epochs_old,
            ahead
        }),
        2 => event().prop_map(|(foreign, epochs_old, ahead)| StreamStep::Finish {
            foreign,
            epochs_old,
            ahead
        }),
        1 => Just(StreamStep::NextEngine),
        2 => (1..4_u64).prop_map(|count| StreamStep::Burst { count }),
    ]
}

/// Token id at a place, different between the epochs as sampling differs between engines.
fn token_id(epoch: u32, index: u64) -> u32 {
    epoch * 100_000 + index as u32
}

struct StreamWorld {
    assembler: StreamAssembler,
    trace: Vec<StreamNote>,
}

impl StreamWorld {
    fn token(&mut self, generation: &str, epoch: u32, index: u64) {
        let id = token_id(epoch, index);
        if self.assembler.accept_token(generation, epoch, index, id) == TokenDecision::Deliver {
            let generation = generation.to_owned();
            self.trace.push(StreamNote::Delivered { generation, epoch, index, id });
            DELIVERED.add(1);
        }
    }

    fn step(&mut self, step: &StreamStep) {
        let point = self.assembler.resume_point();
        let place = |ahead: i64| point.next_index.saturating_add_signed(ahead);
        let name = |foreign: bool| if foreign { "engine~2" } else { GENERATION };
        match *step {
            StreamStep::Token { foreign, epochs_old, ahead } => {
                let epoch = point.epoch.saturating_sub(epochs_old);
                self.token(name(foreign), epoch, place(ahead));
            }
            StreamStep::Finish { foreign, epochs_old, ahead } => {
                let epoch = point.epoch.saturating_sub(epochs_old);
                let (generation, count) = (name(foreign), place(ahead));
                let decision = self.assembler.accept_finish(generation, epoch, count);
                if decision == TokenDecision::Deliver {
                    let generation = generation.to_owned();
                    self.trace.push(StreamNote::Ended { generation, epoch, count });
                    ENDED.add(1);
                }
            }
            StreamStep::NextEngine => {
                if let Some(prefix) = self.assembler.begin_epoch() {
                    let epoch = self.assembler.resume_point().epoch;
                    self.trace.push(StreamNote::Continued { epoch, prefix });
                }
            }
            StreamStep::Burst { count } => {
                for ahead in 0..count {
                    self.token(GENERATION, point.epoch, point.next_index + ahead);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(run_config(1_000))]

    fn stream_cases(steps in prop::collection::vec(any_step(), 1..80)) {
        let assembler = StreamAssembler::new(GENERATION);
        let mut world = StreamWorld { assembler, trace: Vec::new() };
        for step in &steps {
            STEPS.add(1);
            world.step(step);
        }
        token_delivery::check(GENERATION, &world.trace).map_err(TestCaseError::fail)?;
    }
}

/// Guards against tokens that reach the caller twice, not at all, out of order or from another
/// generation or an engine that was given up.
#[test]
fn tokens_are_delivered_once_and_in_order() {
    stream_cases();
    STEPS.require(20_000);
    DELIVERED.require(5_000);
    ENDED.require(200);
}

/// Guards against an end that hides missing tokens.
#[test]
fn end_with_missing_tokens_is_a_gap() {
    let mut assembler = StreamAssembler::new(GENERATION);
    assembler.accept_token(GENERATION, 0, 0, 7);

    let decision = assembler.accept_finish(GENERATION, 0, 2);

    assert_eq!(decision, TokenDecision::Gap { expected: 1 });
    assert!(!assembler.is_finished());
}

/// Guards against a continuation with a prefix that lacks the tokens another VM delivered.
#[test]
fn resumed_stream_has_no_prefix() {
    let point = ResumePoint { generation: GENERATION.to_owned(), epoch: 1, next_index: 5 };
    let mut assembler = StreamAssembler::resumed(point);
    assembler.accept_token(GENERATION, 1, 5, 7);

    assert_eq!(assembler.begin_epoch(), None);
    assert_eq!(assembler.resume_point().next_index, 6);
}
