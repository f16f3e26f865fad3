//! The engine model against cases calculated by hand.

use dragonflycart_bench::{EngineEvent, EngineModel, EngineProfile, NewSequence};

fn profile() -> EngineProfile {
    EngineProfile {
        step_base: 10.0,
        step_request: 1.0,
        step_prefill: 0.1,
        step_memory: 0.0,
        prefill_chunk: 100,
        batch_limit: 4,
        memory_tokens: 1_000,
        watermark: 0.0,
        ..EngineProfile::default()
    }
}

fn sequence(id: usize, priority: u8, prompt_length: u32, output_length: u32) -> NewSequence {
    NewSequence { id, vm: 0, priority, prompt_length, delivered: 0, output_length, prefix: None }
}

/// Runs the engine until it is idle. Returns all events with the time of their step's end.
fn run(engine: &mut EngineModel) -> Vec<(f64, EngineEvent)> {
    let mut now = 0.0;
    let mut found = Vec::new();
    let mut events = Vec::new();
    while let Some(duration) = engine.begin_step(now, &mut events) {
        for event in events.drain(..) {
            found.push((now, event));
        }
        now += duration;
        engine.end_step(&mut events);
        for event in events.drain(..) {
            found.push((now, event));
        }
    }
    found
}

/// Guards against a wrong step time. By hand: the prompt of 150 tokens takes two steps of
/// 10 + 100 * 0.1 = 20 ms and 10 + 50 * 0.1 + 1 = 16 ms, so that the first token comes after 36 ms.
/// Each further token takes 10 + 1 = 11 ms.
#[test]
fn single_request_takes_the_calculated_time() {
    let mut engine = EngineModel::new(profile());
    engine.accept(0.0, sequence(7, 0, 150, 3));

    let expected = [
        (36.0, EngineEvent::Token(7)),
        (47.0, EngineEvent::Token(7)),
        (58.0, EngineEvent::Token(7)),
        (58.0, EngineEvent::Finished(7)),
    ];
    let found = run(&mut engine);
    assert_eq!(found.len(), expected.len(), "{found:?}");
    for ((time, event), (expected_time, expected_event)) in found.iter().zip(expected) {
        assert!((time - expected_time).abs() < 1e-9, "{found:?}");
        assert_eq!(*event, expected_event);
    }
    assert_eq!(engine.memory_used(), 0);
}

/// Guards against preemption of the wrong request or a leak of memory. By hand, with 30 tokens of
/// memory: two requests with prompts of 10 and 12 tokens hold 22. Every step adds 2, so before the
/// fifth step they hold 30 and one must be preempted. They have the same priority, so it is the one
/// with fewer tokens.
#[test]
fn full_memory_preempts_the_request_with_the_fewest_tokens() {
    let mut engine = EngineModel::new(EngineProfile { memory_tokens: 30, ..profile() });
    engine.accept(0.0, sequence(1, 1, 10, 12));
    engine.accept(0.0, sequence(2, 1, 12, 12));

    let found = run(&mut engine);
    let first = found.iter().position(|(_, event)| *event == EngineEvent::Preempted(1)).unwrap();
    let tokens_before = found[..first].len();
    assert_eq!(tokens_before, 8, "{found:?}");
    assert!(!found.iter().any(|(_, event)| *event == EngineEvent::Preempted(2)));
    for id in [1, 2] {
        let tokens = found.iter().filter(|(_, event)| *event == EngineEvent::Token(id)).count();
        assert_eq!(tokens, 12, "a preempted request must not repeat tokens");
    }
    assert_eq!(engine.memory_used(), 0);
}

/// Guards against a preemption order that ignores priorities.
#[test]
fn lower_priority_is_preempted_first() {
    let mut engine = EngineModel::new(EngineProfile { memory_tokens: 30, ..profile() });
    engine.accept(0.0, sequence(1, 2, 10, 12));
    engine.accept(0.0, sequence(2, 0, 12, 12));

    let found = run(&mut engine);
    assert!(found.iter().any(|(_, event)| *event == EngineEvent::Preempted(2)));
    assert!(!found.iter().any(|(_, event)| *event == EngineEvent::Preempted(1)));
}

/// Guards against a cold engine whose limit doesn't double after each interval, or that never fails
/// over its limit.
#[test]
fn cold_engine_doubles_its_limit_and_fails_over_it() {
    let cold = EngineProfile {
        cold_limit: 1,
        cold_doubling_time: 100.0,
        cold_tolerance: 1,
        batch_limit: 8,
        ..profile()
    };
    let mut engine = EngineModel::new(cold);
    engine.turn_cold(1_000.0);
    assert_eq!(engine.concurrency_limit(1_000.0), 1);
    assert_eq!(engine.concurrency_limit(1_250.0), 4);
    assert!(engine.is_cold(1_299.0));
    assert!(!engine.is_cold(1_300.0));

    assert!(!engine.accept(1_000.0, sequence(1, 0, 10, 5)));
    assert!(engine.accept(1_000.0, sequence(2, 0, 10, 5)));
    assert!(!engine.must_fail());
    assert!(engine.accept(1_000.0, sequence(3, 0, 10, 5)));
    assert!(engine.must_fail());
}
