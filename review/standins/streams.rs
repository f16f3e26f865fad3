//! Clients that send requests for streams and check what they receive.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    fleet::stream_request,
    http::{Received, exchange},
    record::Record,
};

/// Time budget of a request.
pub const TIME_BUDGET: Duration = Duration::from_millis(39_000);

/// Stream as its client received it.
#[derive(Debug, Clone)]
pub struct StreamResult {
    pub attempt: String,
    pub status: u16,
    /// Whether the answer ended as a complete one.
    pub is_complete: bool,
    /// Number of the events, if they came in order and once, from 0 on.
    pub events: Option<u64>,
}

/// Sends a request in a thread of its own.
pub fn send(
    front: SocketAddr,
    attempt: &str,
    parts: &str,
    prompt_tokens: u64,
    events: u64,
    record: &Record,
) -> JoinHandle<StreamResult> {
    let request = stream_request(attempt, parts, prompt_tokens, events, TIME_BUDGET);
    let (attempt, record) = (attempt.to_owned(), record.clone());
    record.note(format_args!("client sends {attempt} for {events} events to {front}"));
    thread::spawn(move || {
        let received = exchange(front, &request, TIME_BUDGET);
        let events = count_events(&received, &attempt);
        let result = StreamResult {
            status: received.status,
            is_complete: received.is_complete,
            events,
            attempt,
        };
        record.note(format_args!(
            "client got {}: status {}, complete: {}, events: {:?}, retry after {:?}",
            result.attempt,
            result.status,
            result.is_complete,
            result.events,
            received.header("retry-after")
        ));
        result
    })
}

fn count_events(received: &Received, attempt: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(&received.body);
    let mut next = 0;
    for event in text.split("\n\n").filter(|event| event.contains("id: ")) {
        let (id, data) = event.split_once('\n')?;
        let is_next = id.strip_prefix("id: ")?.parse::<u64>().ok()? == next;
        if !is_next || !data.starts_with(&format!("data: {attempt} event {next} ")) {
            return None;
        }
        next += 1;
    }
    Some(next)
}
