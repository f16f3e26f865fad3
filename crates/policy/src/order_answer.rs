//! Answers to orders.

/// What became of an order, as far as the issuer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted it. Whether it took effect is read from the report.
    Accepted,
    /// The engine has seen a higher fencing token; the order had no effect.
    Stale,
    /// No answer arrived. The order may take effect until its timeout.
    Lost,
    /// It was not sent, because the weight store refused the load.
    NotSent,
}
