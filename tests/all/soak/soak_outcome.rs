//! Checks of a run: what callers received against what runners executed.

use std::fmt;

use dragonflycart_standins::{CallerRequest, CallerResponse, RunLog, RunPart};

use super::{
    overlap_check::{OverlapExcuses, find_overlap},
    soak_disruptions::SoakDisruptions,
};

/// Number of runners that may start a request that may be repeated, as in the manifest.
const MAX_ATTEMPTS: usize = 2;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Streamed generation, which may not be started twice.
    Report,
    /// The same on a deferrable route.
    Batch,
    /// Streamed generation of a resumable route.
    Feed,
    /// Call that is not idempotent.
    Booking,
    /// Idempotent call.
    Lookup,
}

/// A request and its response.
#[derive(Debug, Clone)]
pub(crate) struct SoakCall {
    /// Kind.
    pub(crate) kind: RequestKind,
    /// Request.
    pub(crate) request: CallerRequest,
    /// Index of the gateway that it was sent to.
    pub(crate) gateway: usize,
    /// Response.
    pub(crate) response: CallerResponse,
}

/// Counters of a run, and its violations.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoakOutcome {
    /// Requests that were sent.
    pub(crate) sent: usize,
    /// Requests with a complete and correct response.
    pub(crate) served: usize,
    /// Requests with a status that states that they were not executed.
    pub(crate) refused: usize,
    /// Requests that were resumed at another runner.
    pub(crate) resumed: usize,
    /// Streams of the resumable route that were started more than once and arrived whole.
    pub(crate) repeated: usize,
    /// Generations on which two runners worked for too long, but which a disruption excuses, each with
    /// what overlaps and what excuses it.
    pub(crate) excused: Vec<String>,
    /// Broken guarantees.
    pub(crate) violations: Vec<String>,
}

impl fmt::Display for SoakOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sent {}, served {}, refused {}, resumed {}, repeated {}, excused {}, violations {}",
            self.sent,
            self.served,
            self.refused,
            self.resumed,
            self.repeated,
            self.excused.len(),
            self.violations.len()
        )
    }
}

impl SoakOutcome {
    /// Checks all requests of a run against what runners executed.
    pub(crate) fn check(
        calls: &[SoakCall],
        log: &RunLog,
        disruptions: &SoakDisruptions,
    ) -> SoakOutcome {
        let mut outcome = SoakOutcome { sent: calls.len(), ..SoakOutcome::default() };
        for call in calls {
            outcome.check_call(call, log, disruptions);
        }
        for id in log.ids() {
            if !calls.iter().any(|call| call.request.id == id) {
                outcome.violations.push(format!("{id}: executed, but never sent"));
            }
        }
        outcome
    }

    fn check_call(&mut self, call: &SoakCall, log: &RunLog, disruptions: &SoakDisruptions) {
        let id = &call.request.id;
        let excuses = OverlapExcuses {
            gateway: disruptions.of_gateway(call.gateway),
            unreachable: disruptions.unreachable(),
        };
        let parts = log.parts(id);
        if let Some(overlap) = find_overlap(&parts, excuses) {
            self.violations.push(format!("{id}, sent to gateway {}: {overlap}", call.gateway));
        } else if let Some(overlap) = find_overlap(&parts, OverlapExcuses::default()) {
            let without_runners = OverlapExcuses { unreachable: &[], ..excuses };
            let is_gateway = find_overlap(&parts, without_runners).is_none();
            let cause = if is_gateway { "its disruptions" } else { "unreachable runners" };
            let line =
                format!("{id}, sent to gateway {}, excused by {cause}: {overlap}", call.gateway);
            self.excused.push(line);
        }
        let starts = log.starts(id);
        let may_repeat = matches!(call.kind, RequestKind::Feed | RequestKind::Lookup);
        if !may_repeat && starts > 1 {
            self.violations.push(format!("{id}: executed {starts} times: {:?}", log.parts(id)));
        }
        // A run at a runner that has left does not count.
        let is_counted =
            |part: &&RunPart| !part.is_resumed && !disruptions.has_departed(&part.runner);
        if parts.iter().filter(is_counted).count() > MAX_ATTEMPTS {
            self.violations.push(format!("{id}: more attempts than allowed: {parts:?}"));
        }
        if log.parts(id).iter().any(|part| part.is_resumed) {
            self.resumed += 1;
        }
        let Some(status) = call.response.status else { return };
        if matches!(status, 408 | 421 | 429 | 503) {
            self.refused += 1;
            if starts > 0 {
                self.violations.push(format!("{id}: refused with {status}, but executed"));
            }
        }
        if matches!(status, 400..=407 | 409..=420) {
            self.violations.push(format!("{id}: valid request rejected with {status}"));
        }
        if status != 200 {
            return;
        }
        let wrong = match call.kind {
            RequestKind::Report | RequestKind::Batch | RequestKind::Feed => check_stream(call),
            RequestKind::Booking | RequestKind::Lookup => check_body(call),
        };
        match wrong {
            Some(reason) => self.violations.push(format!("{id}: {reason}")),
            None if call.response.is_complete => {
                self.served += 1;
                self.repeated += usize::from(call.kind == RequestKind::Feed && starts > 1);
            }
            None => {}
        }
    }
}

fn check_body(call: &SoakCall) -> Option<String> {
    let expected = format!("{} {}", call.request.id, call.request.body.len());
    let is_whole = call.response.body == expected.as_bytes();
    (call.response.is_complete && !is_whole)
        .then(|| format!("wrong body: {:?}", call.response.body))
}

/// Checks that the body of a stream is a prefix of the expected events, and all of them if the
/// response is complete.
fn check_stream(call: &SoakCall) -> Option<String> {
    let total = call.request.tokens.map_or(0, |(_, output)| output / 4);
    let mut expected = String::new();
    for number in 0..total {
        expected.push_str(&format!("id: {number}\ndata: {} {number}\n\n", call.request.id));
    }
    let body = &call.response.body;
    if !expected.as_bytes().starts_with(body) {
        return Some(format!("wrong events in the first {} bytes", body.len()));
    }
    (call.response.is_complete && body.len() < expected.len())
        .then(|| format!("complete response with {} of {} bytes", body.len(), expected.len()))
}
