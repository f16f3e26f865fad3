//! An order with its fencing token.

use dragonflycart_core::OrderFence;

use crate::OrderAction;

/// An order that is to be sent to an engine. Its transport must give up at the order timeout, so
/// that the order can't take effect later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCommand {
    /// What to do.
    pub action: OrderAction,
    /// Fencing token.
    pub fence: OrderFence,
}
