//! Outcome of sending an order.

/// Outcome of sending an order, as far as the issuer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSendResult {
    /// The engine accepted the order. Its report shows whether the order took effect.
    Accepted,
    /// The engine has seen a higher fencing token; the order had no effect.
    Stale,
    /// No response arrived. The order may still take effect until its timeout.
    Lost,
    /// The order was not sent, for example because the weight store refused the load.
    NotSent,
}
