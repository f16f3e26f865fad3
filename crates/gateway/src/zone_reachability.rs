//! Reachability of availability zones from this VM.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::MonoTime;

use crate::ServerKey;

/// Number of unreachable servers from which a whole zone counts as unreachable.
const UNREACHABLE_SERVERS: usize = 2;
/// Time window in which connection failures of a zone's servers are counted.
const LOSS_WINDOW: Duration = Duration::from_secs(3);
/// Interval at which an unreachable zone is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Default)]
struct ZoneState {
    lost: BTreeMap<ServerKey, MonoTime>,
    tried_at: Option<MonoTime>,
}

/// Reachability of zones, derived from connection attempts. Only one attempt per interval is made
/// to an unreachable zone, so that during a partition not every request waits for a connection
/// timeout.
#[derive(Debug, Clone, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<String, ZoneState>,
}

impl ZoneReachability {
    /// Records that connecting to a server failed.
    pub fn note_unreachable(&mut self, zone: &str, server: ServerKey, now: MonoTime) {
        let state = self.zones.entry(zone.to_owned()).or_default();
        state.lost.retain(|_, lost_at| now.since(*lost_at) <= LOSS_WINDOW);
        state.lost.insert(server, now);
        state.tried_at = Some(now);
    }

    /// Records that a server of a zone responded.
    pub fn note_reached(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Records that a request is sent to a server of a zone.
    pub fn note_tried(&mut self, zone: &str, now: MonoTime) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.tried_at = Some(now);
        }
    }

    /// Returns the zones that get no requests now.
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
