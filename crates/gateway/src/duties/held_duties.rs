//! State of the duties while this VM holds the lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    DutyState, ReportContent, ScaleControl, ScaleOrder, StateWrite, UsageCounter, UsageNews,
    UsageWindows, WindowTerms,
};

/// Most reports that are written but not yet answered. They are part of every record of the lease.
const OPEN_REPORTS: usize = 8;

/// State of the duties while this VM holds the lease.
pub(super) struct HeldDuties {
    /// Number of the holder.
    pub(super) number: u64,
    /// Counts of the fleet.
    pub(super) windows: UsageWindows,
    /// Windows whose reports were answered.
    answered: BTreeSet<u64>,
    /// Counts of this VM, and which of them the VM with the copy has acknowledged.
    pub(super) counter: UsageCounter,
    /// Address of the VM with the copy.
    copy_address: Option<SocketAddr>,
    /// Latest orders, which are written with the next record.
    orders: BTreeMap<(String, String), ScaleOrder>,
    /// Decisions on the numbers of servers, once the orders of the predecessors are known.
    pub(super) scale: Option<ScaleControl>,
}

impl HeldDuties {
    /// Builds the state of a VM that became the holder at `now`. `counter` holds its counts so far.
    pub(super) fn new(
        number: u64,
        terms: WindowTerms,
        counter: UsageCounter,
        now: MonoTime,
    ) -> HeldDuties {
        HeldDuties {
            number,
            windows: UsageWindows::new(terms, now),
            answered: BTreeSet::new(),
            counter,
            copy_address: None,
            orders: BTreeMap::new(),
            scale: None,
        }
    }

    /// Returns the address of the VM that keeps a copy of this VM's counts, and the messages for
    /// it. The VM changes only when it no longer runs; the new one then gets all counts.
    pub(super) fn copy_messages(
        &mut self,
        running: &[SocketAddr],
        current_window: u64,
        last_window: u64,
        frame: &UsageNews,
    ) -> (Option<SocketAddr>, Vec<UsageNews>) {
        self.counter.note_holder(self.number, last_window);
        if !self.copy_address.is_some_and(|address| running.contains(&address)) {
            self.copy_address = running.first().copied();
            self.counter.forget_receipts();
        }
        if self.copy_address.is_none() {
            return (None, Vec::new());
        }
        (self.copy_address, self.counter.messages(current_window, frame))
    }

    /// Returns the state to write, based on the state of the last record.
    pub(super) fn next_write(
        &mut self,
        last: &DutyState,
        unix_ms: Option<u64>,
        now: MonoTime,
    ) -> StateWrite {
        let mut state = last.clone();
        self.answered.retain(|window| last.reports.iter().any(|report| report.window == *window));
        state.reports.retain(|report| !self.answered.contains(&report.window));
        for order in self.orders.values() {
            let is_same = |known: &&mut ScaleOrder| {
                (&known.service, &known.zone) == (&order.service, &order.zone)
            };
            match state.orders.iter_mut().find(is_same) {
                Some(known) => known.desired = order.desired,
                None => state.orders.push(order.clone()),
            }
        }
        let mut is_due = false;
        if let Some(unix_ms) = unix_ms {
            let limit = OPEN_REPORTS.saturating_sub(state.reports.len());
            let (reports, last_window) =
                self.windows.decide(state.last_window, limit, unix_ms, now);
            is_due = !reports.is_empty();
            state.reports.extend(reports);
            state.last_window = last_window;
        }
        StateWrite { state, is_due }
    }

    /// Returns the oldest report of the last record that was not answered.
    pub(super) fn open_report<'a>(&self, last: &'a DutyState) -> Option<&'a ReportContent> {
        last.reports.iter().find(|report| !self.answered.contains(&report.window))
    }

    /// Records that the platform accepted an order. It is written with the next record.
    pub(super) fn note_ordered(&mut self, order: ScaleOrder) {
        if let Some(scale) = &mut self.scale {
            scale.note_ordered(&order);
        }
        self.orders.insert((order.service.clone(), order.zone.clone()), order);
    }

    /// Records that an order was not answered, although the platform may have accepted it.
    pub(super) fn note_unanswered(&mut self, order: &ScaleOrder) {
        if let Some(scale) = &mut self.scale {
            scale.note_unanswered(order);
        }
    }

    /// Records that the platform answered a report.
    pub(super) fn note_answered(&mut self, window: u64) {
        self.answered.insert(window);
    }
}
