//! An order with its fencing token.

use dragonflycart_core::OrderFence;

use crate::OrderAction;

/// An order to be sent to an engine. The transport must give up at the order timeout, so that the
/// order can't take effect later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCommand {
    /// Action that the engine is to take.
    pub action: OrderAction,
    /// Fencing token.
    pub fence: OrderFence,
}
