//! Servers that this VM can't reach any more.

use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::ServerKey;

impl FleetView {
    /// Returns whether a server has left and its registration was removed, or its zone can't be
    /// reached.
    pub fn is_out_of_reach(&self, key: ServerKey, now: MonoTime) -> bool {
        let Some(state) = self.servers.get(key) else { return true };
        let has_left = state.leaving_since.is_some() && !state.is_registered;
        let zones = self.zone_reachability.unreachable_zones(now);
        has_left || zones.contains(state.record.zone.as_str())
    }
}
