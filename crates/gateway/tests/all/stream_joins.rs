//! Events of several runs of a stream, joined by their IDs.

use dragonflycart_gateway::{EventSplitter, EventStep, StreamEvent, StreamJoin};

fn event(text: &str) -> StreamEvent {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes());
    splitter.next_event().unwrap().expect("the event is complete")
}

fn numbered(id: u64) -> StreamEvent {
    event(&format!("id: {id}\ndata: x\n\n"))
}

fn unnumbered() -> StreamEvent {
    event("data: x\n\n")
}

fn comment() -> StreamEvent {
    event(": wait\n\n")
}

/// Guards against events that come twice or are missing where a run continues another one.
#[test]
fn run_that_continues_forwards_what_follows_the_last_event() {
    let mut join = StreamJoin::default();
    join.begin_run();

    let steps: Vec<_> = (1..=4).map(|id| join.step(&numbered(id), Some(3))).collect();

    use EventStep::{Forward, Gap, Skip};
    assert_eq!(steps, [Skip, Skip, Skip, Forward]);
    assert_eq!(join.step(&numbered(6), Some(4)), Gap);
}

/// Guards against a gap right at the start of a run that continues another one.
#[test]
fn run_that_begins_too_late_has_a_gap() {
    let mut join = StreamJoin::default();
    join.begin_run();

    assert_eq!(join.step(&numbered(5), Some(3)), EventStep::Gap);
}

/// Guards against a caller that gets an event without an ID twice: a run that begins anew repeats it
/// among the events that were forwarded before.
#[test]
fn repeated_event_without_an_id_is_not_forwarded_again() {
    let mut join = StreamJoin::default();
    join.begin_run();

    assert_eq!(join.step(&numbered(2), Some(3)), EventStep::Skip);
    assert_eq!(join.step(&unnumbered(), Some(3)), EventStep::Skip);
    assert_eq!(join.step(&numbered(3), Some(3)), EventStep::Skip);
    assert_eq!(join.step(&unnumbered(), Some(3)), EventStep::Forward, "it follows the last one");
}

/// Guards against an event without an ID that is forwarded although it can't be told whether it was
/// forwarded before.
#[test]
fn event_without_an_id_at_the_start_of_a_run_is_a_gap() {
    let mut join = StreamJoin::default();
    join.begin_run();

    assert_eq!(join.step(&comment(), Some(3)), EventStep::Forward);
    assert_eq!(join.step(&unnumbered(), Some(3)), EventStep::Gap);
}

/// Guards against a run that is asked to continue after an event that it can't know.
#[test]
fn stream_is_not_continued_after_an_event_without_an_id() {
    let mut join = StreamJoin::default();

    join.step(&numbered(0), None);
    join.step(&comment(), Some(0));
    assert!(join.can_continue());
    join.step(&unnumbered(), Some(0));
    assert!(!join.can_continue());
    join.step(&numbered(1), Some(0));

    assert!(join.can_continue(), "the event with an ID comes after it");
}

/// Guards against a stream that is given as complete because a later run ended before the events that
/// were forwarded.
#[test]
fn run_that_ends_before_the_last_forwarded_event_does_not_end_the_stream() {
    let mut join = StreamJoin::default();
    join.begin_run();
    assert!(join.can_end(Some(3)), "nothing was left to send");

    join.step(&numbered(2), Some(3));
    assert!(!join.can_end(Some(3)));
    join.step(&numbered(3), Some(3));

    assert!(join.can_end(Some(3)));
}
