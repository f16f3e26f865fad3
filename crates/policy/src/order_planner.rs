//! Planner of the orders to one engine.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{MonoTime, OrderFence, ServerInstance};

use crate::{
    OrderAction, OrderCommand, OrderReport, OrderSendResult, ServerOrderInputs,
    order_action::ModelVersion, order_target::PROGRESS_SHIFT,
};

/// Planner of the orders that one VM issues to one engine.
///
/// Each decision compares the desired state with the last report, so a lost, repeated or reverted
/// order is corrected after the next report.
///
/// Loads are sent at once. An unload is sent only when all of these hold:
///
/// - no other order is outstanding;
/// - the log confirmed the desired state;
/// - all wanted versions are loaded;
/// - the version has been neither wanted nor in use for the order timeout;
/// - no order of another issuer or for an older target can still take effect: the engine has
///   accepted a fencing token of this target or, if it ignores tokens, the timeout of every earlier
///   order has passed.
#[derive(Debug, Clone)]
pub struct OrderPlanner {
    timeout: Duration,
    /// Whether the engine rejects orders with a stale fencing token.
    checks_fences: bool,
    last_fence: OrderFence,
    /// Orders that may still take effect, with the time at which they were sent.
    outstanding: BTreeMap<OrderFence, (OrderAction, MonoTime)>,
    instance: Option<ServerInstance>,
    /// Time since which this planner knows all orders to the engine; `None` while another VM issues
    /// them.
    orders_known_since: Option<MonoTime>,
    /// Whether the engine has accepted a fencing token since then.
    fence_accepted: bool,
    /// Time since which each loaded version is neither wanted nor in use.
    unwanted_since: BTreeMap<ModelVersion, MonoTime>,
}

impl OrderPlanner {
    /// Creates the planner of one engine. `checks_fences` says whether the engine rejects orders
    /// with a stale fencing token.
    pub fn new(timeout: Duration, checks_fences: bool) -> OrderPlanner {
        OrderPlanner {
            timeout,
            checks_fences,
            last_fence: OrderFence::default(),
            outstanding: BTreeMap::new(),
            instance: None,
            orders_known_since: None,
            fence_accepted: false,
            unwanted_since: BTreeMap::new(),
        }
    }

    /// Returns the orders to send now. The outcome of each must be passed to
    /// [`OrderPlanner::note_send_result`].
    pub fn decide(&mut self, inputs: &ServerOrderInputs<'_>) -> Vec<OrderCommand> {
        self.track_unwanted(inputs);
        let Some(report) = inputs.report else { return Vec::new() };
        let first_fence = inputs.target.first_fence();
        let overtaken =
            (report.highest_fence.revision, report.highest_fence.sequence >> PROGRESS_SHIFT)
                > (first_fence.revision, first_fence.sequence >> PROGRESS_SHIFT);
        if !inputs.is_issuer || overtaken {
            self.orders_known_since = None;
            return Vec::new();
        }
        self.track_change(inputs, report, first_fence);
        self.drop_completed(inputs.now, report);
        let mut commands = self.loads(inputs, report);
        if commands.is_empty() {
            commands.extend(self.unload(inputs, report));
        }
        commands
    }

    /// Applies the result of sending an order.
    pub fn note_send_result(&mut self, fence: OrderFence, result: OrderSendResult) {
        match result {
            OrderSendResult::Accepted => {
                self.fence_accepted |= fence == self.last_fence;
            }
            OrderSendResult::Stale => {
                self.outstanding.remove(&fence);
                self.fence_accepted = false;
            }
            OrderSendResult::NotSent => _ = self.outstanding.remove(&fence),
            OrderSendResult::Lost => {}
        }
    }

    /// Returns the number of outstanding loads.
    pub fn outstanding_loads(&self) -> usize {
        let actions = self.outstanding.values().map(|(action, _)| action);
        actions.filter(|action| matches!(action, OrderAction::Load(_))).count()
    }

    /// Records since when each loaded version is neither wanted nor in use. VMs that are not the
    /// issuer do this too, so that they know these times when they take over.
    fn track_unwanted(&mut self, inputs: &ServerOrderInputs<'_>) {
        let Some(report) = inputs.report else { return };
        let wanted = &inputs.target.wanted;
        self.unwanted_since.retain(|version, _| !wanted.contains(version));
        for version in report.loaded.difference(wanted) {
            if inputs.in_use.contains(version) {
                self.unwanted_since.insert(version.clone(), inputs.now);
            } else {
                self.unwanted_since.entry(version.clone()).or_insert(inputs.now);
            }
        }
    }

    /// Detects a new target, a takeover or a restart of the engine. After each of them, orders that
    /// this planner does not know of may be in flight.
    fn track_change(
        &mut self,
        inputs: &ServerOrderInputs<'_>,
        report: &OrderReport,
        first: OrderFence,
    ) {
        let restarted = self.instance.replace(report.instance) != Some(report.instance);
        if restarted {
            self.outstanding.clear();
        }
        if restarted || self.orders_known_since.is_none() || self.last_fence < first {
            self.orders_known_since = Some(inputs.now);
            self.fence_accepted = false;
        }
        self.last_fence = self.last_fence.max(first).max(report.highest_fence);
    }

    /// Removes outstanding orders that took effect or timed out.
    fn drop_completed(&mut self, now: MonoTime, report: &OrderReport) {
        let timeout = self.timeout;
        self.outstanding.retain(|_, (action, sent_at)| {
            let loaded = report.loaded.contains(action.version());
            let effective = loaded == matches!(action, OrderAction::Load(_));
            let seen = report.taken_at > *sent_at && effective;
            !seen && now < *sent_at + timeout
        });
    }

    /// Issues the loads that are due.
    fn loads(&mut self, inputs: &ServerOrderInputs<'_>, report: &OrderReport) -> Vec<OrderCommand> {
        let mut commands = Vec::new();
        for version in &inputs.target.wanted {
            // A load of a version that is already loaded only raises the fencing token of the
            // engine, so that it rejects delayed orders for older targets.
            let needed = !report.loaded.contains(version);
            let raises_fence = self.checks_fences && !self.fence_accepted && commands.is_empty();
            if (needed || raises_fence) && !self.is_outstanding(version) {
                commands.push(self.issue(inputs.now, OrderAction::Load(version.clone())));
            }
        }
        commands
    }

    /// Issues an unload if it is safe.
    fn unload(
        &mut self,
        inputs: &ServerOrderInputs<'_>,
        report: &OrderReport,
    ) -> Option<OrderCommand> {
        let orders_known_since = self.orders_known_since?;
        let safe_from = orders_known_since + self.timeout;
        let timed_out = inputs.now >= safe_from && report.taken_at >= safe_from;
        let safe = timed_out || (self.checks_fences && self.fence_accepted);
        let complete = inputs.target.wanted.is_subset(&report.loaded);
        if !safe || !complete || !inputs.plan_confirmed || !self.outstanding.is_empty() {
            return None;
        }
        let version = report.loaded.iter().find(|version| {
            let since = self.unwanted_since.get(*version);
            since.is_some_and(|since| inputs.now >= *since + self.timeout)
        })?;
        Some(self.issue(inputs.now, OrderAction::Unload(version.clone())))
    }

    fn is_outstanding(&self, version: &ModelVersion) -> bool {
        self.outstanding.values().any(|(action, _)| action.version() == version)
    }

    fn issue(&mut self, now: MonoTime, action: OrderAction) -> OrderCommand {
        self.last_fence.sequence += 1;
        let fence = self.last_fence;
        self.outstanding.insert(fence, (action.clone(), now));
        OrderCommand { action, fence }
    }
}
