//! Servers that this VM can't reach any more.

use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::ServerKey;

impl FleetView {
    /// Returns whether a server is not known any more or its zone can't be reached.
    pub fn is_cut_off(&self, key: ServerKey, now: MonoTime) -> bool {
        let Some(state) = self.servers.get(key) else { return true };
        self.zone_reachability.unreachable_zones(now).contains(state.record.zone.as_str())
    }
}
