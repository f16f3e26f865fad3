//! Which availability zones this VM can reach.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::MonoTime;

use crate::ServerKey;

/// Servers of a zone that can't be connected to before the whole zone counts as cut off.
const UNREACHABLE_SERVERS: usize = 2;
/// Time for which failures of a zone's servers count together.
const LOSS_WINDOW: Duration = Duration::from_secs(3);
/// Time after which a zone that counts as cut off is tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Default)]
struct ZoneState {
    lost: BTreeMap<ServerKey, MonoTime>,
    tried_at: Option<MonoTime>,
}

/// Beliefs about zones, from attempts to connect. One attempt per interval probes a zone that
/// counts as cut off, so that the requests of a partition don't all wait for a connection.
#[derive(Debug, Clone, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<String, ZoneState>,
}

impl ZoneReachability {
    /// Takes that a server could not be connected to.
    pub fn note_unreachable(&mut self, zone: &str, server: ServerKey, now: MonoTime) {
        let state = self.zones.entry(zone.to_owned()).or_default();
        state.lost.retain(|_, lost_at| now.since(*lost_at) <= LOSS_WINDOW);
        state.lost.insert(server, now);
        state.tried_at = Some(now);
    }

    /// Takes that a server of a zone answered.
    pub fn note_reached(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Takes that a server of a zone is tried.
    pub fn note_tried(&mut self, zone: &str, now: MonoTime) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.tried_at = Some(now);
        }
    }

    /// Returns the zones to which nothing is sent now.
    pub fn unreachable_zones(&self, now: MonoTime) -> BTreeSet<&str> {
        let mut zones = BTreeSet::new();
        for (zone, state) in &self.zones {
            let was_tried = state.tried_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
            if state.lost.len() >= UNREACHABLE_SERVERS && was_tried {
                zones.insert(zone.as_str());
            }
        }
        zones
    }
}
