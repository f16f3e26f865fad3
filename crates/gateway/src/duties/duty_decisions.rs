//! What one VM knows of the duties.

use std::net::SocketAddr;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    DutyLease, DutyState, HolderNews, LeaseChange, LeaseTime, TrueClock, UsageCounter, WindowTerms,
};
use tracing::info;

use super::held_duties::HeldDuties;

/// State on which a VM bases its decisions about the duties.
pub(super) struct DutyDecisions {
    pub(super) lease: DutyLease,
    pub(super) clock: TrueClock,
    pub(super) counter: UsageCounter,
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
                self.held = Some(HeldDuties::new(*number, self.terms, now.boot));
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
