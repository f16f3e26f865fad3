//! Decides when a version on an engine may get requests.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{OrderReport, OrderTarget, order_action::ModelVersion};

/// Decides which loaded versions of an engine may get requests. Every VM has its own gate per zone.
///
/// A version that becomes wanted again may still be unloaded by a delayed order for an older
/// target. It gets no requests until such orders have timed out and a later report shows it as
/// loaded.
#[derive(Debug, Clone)]
pub struct ReadinessGate {
    delay: Duration,
    /// Time from which a report must be taken to show a wanted version as ready. `None` before the
    /// first target.
    reports_from: Option<BTreeMap<ModelVersion, MonoTime>>,
}

impl ReadinessGate {
    /// Creates a gate. `delay` is the order timeout plus the time within which a plan takes effect
    /// on every VM.
    pub fn new(delay: Duration) -> ReadinessGate {
        ReadinessGate { delay, reports_from: None }
    }

    /// Sets the desired state. The versions of the first one need no delay, because a new VM must
    /// be ready at once.
    pub fn update_target(&mut self, now: MonoTime, target: &OrderTarget) {
        let first = self.reports_from.is_none();
        let known = self.reports_from.take().unwrap_or_default();
        let mut reports_from = BTreeMap::new();
        for version in &target.wanted {
            let fallback = if first { MonoTime::default() } else { now + self.delay };
            let from = known.get(version).copied().unwrap_or(fallback);
            reports_from.insert(version.clone(), from);
        }
        self.reports_from = Some(reports_from);
    }

    /// Returns whether the version may get requests according to a report of the engine.
    pub fn may_serve(&self, version: &ModelVersion, report: &OrderReport) -> bool {
        let from = self.reports_from.as_ref().and_then(|reports_from| reports_from.get(version));
        from.is_some_and(|from| report.taken_at >= *from) && report.loaded.contains(version)
    }
}
