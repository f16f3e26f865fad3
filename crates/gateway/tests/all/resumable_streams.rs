//! Streams that may run again at another server.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::ErrorKind;
use dragonflycart_gateway::{RepeatDenial, RepeatTime, RouteKind, ServerKey, StreamRuns};
use hyper::header::HeaderValue;
use slotmap::SlotMap;

use crate::{
    fixtures::{ENGINES, at, key_of, route, view},
    resumable_engines::{empty_response, end, events, stream_head},
    resumable_fleet::{ReceivedStream, ResumableFleet, receive, resumable_route, whole},
};

/// Signature without the statement that the request did not run.
const SIGNED: &str = "x-signature: s\r\n";
/// Statement that the request did not run.
const NOT_RUN: &str = "x-not-run: 1\r\n";
/// Time to the first event that samples of the service show.
const FIRST_EVENT: Duration = Duration::from_millis(400);

fn server_keys<const COUNT: usize>() -> [ServerKey; COUNT] {
    let mut arena = SlotMap::<ServerKey, ()>::with_key();
    std::array::from_fn(|_| arena.insert(()))
}

fn ample_time() -> RepeatTime {
    RepeatTime { left: Duration::from_secs(6), first_event: Some(FIRST_EVENT) }
}

/// Guards against a second run on a route that does not allow one (TWICE).
#[test]
fn stream_of_another_route_does_not_repeat() {
    let [first] = server_keys();
    let mut runs = StreamRuns::default();
    let route = route("reports", "/reports/", RouteKind::Stream, ENGINES);

    runs.note_refused();
    assert_eq!(runs.check(&route, ample_time()), Ok(()), "it was refused");
    runs.note_possible_run(first);

    assert_eq!(runs.check(&route, ample_time()), Err(RepeatDenial::NotResumable));
}

/// Guards against more runs than the route's maximum number of attempts, and against a stream that is
/// given up because servers that left used its attempts.
#[test]
fn servers_that_left_do_not_count_as_attempts() {
    let [first, second, other] = server_keys();
    let mut runs = StreamRuns::default();

    runs.note_possible_run(first);
    assert_eq!(runs.check(&resumable_route(), ample_time()), Ok(()));
    runs.note_possible_run(second);
    assert_eq!(runs.check(&resumable_route(), ample_time()), Err(RepeatDenial::AttemptsUsed));
    runs.note_gone(other);
    assert_eq!(runs.check(&resumable_route(), ample_time()), Err(RepeatDenial::AttemptsUsed));
    runs.note_gone(first);

    assert_eq!(runs.check(&resumable_route(), ample_time()), Ok(()));
}

/// Guards against attempts that are used up by servers in a zone that can't be reached, or that have
/// left.
#[test]
fn server_in_an_unreachable_zone_or_without_registration_is_out_of_reach() {
    let mut view = view(&["a", "a", "b", "b"]);
    let [near, gone, far, other] = ["e0", "e1", "e2", "e3"].map(|id| key_of(&view, id));

    view.remove_server("e1", at(0));
    view.note_unreachable(far, at(0));
    view.note_unreachable(other, at(0));

    assert!(!view.is_out_of_reach(near, at(1)));
    assert!(view.is_out_of_reach(gone, at(1)));
    assert!(view.is_out_of_reach(far, at(1)));
}

/// Guards against a run that can't begin before the deadline.
#[test]
fn stream_does_not_repeat_shortly_before_its_deadline() {
    let [first] = server_keys();
    let mut runs = StreamRuns::default();
    runs.note_possible_run(first);

    let short = RepeatTime { left: FIRST_EVENT, ..ample_time() };
    assert_eq!(runs.check(&resumable_route(), short), Err(RepeatDenial::DeadlineShort));
    let unknown = RepeatTime { first_event: None, ..short };

    assert_eq!(runs.check(&resumable_route(), unknown), Ok(()));
}

/// Guards against a stream that fails although another server could serve it: its server was lost
/// before the head, responded with an error, with a refusal that does not say "not run", or without a
/// signature.
#[tokio::test]
async fn stream_that_failed_before_its_first_event_is_sent_to_another_server() {
    let failures = BTreeMap::from([
        ("lost", Vec::new()),
        ("error", vec![empty_response(500, SIGNED)]),
        ("unstated refusal", vec![empty_response(429, SIGNED)]),
        ("unsigned", vec![empty_response(200, "")]),
    ]);
    for (name, failure) in failures {
        let fleet = ResumableFleet::start(
            2,
            vec![failure, vec![stream_head("first"), events(0..3), end()]],
        )
        .await;

        let response = fleet.send(fleet.request(resumable_route())).await;

        let received = receive(response.unwrap_or_else(|failure| panic!("{name}: {failure:?}")));
        assert_eq!(received.await, whole(3), "{name}");
        let requests = fleet.engines.requests();
        assert_ne!(requests[0].engine, requests[1].engine, "{name}: the same server again");
        assert!(requests[1].last_event_ids().is_empty(), "{name}: no event was forwarded");
    }
}

/// Guards against a caller's own `Last-Event-Id` that the second server does not get: the caller would
/// receive events twice.
#[tokio::test]
async fn callers_last_event_is_sent_to_each_server() {
    let scripts = vec![Vec::new(), vec![stream_head("first"), events(3..5), end()]];
    let fleet = ResumableFleet::start(2, scripts).await;
    let mut request = fleet.request(resumable_route());
    request.last_event = Some(2);
    request.headers.insert("last-event-id", HeaderValue::from_static("2"));

    let response = fleet.send(request).await.ok().unwrap();

    assert_eq!(receive(response).await, ReceivedStream { ids: vec![3, 4], is_complete: true });
    let requests = fleet.engines.requests();
    assert_eq!(requests[0].last_event_ids(), ["2"]);
    assert_eq!(requests[1].last_event_ids(), ["2"]);
}

/// Guards against a caller that is told "not run" because the second server refused, although the
/// first one may have run the request (REFUSED).
#[tokio::test]
async fn refusal_after_a_lost_response_is_not_reported_as_not_run() {
    let scripts = vec![Vec::new(), vec![empty_response(503, NOT_RUN)]];
    let fleet = ResumableFleet::start(2, scripts).await;

    let result = fleet.send(fleet.request(resumable_route())).await;

    assert_eq!(fleet.engines.requests().len(), 2, "it was not sent again");
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Guards against more runs than `max_attempts`, also if further servers are free.
#[tokio::test]
async fn stream_is_sent_to_no_more_servers_than_its_route_allows() {
    let fleet = ResumableFleet::start(4, Vec::new()).await;

    let result = fleet.send(fleet.request(resumable_route())).await;

    assert_eq!(fleet.engines.requests().len(), 2);
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}

/// Guards against repeats beyond the deployment's limit on retries.
#[tokio::test]
async fn stream_is_not_sent_again_without_a_retry() {
    let scripts = vec![Vec::new(), vec![stream_head("first"), events(0..3), end()]];
    let fleet = ResumableFleet::start(2, scripts).await;
    fleet.use_budget_up();

    let result = fleet.send(fleet.request(resumable_route())).await;

    assert_eq!(fleet.engines.requests().len(), 1);
    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::Interrupted));
}
