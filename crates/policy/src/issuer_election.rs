//! Which VM issues orders.

use std::collections::BTreeSet;

use dragonflycart_core::VmOrdinal;

/// Live seats of the own zone. The lowest one issues the orders to the zone's servers. Two VMs may
/// both take themselves for the lowest for a while; fencing tokens and timeouts cover that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerElection {
    own: VmOrdinal,
    live: BTreeSet<VmOrdinal>,
}

impl IssuerElection {
    /// Creates the duty of a VM from the live seats of its zone; its own seat is always live.
    pub fn new(own: VmOrdinal, live: impl IntoIterator<Item = VmOrdinal>) -> IssuerElection {
        IssuerElection { own, live: live.into_iter().collect() }
    }

    /// Returns whether this VM issues the orders.
    pub fn is_issuer(&self) -> bool {
        self.live.first().is_none_or(|lowest| self.own <= *lowest)
    }
}
