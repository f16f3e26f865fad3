//! When a version on a server may get requests.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{OrderReport, OrderTarget, order_action::ModelVersion};

/// Decides on every VM which versions of a server may get requests. A version that becomes wanted
/// again may still be unloaded by a delayed order for an older target; it gets no requests until
/// such an order has timed out and a later report shows the version loaded.
#[derive(Debug, Clone)]
pub struct ReadinessGate {
    delay: Duration,
    wanted_at: Option<BTreeMap<ModelVersion, MonoTime>>,
}

impl ReadinessGate {
    /// Creates a gate. `delay` is the order timeout plus the time within which a plan is in effect
    /// on every VM.
    pub fn new(delay: Duration) -> ReadinessGate {
        ReadinessGate { delay, wanted_at: None }
    }

    /// Notes the desired state. Versions of the first one are taken as wanted for long, because a
    /// new VM must be ready at once.
    pub fn update_target(&mut self, now: MonoTime, target: &OrderTarget) {
        let first = self.wanted_at.is_none();
        let known = self.wanted_at.take().unwrap_or_default();
        let mut wanted_at = BTreeMap::new();
        for version in &target.wanted {
            let fallback = if first { MonoTime::default() } else { now + self.delay };
            let from = known.get(version).copied().unwrap_or(fallback);
            wanted_at.insert(version.clone(), from);
        }
        self.wanted_at = Some(wanted_at);
    }

    /// Returns whether the version may get requests, judged by a report.
    pub fn may_serve(&self, version: &ModelVersion, report: &OrderReport) -> bool {
        let from = self.wanted_at.as_ref().and_then(|wanted_at| wanted_at.get(version));
        from.is_some_and(|from| report.taken_at >= *from) && report.loaded.contains(version)
    }
}
