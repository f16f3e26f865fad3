//! Disruptions that were injected into a run.

use std::collections::BTreeMap;

use dragonflycart_standins::WorkSpan;
use tokio::time::Instant;

/// Disruptions of a run that keep gateways from telling runners to stop.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoakDisruptions {
    gateways: BTreeMap<usize, Vec<WorkSpan>>,
    unreachable: Vec<(String, WorkSpan)>,
}

impl SoakDisruptions {
    /// Records that a gateway was killed or frozen until now.
    pub(crate) fn note_gateway(&mut self, gateway: usize, since: Instant) {
        self.gateways.entry(gateway).or_default().push(span_since(since));
    }

    /// Records that no connection to a runner was possible until now.
    pub(crate) fn note_unreachable(&mut self, runner: &str, since: Instant) {
        self.unreachable.push((runner.to_owned(), span_since(since)));
    }

    /// Returns the times for which a gateway was killed or frozen.
    pub(crate) fn of_gateway(&self, gateway: usize) -> &[WorkSpan] {
        self.gateways.get(&gateway).map_or(&[], Vec::as_slice)
    }

    /// Returns the times for which no connection to a runner was possible, each with the runner's ID.
    pub(crate) fn unreachable(&self) -> &[(String, WorkSpan)] {
        &self.unreachable
    }
}

fn span_since(since: Instant) -> WorkSpan {
    WorkSpan { start: since.into_std(), end: std::time::Instant::now() }
}
