//! Tests of real gateway processes with engines whose streams end with their connection.

use std::time::Duration;

use dragonflycart_standins::{FinalCopy, ResumptionFault, UnframedOptions};

use crate::support::unframed_fleet::{
    LAST_EVENT, NOTICE, OUTPUT_TOKENS, OVERLAP_ALLOWED, STALL_TIME, UnframedFleet, event_ids,
};

/// Guards against a stream that ends as complete in the middle, because its engine was asked to stop
/// it for the final copy, and then closed the connection (ORDER). Once moved, it must stay at its new
/// engine, unless that one is silent for so long that the stream counts as lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_is_stopped_for_its_final_copy_goes_on() {
    let mut unframed = UnframedFleet::start("unframed-move", FinalCopy::Copied).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(NOTICE);
    let response = unframed.wait_end(response).await;

    let runs = unframed.runs_of_resumed();
    println!("{} runs", runs.len());
    assert!(runs.iter().any(|(engine, _)| *engine != source), "the stream was not moved");
    let mut moves = 0;
    for pair in runs.windows(2) {
        let [(engine, before), (_, after)] = pair else { continue };
        assert!(before.work.end <= after.work.start, "two engines worked at once: {runs:?}");
        if before.longest_silence >= STALL_TIME {
            continue;
        }
        assert_eq!(*engine, source, "moved from an engine that works: {runs:?}");
        moves += 1;
    }
    assert!(moves <= 1, "moved {moves} times: {runs:?}");
    assert_eq!(event_ids(&response), (0..=LAST_EVENT).collect::<Vec<_>>());
    assert!(response.is_complete);
    unframed.close();
}

/// Guards against the same when the final copy fails, so that the stream can't go on anywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_final_copy_fails_is_incomplete() {
    let mut unframed = UnframedFleet::start("unframed-lost", FinalCopy::Lost).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(NOTICE);
    let response = unframed.wait_end(response).await;

    let events = event_ids(&response);
    assert!(!events.is_empty() && !events.contains(&LAST_EVENT), "not cut in the middle");
    assert!(!response.is_complete, "{} events look complete", events.len());
    unframed.close();
}

/// Guards against a stream that ends as complete in the middle because its engine exits between two
/// events, which closes the connection like the end of the stream (ORDER).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_whose_engine_exits_is_incomplete() {
    let mut unframed = UnframedFleet::start("unframed-exit", FinalCopy::Copied).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].exit();
    let response = unframed.wait_end(response).await;

    let events = event_ids(&response);
    assert!(!events.is_empty() && !events.contains(&LAST_EVENT), "not cut in the middle");
    assert!(!response.is_complete, "{} events look complete", events.len());
    unframed.close();
}

/// Guards against an engine that drains and works on a generation which goes on at its backup copy,
/// because it does not drop a request whose connection closes (TWICE).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_stops_a_generation_that_goes_on_at_its_backup() {
    let options = UnframedOptions {
        final_copy: FinalCopy::Copied,
        keeps_backups: true,
        drops_requests: false,
        resumption_fault: ResumptionFault::None,
    };
    let mut unframed = UnframedFleet::start_with("unframed-backup", options, 3, 0.0).await;
    let (source, response) = unframed.start_stream().await;

    unframed.engines[source].drain(NOTICE);
    let response = unframed.wait_end(response).await;

    assert!(response.is_complete);
    assert_eq!(event_ids(&response), (0..=LAST_EVENT).collect::<Vec<_>>());
    let engines = &unframed.engines;
    let target = engines.iter().find(|engine| !engine.resumed().is_empty());
    let target = target.expect("the stream goes on at its backup");
    let attempt = &target.resumed()[0];
    let (_, stopped) = engines[source].work_time(attempt).unwrap();
    let (resumed, _) = target.work_time(attempt).unwrap();
    let overlap = stopped.saturating_duration_since(resumed);
    assert!(overlap <= OVERLAP_ALLOWED, "both engines worked for {overlap:?}");
    unframed.close();
}

/// Guards against a stream that is sent to an engine which has drained for seconds: the engine was
/// chosen for its first copy, and began to drain while the move waited for the final one (DRAIN).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_not_moved_to_an_engine_that_drains_meanwhile() {
    let options = UnframedOptions {
        final_copy: FinalCopy::Copied,
        keeps_backups: false,
        drops_requests: true,
        resumption_fault: ResumptionFault::None,
    };
    let mut unframed = UnframedFleet::start_with("unframed-drain", options, 4, 0.0).await;
    let (source, response) = unframed.start_stream_of(2 * OUTPUT_TOKENS).await;

    unframed.engines[source].drain(Duration::from_millis(5_000));
    unframed.wait(Duration::from_millis(900)).await;
    let copied_to = unframed.engines[source].copied_to();
    let target = unframed
        .engines
        .iter()
        .position(|engine| copied_to.first() == Some(&engine.address().to_string()))
        .expect("a first copy was made");
    unframed.engines[target].drain(Duration::from_millis(9_000));
    let response = unframed.wait_end(response).await;

    assert!(unframed.engines[target].resumed().is_empty(), "moved to an engine that drains");
    assert!(response.is_complete, "{} events", event_ids(&response).len());
    assert_eq!(event_ids(&response).last(), Some(&(2 * LAST_EVENT + 1)));
    unframed.close();
}

/// Requests per second that a cold engine tolerates, and the limit in one second by the rule.
const COLD_RATE: f64 = 2.0;
const COLD_LIMIT: usize = 8;
/// Streams at the engine that drains.
const COLD_STREAMS: usize = 14;

/// Guards against generations that all go on at once at the engine that holds their backup copies,
/// although it has become cold (FAILBACK).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generations_do_not_go_on_together_at_a_cold_engine() {
    let options = UnframedOptions {
        final_copy: FinalCopy::Copied,
        keeps_backups: true,
        drops_requests: true,
        resumption_fault: ResumptionFault::None,
    };
    let mut unframed = UnframedFleet::start_with("unframed-cold", options, 2, COLD_RATE).await;
    let mut responses = Vec::new();
    for number in 0..2 * COLD_STREAMS {
        responses.push(unframed.send_stream(2 * OUTPUT_TOKENS, number % 2));
    }
    unframed.wait(Duration::from_millis(1_200)).await;
    let busiest = (0..2).max_by_key(|index| unframed.engines[*index].run_count()).unwrap();

    for (index, engine) in unframed.engines.iter().enumerate() {
        if index != busiest {
            engine.cool_down(Duration::from_secs(5));
        }
    }
    unframed.wait(Duration::from_millis(300)).await;
    unframed.engines[busiest].drain(NOTICE);
    for response in responses {
        unframed.wait_end(response).await;
    }

    for engine in &unframed.engines {
        let times = engine.resumed_at();
        for start in &times {
            let window = *start..*start + Duration::from_secs(1);
            let count = times.iter().filter(|at| window.contains(*at)).count();
            assert!(
                count <= COLD_LIMIT,
                "{count} generations went on at a cold engine in a second"
            );
        }
    }
    unframed.close();
}
