//! Streams whose server was lost in the middle and that continue at another one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dragonflycart_containment::EngineRun;
use dragonflycart_core::PromptPart;
use dragonflycart_gateway::{
    CallerCredential, FleetOrder, PlannedRoute, RouteKind, RoutePlan, StopPhase, StreamPhase,
    StreamProgress, response_body_channel, stream_patience,
};
use http_body_util::BodyExt;

use crate::{
    fixtures::{ENGINES, plan, route},
    resumable_engines::{Piece, chunk, empty_response, end, events, stream_head},
    resumable_fleet::{ReceivedStream, ResumableFleet, receive, resumable_route, whole},
};

/// Time from the first events to the loss of the connection, in which a test changes something.
const CHANGE_TIME: Duration = Duration::from_millis(300);
/// Time in which a second run would have begun.
const REPEAT_TIME: Duration = Duration::from_millis(600);
/// Delay with which the tests' tasks note what happened.
const NOTE_DELAY: Duration = Duration::from_millis(50);
/// Pause target of the routes, after four times of which a stream has stalled.
const STALL_TIME: Duration = Duration::from_millis(720);

/// Time for which a caller waits for the next event, with some to spare for a busy machine.
const PATIENCE: Duration = Duration::from_secs(4);

/// Returns a script that is cut off after events 0 to 2.
fn cut_after_three() -> Vec<Piece> {
    vec![stream_head("first"), events(0..3)]
}

/// Returns the same script, cut off only after some time.
fn cut_later() -> Vec<Piece> {
    vec![stream_head("first"), events(0..3), Piece::Pause(CHANGE_TIME)]
}

/// Returns a script with these events to the end of the stream.
fn rest(ids: std::ops::Range<u64>) -> Vec<Piece> {
    vec![stream_head("second"), events(ids), end()]
}

fn broken_after(count: u64) -> ReceivedStream {
    ReceivedStream { is_complete: false, ..whole(count) }
}

/// Sends a stream through a fleet of four engines with these scripts. Returns what the caller
/// received, and the fleet.
async fn run(scripts: Vec<Vec<Piece>>) -> (ReceivedStream, ResumableFleet) {
    let fleet = ResumableFleet::start(4, scripts).await;
    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();
    (receive(response).await, fleet)
}

/// Guards against a stream that is lost although another server can continue it, and against the
/// partial event that reaches the caller (LOST).
#[tokio::test]
async fn stream_cut_in_the_middle_of_an_event_continues_at_another_server() {
    let mut first = cut_after_three();
    first.push(chunk("id: 3\ndata: wo"));
    let fleet = ResumableFleet::start(2, vec![first, rest(3..6)]).await;

    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();

    assert_eq!(response.headers()["x-signature"], "first", "the receipt of the first server");
    assert_eq!(receive(response).await, whole(6));
    let requests = fleet.engines.requests();
    assert_eq!(requests[1].last_event_ids(), ["2"]);
    assert_ne!(requests[0].engine, requests[1].engine);
}

/// Guards against a stream that is lost after its head, before any event, and against a second server
/// that is asked to continue after an event which nobody has (LOST).
#[tokio::test]
async fn stream_without_an_event_runs_again_from_its_start() {
    let (received, fleet) = run(vec![vec![stream_head("first")], rest(0..6)]).await;

    assert_eq!(received, whole(6));
    assert!(fleet.engines.requests()[1].last_event_ids().is_empty());
}

/// Guards against a stream whose partial event at a proper end of the response counts as its end.
#[tokio::test]
async fn response_that_ends_within_an_event_is_continued() {
    let mut first = cut_after_three();
    first.extend([chunk("id: 3\nda"), end()]);

    let (received, _fleet) = run(vec![first, rest(3..6)]).await;

    assert_eq!(received, whole(6));
}

/// Guards against events that come twice from a server that begins anew.
#[tokio::test]
async fn events_that_were_forwarded_are_skipped() {
    let (received, _fleet) = run(vec![cut_after_three(), rest(0..6)]).await;

    assert_eq!(received, whole(6));
}

/// Guards against missing events from a server that continues too late.
#[tokio::test]
async fn gap_between_the_runs_ends_the_stream_as_broken() {
    let (received, fleet) = run(vec![cut_after_three(), rest(4..6), rest(3..6)]).await;

    assert_eq!(received, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 2);
}

/// Guards against a stream that is given as complete because its second run ends before the events
/// that the caller has.
#[tokio::test]
async fn second_run_that_is_shorter_ends_the_stream_as_broken() {
    let (received, _fleet) = run(vec![cut_after_three(), rest(0..2)]).await;

    assert_eq!(received, broken_after(3));
}

/// Guards against a stream that is given as complete because its second response was cut off, too.
#[tokio::test]
async fn second_response_that_is_cut_off_ends_the_stream_as_broken() {
    let second = vec![stream_head("second"), events(3..4)];

    let (received, fleet) = run(vec![cut_after_three(), second, rest(4..6)]).await;

    assert_eq!(received, broken_after(4), "two attempts are allowed");
    assert_eq!(fleet.engines.requests().len(), 2);
}

/// Guards against a stream that counts as broken although its last event was forwarded and only its
/// end was lost.
#[tokio::test]
async fn stream_that_has_no_more_events_is_complete() {
    let (received, fleet) = run(vec![cut_after_three(), rest(3..3)]).await;

    assert_eq!(received, whole(3));
    assert_eq!(fleet.engines.requests()[1].last_event_ids(), ["2"]);
}

/// Guards against a second response that ends with its connection, which the end of its server looks
/// like, and is taken for the end of the stream.
#[tokio::test]
async fn unframed_second_response_without_events_is_no_end() {
    let head = "HTTP/1.1 200 OK\r\nx-echo-id: a1\r\nx-signature: s\r\nconnection: close\r\n\r\n";

    let (received, _fleet) = run(vec![cut_after_three(), vec![Piece::Send(head.to_owned())]]).await;

    assert_eq!(received, broken_after(3));
}

/// Guards against a continuation that is given up because a server refused it, and against a refusal
/// that counts as an attempt.
#[tokio::test]
async fn server_that_refuses_is_followed_by_another_one() {
    let refusal = vec![empty_response(503, "x-not-run: 1\r\n")];

    let (received, fleet) = run(vec![cut_after_three(), refusal, rest(3..6)]).await;

    assert_eq!(received, whole(6));
    assert_eq!(fleet.engines.requests()[2].last_event_ids(), ["2"]);
}

/// Guards against the body of an error response within the stream.
#[tokio::test]
async fn server_that_fails_the_continuation_ends_the_stream_as_broken() {
    let failure = vec![empty_response(500, "x-signature: s\r\n")];

    let (received, fleet) = run(vec![cut_after_three(), failure, rest(3..6)]).await;

    assert_eq!(received, broken_after(3), "two attempts are allowed");
    assert_eq!(fleet.engines.requests().len(), 2);
}

/// Guards against further offers of a request that a server calls faulty, and against its response
/// within the stream.
#[tokio::test]
async fn server_that_rejects_the_continuation_ends_the_stream_as_broken() {
    let rejection = vec![empty_response(412, "x-signature: s\r\n")];
    let mut route = resumable_route();
    route.max_attempts = 3;
    let fleet = ResumableFleet::start(4, vec![cut_after_three(), rejection, rest(3..6)]).await;

    let response = fleet.send(fleet.request(route)).await.ok().unwrap();

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 2);
}

/// Guards against a server that works on while the next one runs the request: the connection to a
/// server that is only silent stays open.
#[tokio::test]
async fn connection_to_a_stalled_server_is_closed_before_the_next_run() {
    let stalled = vec![stream_head("first"), events(0..3), Piece::Hold];
    let mut late = vec![Piece::Pause(CHANGE_TIME)];
    late.extend(rest(3..6));
    let begun = Instant::now();

    let (received, fleet) = run(vec![stalled, late]).await;

    assert_eq!(received, whole(6));
    assert!(begun.elapsed() >= STALL_TIME, "a server may pause");
    let requests = fleet.engines.requests();
    tokio::time::sleep(NOTE_DELAY).await;
    let closed = fleet.engines.requests()[0].closed.expect("the old connection is open");
    assert!(closed <= requests[1].arrived + NOTE_DELAY, "closed after the next run began");
}

/// Guards against a run that counts as lost while its server reads the prompt: a stream stalls only
/// after an event of its run (LOST).
#[tokio::test]
async fn run_that_reads_its_prompt_has_not_stalled() {
    let mut slow = vec![stream_head("second"), Piece::Pause(STALL_TIME + CHANGE_TIME)];
    slow.extend([events(3..6), end()]);
    let route = PlannedRoute { max_attempts: 3, ..resumable_route() };
    let fleet = ResumableFleet::start(4, vec![cut_after_three(), slow, rest(3..6)]).await;

    let response = fleet.send(fleet.request(route)).await.ok().unwrap();

    assert_eq!(receive(response).await, whole(6));
    assert_eq!(fleet.engines.requests().len(), 2, "the second run was given up");
}

/// Guards against a run that counts as lost while it repeats the events that were forwarded, at a
/// server that does not know `Last-Event-Id` (LOST).
#[tokio::test]
async fn run_that_repeats_events_has_not_stalled() {
    let mut slow = vec![stream_head("second")];
    for id in 0..3 {
        slow.extend([Piece::Pause(STALL_TIME), events(id..id + 1)]);
    }
    slow.extend([events(3..6), end()]);
    let route = PlannedRoute { max_attempts: 3, ..resumable_route() };
    let fleet = ResumableFleet::start(4, vec![cut_after_three(), slow, rest(3..6)]).await;

    let response = fleet.send(fleet.request(route)).await.ok().unwrap();

    assert_eq!(receive(response).await, whole(6));
    assert_eq!(fleet.engines.requests().len(), 2, "the second run was given up");
}

/// Guards against an event with the largest ID, after which no other one can follow: the number of
/// the next event overflowed, and the response ended as if it were complete (ORDER).
#[tokio::test]
async fn event_with_the_largest_id_has_no_number() {
    let largest = chunk("id: 18446744073709551615\ndata: word\n\n");

    let (received, fleet) = run(vec![vec![stream_head("first"), largest], rest(0..2)]).await;

    assert!(!received.is_complete, "the first server was lost");
    assert_eq!(fleet.engines.requests().len(), 1, "it can't be continued after this event");
}

/// Guards against a response that ends as complete although the task that relays its events ended
/// without having read the end of the stream (ORDER).
#[tokio::test]
async fn body_whose_sender_ends_early_is_broken() {
    let (sender, mut body) = response_body_channel(1);

    sender.send(Ok(Bytes::from_static(b"data: word\n\n"))).await.unwrap();
    drop(sender);

    assert!(body.frame().await.is_some_and(|frame| frame.is_ok()));
    assert!(body.frame().await.is_some_and(|frame| frame.is_err()), "it looks complete");
}

/// Guards against a stalled stream that is given up although its server may only be slow and no other
/// one has room.
#[tokio::test]
async fn stalled_stream_stays_if_no_other_server_takes_it() {
    let slow = vec![
        stream_head("first"),
        events(0..3),
        Piece::Pause(STALL_TIME + CHANGE_TIME),
        events(3..6),
        end(),
    ];
    let fleet = ResumableFleet::start(1, vec![slow]).await;
    let begun = Instant::now();

    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();

    assert_eq!(receive(response).await, whole(6));
    assert!(begun.elapsed() < PATIENCE, "its events waited for another server");
}

/// Guards against a stream that is held up by a server which sends bytes without an event.
#[tokio::test]
async fn stream_continues_after_bytes_without_an_end() {
    let flood = vec![stream_head("first"), events(0..3), Piece::Repeat(": wait\n\n")];

    let (received, fleet) = run(vec![flood, rest(3..6)]).await;

    assert_eq!(received, whole(6));
    tokio::time::sleep(NOTE_DELAY).await;
    assert!(fleet.engines.requests()[0].closed.is_some(), "the connection is open");
}

/// Guards against a run that can't begin before the deadline.
#[tokio::test]
async fn stream_is_not_continued_shortly_before_its_deadline() {
    let fleet = ResumableFleet::start(2, vec![cut_after_three(), rest(3..6)]).await;
    let request = fleet.request(resumable_route());
    fleet.context.view().timing_mut(ENGINES).note_first_event(request.route.time_limit * 2);

    let response = fleet.send(request).await.ok().unwrap();

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against repeats beyond the deployment's limit on retries.
#[tokio::test]
async fn stream_is_not_continued_without_a_retry() {
    let fleet = ResumableFleet::start(2, vec![cut_after_three(), rest(3..6)]).await;
    fleet.use_budget_up();

    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against a second run of a stream whose route does not allow one (TWICE).
#[tokio::test]
async fn stream_of_another_route_is_not_continued() {
    let fleet = ResumableFleet::start(2, vec![cut_after_three(), rest(3..6)]).await;
    let route: PlannedRoute = route("reports", "/reports/", RouteKind::Stream, ENGINES);

    let response = fleet.send(fleet.request(route)).await.ok().unwrap();

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against a duplicate of an event that has no ID after which a server could continue.
#[tokio::test]
async fn stream_is_not_continued_after_an_event_without_an_id() {
    let mut first = cut_after_three();
    first.push(chunk("data: x\n\n"));

    let (received, fleet) = run(vec![first, rest(3..6)]).await;

    assert_eq!(received, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against work for a caller that has left before its server was lost.
#[tokio::test]
async fn stream_is_not_continued_after_its_caller_left() {
    let fleet = ResumableFleet::start(2, vec![cut_later(), rest(3..6)]).await;
    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();

    drop(body);
    tokio::time::sleep(CHANGE_TIME + REPEAT_TIME).await;

    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against a run that goes on after its caller left before its head.
#[tokio::test]
async fn run_ends_if_the_caller_leaves_before_its_head() {
    let fleet = ResumableFleet::start(3, vec![cut_after_three(), vec![Piece::Hold]]).await;
    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();
    fleet.engines.wait_requests(2).await;

    drop(response);
    tokio::time::sleep(REPEAT_TIME).await;

    let requests = fleet.engines.requests();
    assert_eq!(requests.len(), 2);
    assert!(requests[1].closed.is_some(), "the connection is open");
}

/// Runs a stream that is cut off in a planned stop of the VM, which ends after `time`.
async fn run_in_a_planned_stop(phase: StopPhase, time: Duration) -> ReceivedStream {
    let fleet = ResumableFleet::start(2, vec![cut_later(), rest(3..6)]).await;
    let first_event = Duration::from_secs(3);
    fleet.context.view().timing_mut(ENGINES).note_first_event(first_event);
    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();

    fleet.context.begin_stop(tokio::time::Instant::now() + time);
    fleet.context.stop.send_replace(phase);
    receive(response).await
}

/// Guards against a stream that was accepted before a planned stop and is cut off together with its
/// server, because the VM accepts no new requests any more (LOST).
#[tokio::test]
async fn stream_is_continued_in_each_phase_of_a_planned_stop() {
    for phase in [StopPhase::Leaving, StopPhase::Ending] {
        let received = run_in_a_planned_stop(phase, Duration::from_secs(5)).await;

        assert_eq!(received, whole(6), "{phase}");
    }
}

/// Guards against runs that the end of a planned stop would cut off before their first event.
#[tokio::test]
async fn stream_is_not_continued_shortly_before_a_planned_stop_ends() {
    for phase in [StopPhase::Leaving, StopPhase::Ending] {
        let received = run_in_a_planned_stop(phase, Duration::from_secs(2)).await;

        assert_eq!(received, broken_after(3), "{phase}");
    }
}

/// Route whose callers wait for two seconds.
fn quick_route() -> PlannedRoute {
    PlannedRoute {
        latency_target: Duration::from_millis(100),
        pause_target: Some(Duration::from_millis(50)),
        ..route("reports", "/reports/", RouteKind::Stream, ENGINES)
    }
}

/// Guards against a stream that is ended because its engine is silent. The engine goes on, for example
/// after it has preempted the generation, and whether to wait for it is the caller's choice (LOST).
#[tokio::test]
async fn stream_of_an_engine_that_is_silent_for_long_arrives_whole() {
    let pause = stream_patience(&quick_route()) + CHANGE_TIME;
    let silent = vec![stream_head("first"), events(0..3), Piece::Pause(pause), events(3..6), end()];
    let fleet = ResumableFleet::start(1, vec![silent]).await;

    let response = fleet.send(fleet.request(quick_route())).await.ok().unwrap();

    assert_eq!(receive(response).await, whole(6));
}

/// Guards against a request that is sent under a key that was withdrawn since.
#[tokio::test]
async fn stream_is_not_continued_under_a_withdrawn_key() {
    let fleet = ResumableFleet::start(2, vec![cut_later(), rest(3..6)]).await;
    let mut request = fleet.request(resumable_route());
    request.team = Some("studio".to_owned());
    request.credential = Some(CallerCredential::new("k1"));
    let response = fleet.send(request).await.ok().unwrap();

    let old = plan(2);
    let services = old.services.values().cloned().collect();
    let without_keys = RoutePlan::new(2, Vec::new(), services, old.limits, Some(Vec::new()));
    let now = fleet.context.clock.now();
    fleet.context.view().apply_order(FleetOrder::Plan(without_keys.into()), now);

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Guards against a prompt that is sent to a further engine after a part of it was contained.
#[tokio::test]
async fn stream_is_not_continued_with_a_contained_part() {
    let part = PromptPart::new(7);
    let fleet = ResumableFleet::start(2, vec![cut_later(), rest(3..6)]).await;
    let mut request = fleet.request(resumable_route());
    request.prompt_parts = vec![part];
    let response = fleet.send(request).await.ok().unwrap();

    let now = fleet.context.clock.now();
    for number in 1..=3 {
        let engine = EngineRun::from_number(number);
        fleet.context.crashes().note_engine_end(engine, now);
        fleet.context.crashes().note_break(engine, &[part], now);
    }
    assert!(fleet.context.crashes().is_contained(part));

    assert_eq!(receive(response).await, broken_after(3));
    assert_eq!(fleet.engines.requests().len(), 1);
}

/// Runs a stream whose first two engines end in the middle of it. Returns what the caller received
/// and the number of runs.
async fn run_at_ending_engines(is_announced: bool) -> (ReceivedStream, usize) {
    let cut = |ids| vec![stream_head("any"), events(ids), Piece::Pause(CHANGE_TIME)];
    let fleet = ResumableFleet::start(4, vec![cut(0..3), cut(3..4), rest(4..6)]).await;
    let mut request = fleet.request(resumable_route());
    request.prompt_parts = vec![PromptPart::new(7)];
    let response = fleet.send(request).await.ok().unwrap();

    for number in 0..2 {
        fleet.engines.wait_requests(number + 1).await;
        let engine = fleet.engines.requests()[number].engine;
        if is_announced {
            fleet.announce_leaving(engine);
        }
        fleet.engines.stop_listening(engine);
    }

    (receive(response).await, fleet.engines.requests().len())
}

/// Guards against a prompt that makes more engines crash than its route allows attempts: engines that
/// end without notice count.
#[tokio::test]
async fn engines_that_crash_use_up_the_attempts() {
    assert_eq!(run_at_ending_engines(false).await, (broken_after(4), 2));
}

/// Guards against a stream that is given up because its engines left as announced (LOST).
#[tokio::test]
async fn engines_that_leave_as_announced_use_up_no_attempt() {
    assert_eq!(run_at_ending_engines(true).await, (whole(6), 3));
}

/// Guards against a prompt that is sent to a further engine before the crash of the last one counts,
/// by which a part of it is contained: in the middle of a stream, and before its head.
#[tokio::test]
async fn prompt_is_not_sent_again_if_its_last_crash_contains_it() {
    for script in [cut_later(), vec![Piece::Pause(CHANGE_TIME)]] {
        let part = PromptPart::new(7);
        let fleet = ResumableFleet::start(2, vec![script, rest(3..6)]).await;
        let now = fleet.context.clock.now();
        for number in 1..=2 {
            let engine = EngineRun::from_number(number);
            fleet.context.crashes().note_engine_end(engine, now);
            fleet.context.crashes().note_break(engine, &[part], now);
        }
        let mut request = fleet.request(resumable_route());
        request.prompt_parts = vec![part];

        let crash = async {
            fleet.engines.wait_requests(1).await;
            fleet.engines.stop_listening(fleet.engines.requests()[0].engine);
        };
        let (result, ()) = tokio::join!(fleet.send(request), crash);
        if let Ok(response) = result {
            assert_eq!(receive(response).await, broken_after(3));
        }

        assert!(fleet.context.crashes().is_contained(part));
        assert_eq!(fleet.engines.requests().len(), 1);
    }
}

/// Guards against a second engine that the only trial of a contained part makes crash.
#[tokio::test]
async fn trial_of_a_contained_part_is_sent_to_one_engine() {
    for script in [cut_after_three(), Vec::new()] {
        let fleet = ResumableFleet::start(2, vec![script, rest(3..6)]).await;
        let mut request = fleet.request(resumable_route());
        request.prompt_parts = vec![PromptPart::new(7)];
        request.trial_part = Some(PromptPart::new(7));

        if let Ok(response) = fleet.send(request).await {
            assert_eq!(receive(response).await, broken_after(3));
        }

        assert_eq!(fleet.engines.requests().len(), 1);
    }
}

/// Guards against a stream that is missing from the list of those that a planned stop cuts, or that
/// stays in it after its end, and against a wrong account of what it waited for.
#[tokio::test]
async fn open_streams_are_listed_with_what_they_wait_for() {
    let held = vec![stream_head("first"), events(0..3), Piece::Hold];
    let fleet = ResumableFleet::start(1, vec![held, rest(0..3)]).await;
    let streams = &fleet.context.streams;
    let progress = Arc::new(StreamProgress::new(None));
    let entry = streams.add("a2", tokio::time::Instant::now(), &progress);

    progress.advance(4);
    progress.enter(StreamPhase::Resuming);
    let response = fleet.send(fleet.request(resumable_route())).await.ok().unwrap();
    let open = streams.count();
    drop(entry);
    drop(response);
    for _ in 0..40 {
        if streams.count() > 0 {
            tokio::time::sleep(NOTE_DELAY).await;
        }
    }

    assert_eq!((open, streams.count()), (2, 0));
    assert!(progress.is_begun(), "its resumptions are given up before the process ends");
    assert_eq!((progress.phase(), progress.last_event()), (StreamPhase::Resuming, Some(4)));
}
