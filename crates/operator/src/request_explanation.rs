//! Explanation of one request from the logs of several VMs.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::{Map, Value};
use time::{Duration, OffsetDateTime, format_description::well_known::Rfc3339};

/// How long before the first line of a request lines about its servers and VMs are included. What a
/// VM last observed of a server, and the state of the VM, can explain the outcome of the request.
const CONTEXT_BEFORE: Duration = Duration::seconds(10);
/// How long after the last line of a request such lines are included.
const CONTEXT_AFTER: Duration = Duration::seconds(1);
/// Fields whose value is the name of a server.
const SERVER_FIELDS: [&str; 5] = ["server", "source", "target", "backup", "engine"];
/// Message prefixes of lines about a VM as a whole.
const VM_MESSAGE_PREFIXES: [&str; 5] = ["gateway: ", "store: ", "feed: ", "orders: ", "keys: "];

/// One line of a VM's log.
#[derive(Debug, Clone, Serialize)]
pub struct LogLine {
    /// Time at which it was written.
    #[serde(skip)]
    pub time: OffsetDateTime,
    /// The same time, as written in the log.
    pub timestamp: String,
    /// Name of the log file.
    pub log: String,
    /// Message, which identifies the event.
    pub message: String,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line, which may have a prefix before its JSON object. Returns `None` if it is not a
    /// log line of a VM.
    pub fn parse(log: &str, line: &str) -> Option<LogLine> {
        let mut fields: Map<String, Value> = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        let timestamp = fields.remove("timestamp")?.as_str()?.to_owned();
        let time = OffsetDateTime::parse(&timestamp, &Rfc3339).ok()?;
        let message = fields.remove("message")?.as_str()?.to_owned();
        fields.remove("level");
        Some(LogLine { time, timestamp, log: log.to_owned(), message, fields })
    }

    /// Returns the text of a field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }
}

/// Log lines about one request, in order of time, and its outcome.
#[derive(Debug, Clone, Serialize)]
pub struct RequestExplanation {
    /// Lines with the id of the request, and lines about its servers and VMs.
    pub lines: Vec<LogLine>,
    /// Outcome of the request and its cause, as text.
    pub cause: String,
}

impl RequestExplanation {
    /// Finds the lines about the request `id`. Returns `None` if no line has this id.
    pub fn find(id: &str, all: &[LogLine]) -> Option<RequestExplanation> {
        let own: Vec<&LogLine> = all.iter().filter(|line| line.text("id") == Some(id)).collect();
        let first = own.iter().map(|line| line.time).min()?;
        let last = own.iter().map(|line| line.time).max()?;
        let mut servers = BTreeSet::new();
        for line in &own {
            servers.extend(SERVER_FIELDS.iter().filter_map(|field| line.text(field)));
        }
        let parts: BTreeSet<&str> = own.iter().filter_map(|line| line.text("part")).collect();
        let logs: BTreeSet<&str> = own.iter().map(|line| line.log.as_str()).collect();
        let window = first - CONTEXT_BEFORE..=last + CONTEXT_AFTER;
        let mut lines = Vec::new();
        for line in all {
            let is_own = line.text("id") == Some(id);
            let is_near = window.contains(&line.time) && logs.contains(line.log.as_str());
            let is_of_server = line.message.starts_with("server")
                && line.text("server").is_some_and(|server| servers.contains(server));
            // What the VMs know of the part because of which the request was refused.
            let is_of_part = line.message.starts_with("prompts: part ")
                && line.text("part").is_some_and(|part| parts.contains(part));
            let is_of_vm = VM_MESSAGE_PREFIXES.iter().any(|start| line.message.starts_with(start));
            if is_own || is_of_part || (is_near && (is_of_server || is_of_vm)) {
                lines.push(line.clone());
            }
        }
        lines.sort_by_key(|line| line.time);
        Some(RequestExplanation { cause: find_cause(&own, &lines), lines })
    }
}

fn find_cause(own: &[&LogLine], lines: &[LogLine]) -> String {
    let find = |message: &str| own.iter().rev().find(|line| line.message == message);
    if let Some(failed) = find("request: failed") {
        let mut cause = failure_cause(failed);
        if let Some(refused) = find("prompts: request refused") {
            let part = refused.text("part").unwrap_or("unknown");
            let crashes = refused.fields.get("crashes").and_then(Value::as_u64).unwrap_or(0);
            cause.push_str(&format!("; {crashes} engines ended under part {part}"));
        }
        return cause;
    }
    if let Some(ended) = find("stream: ended") {
        return stream_cause(ended, own, lines);
    }
    let answered = own.iter().any(|line| line.text("outcome") == Some("answered"));
    match (answered, find("stream: offered").is_some()) {
        (true, true) => "the stream has no end: its VM ended, or the log does".to_owned(),
        (true, false) => "the request was answered".to_owned(),
        (false, _) => "the logs hold no outcome".to_owned(),
    }
}

fn failure_cause(failed: &LogLine) -> String {
    let error = failed.text("error").unwrap_or("unknown");
    let cause = failed.text("cause").unwrap_or("no cause is given");
    let mut text = format!("the VM answered with a failure ({error}): {cause}");
    if let Some(retry_ms) = failed.fields.get("retry_after_ms").and_then(Value::as_u64) {
        text.push_str(&format!("; the caller may come back after {retry_ms} ms"));
    }
    text
}

fn stream_cause(ended: &LogLine, own: &[&LogLine], lines: &[LogLine]) -> String {
    let outcome = ended.text("outcome").unwrap_or("unknown");
    match outcome {
        "complete" => {
            let pause_ms = ended.fields.get("longest_pause_ms").and_then(Value::as_u64);
            format!("the stream is complete; its longest pause took {} ms", pause_ms.unwrap_or(0))
        }
        "caller_left" => "the caller left, or its connection broke".to_owned(),
        "timed_out" => "the time limit passed while the stream ran".to_owned(),
        "broken" | "silent" => {
            let engine = own
                .iter()
                .rev()
                .find(|line| line.message == "stream: engine lost")
                .and_then(|line| line.text("server"))
                .unwrap_or("unknown");
            format!("engine {engine} was lost ({outcome}): {}", loss_cause(engine, own, lines))
        }
        other => format!("the stream ended: {other}"),
    }
}

/// Returns why a generation was not continued after its engine was lost.
fn loss_cause(engine: &str, own: &[&LogLine], lines: &[LogLine]) -> &'static str {
    let moves: Vec<_> = own.iter().filter(|line| line.text("source") == Some(engine)).collect();
    let has = |message: &str| moves.iter().any(|line| line.message == message);
    let move_ended_with = |reason: &str| {
        moves
            .iter()
            .any(|line| line.message == "move: ended" && line.text("reason") == Some(reason))
    };
    let last_planned = moves.iter().rev().find(|line| line.message == "move: planned");
    let has_no_time = last_planned.and_then(|line| line.text("turn")) == Some("NoTime");
    if has_no_time || has("move: no time for the copy") {
        return "it left, and its notice was too short to copy all its generations";
    }
    if move_ended_with("leaving") {
        return "it left before the copy of the generation was complete";
    }
    if move_ended_with("broken") {
        return "it ended without notice, and the engine with the copies did not go on";
    }
    let is_leaving = lines
        .iter()
        .any(|line| line.message.starts_with("servers: ") && line.text("server") == Some(engine));
    if is_leaving {
        "it left, and no move was started"
    } else {
        "it ended without notice, and nothing had been copied ahead"
    }
}
