//! Orders to one server.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{MonoTime, OrderFence, ServerInstance};

use crate::{
    OrderAction, OrderAnswer, OrderCommand, OrderReport, ServerOrderInputs,
    order_action::ModelVersion, order_target::PROGRESS_SHIFT,
};

/// Orders to one server, as issued by one VM. The state is declarative: each decision compares the
/// desired state with the report, so a lost, repeated or undone order is corrected by the next
/// report.
///
/// Loads are sent at once. An unload is sent only when nothing else is outstanding, the desired
/// state was confirmed by the log, all wanted versions are loaded, and an order of another issuer
/// or for an older target can no longer undo or follow it: the engine has accepted a token of this
/// target, or, if it ignores tokens, the timeout of every earlier order has passed.
#[derive(Debug, Clone)]
pub struct OrderPlanner {
    timeout: Duration,
    enforces: bool,
    last_fence: OrderFence,
    outstanding: BTreeMap<OrderFence, (OrderAction, MonoTime)>,
    instance: Option<ServerInstance>,
    changed_at: Option<MonoTime>,
    asserted: bool,
    unwanted_at: BTreeMap<ModelVersion, MonoTime>,
}

impl OrderPlanner {
    /// Creates the planner of one server. `enforces` says whether the engine rejects orders with a
    /// stale token.
    pub fn new(timeout: Duration, enforces: bool) -> OrderPlanner {
        OrderPlanner {
            timeout,
            enforces,
            last_fence: OrderFence::default(),
            outstanding: BTreeMap::new(),
            instance: None,
            changed_at: None,
            asserted: false,
            unwanted_at: BTreeMap::new(),
        }
    }

    /// Returns the orders to send now. Each must be answered by [`OrderPlanner::answer`].
    pub fn decide(&mut self, view: &ServerOrderInputs<'_>) -> Vec<OrderCommand> {
        self.note_unwanted(view);
        let Some(report) = view.report else { return Vec::new() };
        let first_fence = view.target.first_fence();
        let overtaken =
            (report.highest_fence.revision, report.highest_fence.sequence >> PROGRESS_SHIFT)
                > (first_fence.revision, first_fence.sequence >> PROGRESS_SHIFT);
        if !view.is_issuer || overtaken {
            self.changed_at = None;
            return Vec::new();
        }
        self.note_change(view, report, first_fence);
        self.settle_outstanding(view.now, report);
        let mut commands = self.loads(view, report);
        if commands.is_empty() {
            commands.extend(self.unload(view, report));
        }
        commands
    }

    /// Takes the answer to an order into account.
    pub fn answer(&mut self, fence: OrderFence, answer: OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => {
                self.asserted |= fence == self.last_fence;
            }
            OrderAnswer::Stale => {
                self.outstanding.remove(&fence);
                self.asserted = false;
            }
            OrderAnswer::NotSent => _ = self.outstanding.remove(&fence),
            OrderAnswer::Lost => {}
        }
    }

    /// Returns the loads that are outstanding.
    pub fn outstanding_loads(&self) -> usize {
        let actions = self.outstanding.values().map(|(action, _)| action);
        actions.filter(|action| matches!(action, OrderAction::Load(_))).count()
    }

    /// Notes since when each loaded version is not wanted. A VM that is not the issuer keeps this
    /// up to date as well, so that it does not start from nothing when it takes over.
    fn note_unwanted(&mut self, view: &ServerOrderInputs<'_>) {
        let Some(report) = view.report else { return };
        let wanted = &view.target.wanted;
        self.unwanted_at.retain(|version, _| !wanted.contains(version));
        for version in report.loaded.difference(wanted) {
            if view.in_use.contains(version) {
                self.unwanted_at.insert(version.clone(), view.now);
            } else {
                self.unwanted_at.entry(version.clone()).or_insert(view.now);
            }
        }
    }

    /// Notes a new target, a takeover or a restart of the server. After each of them orders that
    /// this planner does not know of may be on their way.
    fn note_change(
        &mut self,
        view: &ServerOrderInputs<'_>,
        report: &OrderReport,
        first: OrderFence,
    ) {
        let restarted = self.instance.replace(report.instance) != Some(report.instance);
        if restarted {
            self.outstanding.clear();
        }
        if restarted || self.changed_at.is_none() || self.last_fence < first {
            self.changed_at = Some(view.now);
            self.asserted = false;
        }
        self.last_fence = self.last_fence.max(first).max(report.highest_fence);
    }

    /// Removes orders that took effect or timed out.
    fn settle_outstanding(&mut self, now: MonoTime, report: &OrderReport) {
        let timeout = self.timeout;
        self.outstanding.retain(|_, (action, sent_at)| {
            let loaded = report.loaded.contains(action.version());
            let effective = loaded == matches!(action, OrderAction::Load(_));
            let seen = report.taken_at > *sent_at && effective;
            !seen && now < *sent_at + timeout
        });
    }

    fn loads(&mut self, view: &ServerOrderInputs<'_>, report: &OrderReport) -> Vec<OrderCommand> {
        let mut commands = Vec::new();
        for version in &view.target.wanted {
            // A load of a version that is already loaded only raises the engine's token, so that
            // delayed orders for older targets are rejected.
            let needed = !report.loaded.contains(version);
            let raises = self.enforces && !self.asserted && commands.is_empty();
            if (needed || raises) && !self.is_outstanding(version) {
                commands.push(self.command(view.now, OrderAction::Load(version.clone())));
            }
        }
        commands
    }

    fn unload(
        &mut self,
        view: &ServerOrderInputs<'_>,
        report: &OrderReport,
    ) -> Option<OrderCommand> {
        let changed_at = self.changed_at?;
        let safe_from = changed_at + self.timeout;
        let timed_out = view.now >= safe_from && report.taken_at >= safe_from;
        let safe = timed_out || (self.enforces && self.asserted);
        let complete = view.target.wanted.is_subset(&report.loaded);
        if !safe || !complete || !view.plan_confirmed || !self.outstanding.is_empty() {
            return None;
        }
        let version = report.loaded.iter().find(|version| {
            let since = self.unwanted_at.get(*version);
            since.is_some_and(|since| view.now >= *since + self.timeout)
        })?;
        Some(self.command(view.now, OrderAction::Unload(version.clone())))
    }

    fn is_outstanding(&self, version: &ModelVersion) -> bool {
        self.outstanding.values().any(|(action, _)| action.version() == version)
    }

    fn command(&mut self, now: MonoTime, action: OrderAction) -> OrderCommand {
        self.last_fence.sequence += 1;
        let fence = self.last_fence;
        self.outstanding.insert(fence, (action.clone(), now));
        OrderCommand { action, fence }
    }
}
