//! When a gateway is in touch, by the rules of the users.

use std::time::Duration;

use tokio::time::Instant;

/// Time without disruption after which a machine is in touch (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time by which an unstable store extends the bound (`max_stretch_ms`).
const MAX_STRETCH: Duration = Duration::from_secs(5);
/// Time within which a manifest must be in force (`config_deadline_ms`).
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Disruption of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreTrouble {
    /// It is down or slow, for all machines.
    Down,
    /// It rejects single machines.
    Rejecting,
}

/// Disruptions with their start and end.
#[derive(Debug, Default)]
pub(crate) struct ContactRecord {
    machines: Vec<(usize, Instant, Instant)>,
    store: Vec<(StoreTrouble, Instant, Instant)>,
}

impl ContactRecord {
    /// Records a disruption of a machine.
    pub(crate) fn note_machine(&mut self, machine: usize, start: Instant, end: Instant) {
        self.machines.push((machine, start, end));
    }

    /// Records a disruption of the store.
    pub(crate) fn note_store(&mut self, trouble: StoreTrouble, start: Instant, end: Instant) {
        self.store.push((trouble, start, end));
    }

    /// Returns the time that a manifest may take to be in force for a request that was sent at `sent`
    /// to a machine and answered at `answered`, or `None` if there is no bound.
    pub(crate) fn bound(
        &self,
        machine: usize,
        sent: Instant,
        answered: Instant,
    ) -> Option<Duration> {
        let overlaps = |start: Instant, end: Instant, before: Duration| {
            start <= answered && end + before >= sent
        };
        let is_disturbed = self.machines.iter().any(|(disturbed, start, end)| {
            *disturbed == machine && overlaps(*start, *end, CONTACT_TIME)
        });
        if is_disturbed {
            return None;
        }
        let is_stable =
            !self.store.iter().any(|(_, start, end)| overlaps(*start, *end, CONTACT_TIME));
        if is_stable {
            return Some(CONFIG_DEADLINE);
        }
        let stretched = CONFIG_DEADLINE + MAX_STRETCH;
        let was_down = self.store.iter().any(|(trouble, start, end)| {
            *trouble == StoreTrouble::Down && overlaps(*start, *end, stretched + CONTACT_TIME)
        });
        (!was_down).then_some(stretched)
    }
}
