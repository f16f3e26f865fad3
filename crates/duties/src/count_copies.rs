//! Copies of the holder's own counts at another VM.

use std::collections::BTreeMap;

use crate::{UsageCounter, UsageNews};

/// Copy of the counts of one holder.
#[derive(Debug, Clone)]
struct CountCopy {
    /// Holder number under which they were sent.
    number: u64,
    counter: UsageCounter,
}

/// Copies of the counts of holders, by the ID of their process. The counts that a holder keeps for
/// itself would be lost with it, so it sends them to another VM, which sends them to the next
/// holder.
#[derive(Debug, Clone, Default)]
pub struct CountCopies {
    copies: BTreeMap<u64, CountCopy>,
}

impl CountCopies {
    /// Applies counts that the holder sent.
    pub fn note_news(&mut self, news: &UsageNews) {
        let fresh = || CountCopy { number: news.number, counter: UsageCounter::default() };
        let copy = self.copies.entry(news.boot).or_insert_with(fresh);
        copy.number = copy.number.max(news.number);
        for entry in &news.windows {
            for count in &entry.counts {
                copy.counter.note_total(&count.team, entry.window, count.count);
            }
        }
    }

    /// Applies what a holder announced. Copies of reported windows are dropped.
    pub fn note_holder(&mut self, number: u64, last_window: u64) {
        for copy in self.copies.values_mut() {
            copy.counter.note_holder(number, last_window);
        }
        self.copies.retain(|_, copy| copy.counter.window_count() > 0);
    }

    /// Returns the messages to send to holder `number`, with the counts of its predecessors.
    /// `frame` holds the fields that don't concern the counts.
    pub fn messages(&mut self, number: u64, frame: &UsageNews) -> Vec<UsageNews> {
        let mut messages = Vec::new();
        for (boot, copy) in &mut self.copies {
            if copy.number >= number {
                continue;
            }
            let frame = UsageNews { boot: *boot, waiting: Vec::new(), ..frame.clone() };
            for news in copy.counter.messages(0, &frame) {
                if !news.windows.is_empty() {
                    messages.push(UsageNews { is_copy: true, ..news });
                }
            }
        }
        messages
    }

    /// Applies an acknowledgement for the process `boot`.
    pub fn note_receipt(&mut self, boot: u64, number: u64, sequence: u64) {
        if let Some(copy) = self.copies.get_mut(&boot) {
            copy.counter.note_receipt(number, sequence);
        }
    }
}
