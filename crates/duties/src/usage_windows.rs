//! Counts of the whole fleet at the holder.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{
    ReportContent, TeamCount, UsageNews,
    true_clock::{boot_ms, median},
    usage_counter::WINDOWS_KEPT,
};

/// Time after the end of a window before its report is decided. Every VM has sent its counts twice
/// by then.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time from the claim before the first report is decided. The VMs learn of the holder and send
/// their counts again.
const GATHERING_TIME: Duration = Duration::from_millis(2_500);
/// Time between the last moment to decide a report and the moment at which it is due. It is written
/// to the store and sent in this time.
const SENDING_TIME: Duration = Duration::from_millis(3_000);
/// Time without a message after which a VM is no longer waited for.
const SILENT_TIME: Duration = Duration::from_secs(30);
/// Time for which a VM's estimate of true time is used.
const ESTIMATE_AGE: Duration = Duration::from_secs(5);
/// Time for which the waiting requests that a VM reported are used.
const WAITING_AGE: Duration = Duration::from_secs(2);

/// What the holder knows of one process.
#[derive(Debug, Clone)]
struct VmProgress {
    heard_at: MonoTime,
    sequence: u64,
    complete_through: u64,
    /// Offset of its true time to the holder's boot-time clock, in milliseconds.
    offset: i64,
    zone: String,
    waiting: BTreeMap<String, u32>,
}

/// Length of the windows and time at which reports are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTerms {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
}

impl WindowTerms {
    /// Returns the number of the window at a time in Unix milliseconds.
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / (self.window.as_millis() as u64).max(1)
    }

    /// Returns the end of a window in Unix milliseconds.
    fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window.as_millis() as u64)
    }
}

/// Counts that the holder gathers from all VMs, by window and process.
#[derive(Debug, Clone)]
pub struct UsageWindows {
    terms: WindowTerms,
    held_since: MonoTime,
    /// Time since which the VMs know the holder.
    gathering_since: MonoTime,
    counts: BTreeMap<u64, BTreeMap<u64, BTreeMap<String, u64>>>,
    vms: BTreeMap<u64, VmProgress>,
}

impl UsageWindows {
    /// Builds the counts of a VM that became the holder at `now`. All times are by the boot-time
    /// clock.
    pub fn new(terms: WindowTerms, now: MonoTime) -> UsageWindows {
        UsageWindows {
            terms,
            held_since: now,
            gathering_since: now,
            counts: BTreeMap::new(),
            vms: BTreeMap::new(),
        }
    }

    /// Records that this VM may not act. The others stop sending their counts then, so they get the
    /// time to send them again.
    pub fn note_lapse(&mut self, now: MonoTime) {
        self.gathering_since = now;
    }

    /// Applies a message of a VM. Counts only grow within a process, so messages may be lost,
    /// repeated or out of order.
    pub fn note_news(&mut self, news: &UsageNews, now: MonoTime) {
        for entry in &news.windows {
            let teams = self.counts.entry(entry.window).or_default().entry(news.boot).or_default();
            for count in &entry.counts {
                let known = teams.entry(count.team.clone()).or_default();
                *known = count.count.max(*known);
            }
        }
        let known = self.vms.get(&news.boot);
        if news.is_copy || known.is_some_and(|known| known.sequence >= news.sequence) {
            return;
        }
        let complete = known.map_or(0, |known| known.complete_through);
        let waiting =
            news.waiting.iter().map(|entry| (entry.service.clone(), entry.requests)).collect();
        let progress = VmProgress {
            heard_at: now,
            sequence: news.sequence,
            complete_through: complete.max(news.complete_through),
            offset: news.unix_ms as i64 - boot_ms(now),
            zone: news.zone.clone(),
            waiting,
        };
        self.vms.insert(news.boot, progress);
    }

    /// Returns true time as the median of the estimates of the VMs, the holder among them.
    pub fn fleet_unix_ms(&self, now: MonoTime) -> Option<u64> {
        let recent = self.vms.values().filter(|vm| now.since(vm.heard_at) <= ESTIMATE_AGE);
        let offset = median(recent.map(|vm| vm.offset).collect())?;
        u64::try_from(boot_ms(now) + offset).ok()
    }

    /// Returns whether a VM of a zone was heard lately.
    pub fn hears_zone(&self, zone: &str, now: MonoTime) -> bool {
        self.vms.values().any(|vm| vm.zone == zone && now.since(vm.heard_at) <= WAITING_AGE)
    }

    /// Returns the number of requests that wait for a service at the VMs of a zone.
    pub fn waiting(&self, service: &str, zone: &str, now: MonoTime) -> u32 {
        let near =
            self.vms.values().filter(|vm| vm.zone == zone && now.since(vm.heard_at) <= WAITING_AGE);
        near.filter_map(|vm| vm.waiting.get(service)).sum()
    }

    /// Returns the reports to decide after that of `last_window`, oldest first, at most `limit`, and
    /// the last window that is then decided. Empty windows that began before this VM was the
    /// holder, or for which the VMs no longer keep counts, are left out: their counts may be lost.
    pub fn decide(
        &mut self,
        last_window: u64,
        limit: usize,
        unix_ms: u64,
        now: MonoTime,
    ) -> (Vec<ReportContent>, u64) {
        let current = self.terms.window_at(unix_ms);
        // The VMs keep no older counts either, so such a window would be reported in part.
        let oldest = current.saturating_sub(WINDOWS_KEPT as u64);
        self.counts.retain(|window, _| *window > last_window && *window >= oldest);
        self.vms.retain(|_, vm| now.since(vm.heard_at) <= SILENT_TIME);
        let mut reports = Vec::new();
        let mut decided = last_window;
        let held_ms = now.since(self.held_since).as_millis() as u64;
        if now.since(self.gathering_since) < GATHERING_TIME {
            return (reports, decided);
        }
        while reports.len() < limit {
            let first = self.counts.keys().find(|window| **window > decided).copied();
            let held_from = self.terms.window_at(unix_ms.saturating_sub(held_ms)) + 1;
            let empty_from = held_from.max(oldest).max(decided.saturating_add(1));
            let window = first.unwrap_or(u64::MAX).min(empty_from);
            if !self.is_settled(window, unix_ms) {
                break;
            }
            decided = window;
            reports.push(self.content(window));
        }
        (reports, decided)
    }

    fn is_settled(&self, window: u64, unix_ms: u64) -> bool {
        let Some(past_ms) = unix_ms.checked_sub(self.terms.end_ms(window)) else { return false };
        let past = Duration::from_millis(past_ms);
        // A late report is better than one without the last counts of its window.
        let last_moment = self.terms.due.saturating_sub(SENDING_TIME).max(SETTLING_TIME);
        let is_complete = self.vms.values().all(|vm| vm.complete_through >= window);
        past >= last_moment || (past >= SETTLING_TIME && is_complete)
    }

    fn content(&self, window: u64) -> ReportContent {
        let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
        for teams in self.counts.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (team, count) in teams {
                *totals.entry(team).or_default() += count;
            }
        }
        let counts = totals
            .into_iter()
            .map(|(team, count)| TeamCount { team: team.to_owned(), count })
            .collect();
        ReportContent { window, counts }
    }
}
