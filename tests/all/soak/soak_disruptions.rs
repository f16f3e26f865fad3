//! Disruptions that were injected into a run.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_standins::WorkSpan;
use tokio::time::Instant;

/// Disruptions of a run that keep gateways from telling runners to stop, and runners that left.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoakDisruptions {
    gateways: BTreeMap<usize, Vec<WorkSpan>>,
    unreachable: Vec<(String, WorkSpan)>,
    departed: BTreeSet<String>,
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

    /// Records that a runner has announced that it leaves, or that its registration was removed.
    pub(crate) fn note_departed(&mut self, runner: &str) {
        self.departed.insert(runner.to_owned());
    }

    /// Returns whether a runner has announced that it leaves, or its registration was removed.
    pub(crate) fn has_departed(&self, runner: &str) -> bool {
        self.departed.contains(runner)
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
