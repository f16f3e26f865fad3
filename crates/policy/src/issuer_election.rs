//! Election of the VM that issues orders.

use std::collections::BTreeSet;

use dragonflycart_core::VmOrdinal;

/// Election of the VM that issues the orders to the engines of a zone: the live VM with the lowest
/// ordinal. For a while, two VMs may both see themselves as the issuer; fencing tokens and timeouts
/// make this safe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuerElection {
    own: VmOrdinal,
    live: BTreeSet<VmOrdinal>,
}

impl IssuerElection {
    /// Creates the election from the live ordinals of the VM's zone. The VM's own ordinal always
    /// counts as live.
    pub fn new(own: VmOrdinal, live: impl IntoIterator<Item = VmOrdinal>) -> IssuerElection {
        IssuerElection { own, live: live.into_iter().collect() }
    }

    /// Returns whether this VM issues the orders.
    pub fn is_issuer(&self) -> bool {
        self.live.first().is_none_or(|lowest| self.own <= *lowest)
    }
}
