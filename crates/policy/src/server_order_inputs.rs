//! Inputs of a decision about the orders to one server.

use std::collections::BTreeSet;

use dragonflycart_core::MonoTime;

use crate::{OrderReport, OrderTarget, order_action::ModelVersion};

/// Inputs of a decision about the orders to one server.
#[derive(Debug, Clone)]
pub struct ServerOrderInputs<'a> {
    /// Time of the decision.
    pub now: MonoTime,
    /// Whether this VM has the lowest live seat of the server's zone.
    pub is_issuer: bool,
    /// Whether the log was read to its end within the last 3 s, so that the target is of the
    /// newest plan. Destructive orders need it.
    pub plan_confirmed: bool,
    /// Desired state.
    pub target: &'a OrderTarget,
    /// Last report of the server, if any.
    pub report: Option<&'a OrderReport>,
    /// Versions that get requests or have running ones, as far as this VM knows.
    pub in_use: &'a BTreeSet<ModelVersion>,
}
