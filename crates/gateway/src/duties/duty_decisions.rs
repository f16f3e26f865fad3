//! What one VM knows of the duties.

use std::net::SocketAddr;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    CountCopies, DutyLease, DutyState, HolderNews, LeaseChange, LeaseTime, TrueClock, UsageCounter,
    UsageNews, UsageReceipt, WindowTerms,
};
use tracing::info;

use super::held_duties::HeldDuties;

/// State on which a VM bases its decisions about the duties.
pub(super) struct DutyDecisions {
    pub(super) lease: DutyLease,
    pub(super) clock: TrueClock,
    pub(super) counter: UsageCounter,
    /// Copies of counts of holders, to be sent to their successors.
    pub(super) copies: CountCopies,
    pub(super) terms: WindowTerms,
    /// State of the duties while this VM holds the lease.
    pub(super) held: Option<HeldDuties>,
    /// Number and address of the holder, and when it was last heard.
    pub(super) holder: Option<(u64, SocketAddr, MonoTime)>,
}

impl DutyDecisions {
    /// Applies a change of the holder, with a line in the log.
    pub(super) fn note_change(&mut self, change: Option<LeaseChange>, now: LeaseTime) {
        let Some(change) = change else { return };
        let quiet_ms = self.lease.quiet_for(now).map_or(0, |quiet| quiet.as_millis() as u64);
        match &change {
            LeaseChange::Claimed { number } => {
                self.held =
                    Some(HeldDuties::new(*number, self.terms, self.counter.clone(), now.boot));
                self.holder = None;
                info!(number, "duties: this VM is the holder");
            }
            LeaseChange::Lost { number } => {
                self.held = None;
                let holder = self.lease.holder().map(|(name, number)| format!("{name} {number}"));
                info!(number, holder, "duties: another VM took the lease");
            }
            LeaseChange::Resigned { number } => {
                self.held = None;
                info!(number, "duties: lease given up; this VM stops or has lost the others");
            }
            LeaseChange::Followed { holder, number } => {
                info!(holder, number, quiet_ms, "duties: another VM is the holder");
            }
        }
    }

    /// Applies an announcement of the holder.
    pub(super) fn note_holder_news(
        &mut self,
        news: &HolderNews,
        sender: SocketAddr,
        now: LeaseTime,
    ) {
        let change = self.lease.note_announcement(&news.holder, news.number, news.log_end, now);
        self.note_change(change, now);
        if self.holder.is_some_and(|(number, ..)| number > news.number) || self.held.is_some() {
            return;
        }
        self.holder = Some((news.number, sender, now.boot));
        if news.unix_ms > 0 {
            self.clock.note_fleet_time(now.boot, news.unix_ms);
        }
        self.counter.note_holder(news.number, news.last_window);
        self.copies.note_holder(news.number, news.last_window);
    }

    /// Applies counts of another VM, as the holder or as the VM that keeps a copy of the holder's
    /// own counts. Returns whether to acknowledge them.
    pub(super) fn note_usage(&mut self, usage: &UsageNews, now: LeaseTime) -> bool {
        if let Some(held) = &mut self.held {
            if held.number == usage.number {
                held.windows.note_news(usage, now.boot);
            }
            return held.number == usage.number;
        }
        let is_holder = self.holder.is_some_and(|(number, ..)| number == usage.number);
        if is_holder {
            self.copies.note_news(usage);
        }
        is_holder
    }

    /// Applies an acknowledgement. `own_boot` is the ID of this process.
    pub(super) fn note_receipt(&mut self, receipt: &UsageReceipt, own_boot: u64) {
        let UsageReceipt { number, boot, sequence } = *receipt;
        if boot != own_boot {
            self.copies.note_receipt(boot, number, sequence);
            return;
        }
        match &mut self.held {
            Some(held) => held.counter.note_receipt(number, sequence),
            None => self.counter.note_receipt(number, sequence),
        }
    }

    /// Returns the state with which a new holder begins if the last record is not available. Windows
    /// that an unknown holder may have reported are left out.
    pub(super) fn unknown_state(&self, now: LeaseTime) -> DutyState {
        let current = self.clock.unix_ms(now.boot).map_or(u64::MAX, |ms| self.terms.window_at(ms));
        let is_first = self.lease.log_end() == Some(0);
        let last_window = if is_first { current.saturating_sub(FIRST_WINDOWS) } else { current };
        DutyState { last_window, ..DutyState::default() }
    }
}

/// Windows before the first holder's claim that it still reports: the fleet serves requests while it
/// finds its first holder.
const FIRST_WINDOWS: u64 = 5;
