//! Counts of one VM that its holder may not know yet.

use std::collections::BTreeMap;

use prost::Message;

use crate::{MESSAGE_BYTES, TeamCount, UsageNews, WindowCounts};

/// Windows whose counts are kept while no holder reports them. With windows of five seconds this is
/// a store outage of a quarter of an hour.
pub(crate) const WINDOWS_KEPT: usize = 180;
/// Number of unacknowledged messages that are remembered.
const MESSAGES_KEPT: usize = 64;
/// Space that a message needs beside its counts, in bytes.
const HEAD_BYTES: usize = 300;
/// Space of a count in addition to the team's name, in bytes.
const COUNT_BYTES: usize = 16;
/// Most messages that are sent at once, so that a new holder isn't flooded.
const MESSAGES_AT_ONCE: usize = 16;

/// Requests of a team in a window.
#[derive(Debug, Clone, Copy, Default)]
struct CountState {
    count: u64,
    /// Number that the holder has acknowledged.
    known: u64,
}

/// Counts of this VM by window and team. Each is kept until its window is reported, so a new holder
/// can get it again.
#[derive(Debug, Clone, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, BTreeMap<String, CountState>>,
    reported: u64,
    number: u64,
    sequence: u64,
    sent: BTreeMap<u64, Vec<WindowCounts>>,
}

impl UsageCounter {
    /// Counts a request that began to run.
    pub fn note_start(&mut self, team: &str, window: u64) {
        self.update(team, window, |count| count + 1);
    }

    /// Applies a total that another process counted.
    pub(crate) fn note_total(&mut self, team: &str, window: u64, total: u64) {
        self.update(team, window, |count| count.max(total));
    }

    fn update(&mut self, team: &str, window: u64, change: impl Fn(u64) -> u64) {
        if window <= self.reported {
            return;
        }
        let teams = self.windows.entry(window).or_default();
        match teams.get_mut(team) {
            Some(state) => state.count = change(state.count),
            None => {
                teams.insert(team.to_owned(), CountState { count: change(0), known: 0 });
            }
        }
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }

    /// Returns the number of windows that are kept.
    pub fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Applies what the holder announced. Everything is sent again to a new holder.
    pub fn note_holder(&mut self, number: u64, last_window: u64) {
        if number < self.number {
            return;
        }
        if number > self.number {
            self.number = number;
            self.forget_receipts();
        }
        self.reported = self.reported.max(last_window);
        self.windows.retain(|window, _| *window > last_window);
    }

    /// Forgets what was acknowledged, so that everything is sent again.
    pub fn forget_receipts(&mut self) {
        self.sent.clear();
        for state in self.windows.values_mut().flat_map(BTreeMap::values_mut) {
            state.known = 0;
        }
    }

    /// Returns the messages to send now: at least one, which tells the holder how far this VM's
    /// counts are complete. `frame` holds the fields that don't concern the counts.
    pub fn messages(&mut self, current_window: u64, frame: &UsageNews) -> Vec<UsageNews> {
        let mut parts: Vec<Vec<WindowCounts>> = vec![Vec::new()];
        let mut space = MESSAGE_BYTES.saturating_sub(HEAD_BYTES + frame.encoded_len());
        let mut complete_through = current_window.saturating_sub(1);
        'windows: for (window, teams) in &self.windows {
            for (team, state) in teams {
                if state.known >= state.count {
                    continue;
                }
                let size = team.len() + COUNT_BYTES;
                if size > space {
                    if parts.len() == MESSAGES_AT_ONCE {
                        complete_through = complete_through.min(window.saturating_sub(1));
                        break 'windows;
                    }
                    parts.push(Vec::new());
                    space = MESSAGE_BYTES.saturating_sub(HEAD_BYTES + frame.encoded_len());
                }
                space = space.saturating_sub(size);
                let Some(part) = parts.last_mut() else { continue };
                if part.last().is_none_or(|last| last.window != *window) {
                    part.push(WindowCounts { window: *window, counts: Vec::new() });
                }
                let Some(entry) = part.last_mut() else { continue };
                entry.counts.push(TeamCount { team: team.clone(), count: state.count });
            }
        }
        if parts.len() > 1 {
            // Some of the messages may be lost, so none reports the windows of the others as
            // complete.
            let first = parts.iter().flatten().next().map_or(0, |first| first.window);
            complete_through = complete_through.min(first.saturating_sub(1));
        }
        let mut messages = Vec::new();
        for part in parts {
            self.sequence += 1;
            messages.push(UsageNews {
                number: self.number,
                sequence: self.sequence,
                complete_through,
                windows: part.clone(),
                ..frame.clone()
            });
            self.sent.insert(self.sequence, part);
        }
        while self.sent.len() > MESSAGES_KEPT {
            self.sent.pop_first();
        }
        messages
    }

    /// Applies an acknowledgement of the holder.
    pub fn note_receipt(&mut self, number: u64, sequence: u64) {
        if number != self.number {
            return;
        }
        for entry in self.sent.remove(&sequence).unwrap_or_default() {
            let Some(teams) = self.windows.get_mut(&entry.window) else { continue };
            for count in entry.counts {
                let Some(state) = teams.get_mut(&count.team) else { continue };
                state.known = state.known.max(count.count);
            }
        }
    }
}
