//! State machine of the lease in one VM.

use std::time::Duration;

use crate::{
    AppendResult, DutyRecord, DutyState, LeaseChange, LeasePermit, LeaseStep, LeaseTerms,
    LeaseTime, LogTail, StateWrite,
};

/// End of the log as far as it is known.
#[derive(Debug, Clone)]
struct KnownTail {
    end: u64,
    /// Time at which this end was first known. The last record was appended before it.
    seen_at: LeaseTime,
    /// Whether the last record was read, rather than announced by its holder.
    is_read: bool,
    last: Option<DutyRecord>,
}

/// Lease of this VM.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    number: u64,
    /// Time before the last confirmed record was sent.
    confirmed_from: LeaseTime,
}

/// Append whose outcome is not known.
#[derive(Debug, Clone)]
struct OpenAppend {
    at: u64,
    record: DutyRecord,
    sent_at: LeaseTime,
}

/// Decides whether this VM holds the lease, and which calls to the store it makes for it.
///
/// Safety rests on three rules. An append takes effect only at the end of the log that its sender
/// knew, so a claim fails if the holder renewed in between. The holder acts for less than the lease
/// time, counted from the moment before it sent its last confirmed record. Another VM claims the
/// lease only after it has seen the same end of the log for longer than the lease time.
#[derive(Debug)]
pub struct DutyLease {
    name: String,
    boot: u64,
    terms: LeaseTerms,
    started_at: LeaseTime,
    tail: Option<KnownTail>,
    held: Option<HeldLease>,
    /// Holder and number that this VM last knew of.
    followed: Option<(String, u64)>,
    lost_at: Option<LeaseTime>,
    /// Appends that may still take effect.
    open: Vec<OpenAppend>,
    sequence: u64,
    is_calling: bool,
    /// Whether the log must be read before anything else is decided.
    must_read: bool,
    failures: u32,
    failed_at: Option<LeaseTime>,
}

impl DutyLease {
    /// Builds the state of a VM that knows of no holder. `boot` is the random ID of its process.
    pub fn new(name: &str, boot: u64, terms: LeaseTerms, now: LeaseTime) -> DutyLease {
        DutyLease {
            name: name.to_owned(),
            boot,
            terms,
            started_at: now,
            tail: None,
            held: None,
            followed: None,
            lost_at: None,
            open: Vec::new(),
            sequence: 0,
            is_calling: false,
            must_read: false,
            failures: 0,
            failed_at: None,
        }
    }

    /// Returns the permit to act, or `None` if this VM may not act now. Must be asked directly
    /// before each call to the platform.
    pub fn permit(&self, now: LeaseTime) -> Option<LeasePermit> {
        let held = self.held?;
        let passed = now.longest_since(held.confirmed_from);
        let remaining = self.terms.acting_time().checked_sub(passed)?;
        (!remaining.is_zero()).then_some(LeasePermit { number: held.number, remaining })
    }

    /// Returns the number of this VM if it is the last known holder, whether it may act or not.
    pub fn held_number(&self) -> Option<u64> {
        self.held.map(|held| held.number)
    }

    /// Returns the name and number of the last known holder.
    pub fn holder(&self) -> Option<(&str, u64)> {
        match &self.held {
            Some(held) => Some((&self.name, held.number)),
            None => self.followed.as_ref().map(|(holder, number)| (holder.as_str(), *number)),
        }
    }

    /// Returns the end of the log for the announcements of the holder.
    pub fn log_end(&self) -> Option<u64> {
        self.tail.as_ref().map(|tail| tail.end)
    }

    /// Returns the state of the duties in the last record, if this VM wrote or read it.
    pub fn state(&self) -> Option<&DutyState> {
        self.tail.as_ref()?.last.as_ref()?.state.as_ref()
    }

    /// Returns the next call to the store. `is_willing` tells whether this VM should hold the lease.
    /// `write` is the state that a holder wants to write; `unknown` the one that a new holder begins
    /// with if the last record is not available.
    pub fn next_step(
        &mut self,
        now: LeaseTime,
        is_willing: bool,
        write: Option<StateWrite>,
        unknown: &DutyState,
    ) -> LeaseStep {
        let pause = self.terms.retry_time(self.failures, self.held.is_some());
        let is_pausing = self.failed_at.is_some_and(|at| now.shortest_since(at) < pause);
        if self.is_calling || is_pausing {
            return LeaseStep::Wait;
        }
        let Some(tail) = &self.tail else {
            let is_due = now.shortest_since(self.started_at) >= self.terms.listening_time();
            return if is_due { self.read(0) } else { LeaseStep::Wait };
        };
        let last_offset = tail.end.saturating_sub(1);
        if self.must_read {
            return self.read(last_offset);
        }
        if let Some(held) = self.held {
            let age = now.longest_since(held.confirmed_from);
            let is_due = write.as_ref().is_some_and(|write| write.is_due);
            if !is_willing || (!is_due && age < self.terms.renewal_time()) {
                return LeaseStep::Wait;
            }
            let state = write.map(|write| write.state).or_else(|| self.state().cloned());
            return self.append(held.number, state, now);
        }
        let is_quiet = tail.end == 0 || now.shortest_since(tail.seen_at) >= self.terms.quiet_time();
        let is_barred =
            self.lost_at.is_some_and(|at| now.shortest_since(at) < self.terms.loss_time());
        if !is_quiet || is_barred || !is_willing {
            return LeaseStep::Wait;
        }
        if !tail.is_read {
            return self.read(last_offset);
        }
        let state = self.state().unwrap_or(unknown).clone();
        self.append(claim_number(tail.end), Some(state), now)
    }

    /// Gives up a lease that has run out, if this VM should not hold it any longer.
    pub fn resign(&mut self, now: LeaseTime) -> Option<LeaseChange> {
        if self.permit(now).is_some() {
            return None;
        }
        let held = self.held.take()?;
        self.lost_at = Some(now);
        Some(LeaseChange::Resigned { number: held.number })
    }

    /// Applies the result of the append that the last step asked for.
    pub fn note_append(&mut self, result: AppendResult, now: LeaseTime) -> Option<LeaseChange> {
        self.is_calling = false;
        let sent = self.open.last().cloned()?;
        match result {
            AppendResult::Appended { offset } if offset == sent.at => {
                self.note_success();
                self.confirm(&sent, now)
            }
            AppendResult::Appended { .. } | AppendResult::Unknown => {
                self.must_read = true;
                self.note_failure(now);
                None
            }
            AppendResult::Conflict => {
                // An earlier append at the same offset may have taken effect, so the other ones stay
                // open until the log is read.
                self.open.pop();
                self.must_read = true;
                None
            }
        }
    }

    /// Records that a read failed.
    pub fn note_read_failure(&mut self, now: LeaseTime) {
        self.is_calling = false;
        self.note_failure(now);
    }

    /// Applies the end of the log as read at `now`.
    pub fn note_read(&mut self, read: LogTail, now: LeaseTime) -> Option<LeaseChange> {
        self.is_calling = false;
        if self.tail.as_ref().is_some_and(|tail| tail.is_read && read.end < tail.end) {
            self.note_failure(now);
            return None;
        }
        if self.open.is_empty() {
            self.note_success();
        }
        self.must_read = false;
        if self.tail.as_ref().is_some_and(|tail| tail.is_read && read.end == tail.end) {
            return None;
        }
        let own = read.last.as_ref().filter(|last| self.is_own(last));
        if let Some(last) = own {
            let sent = self.open.iter().find(|sent| sent.record.sequence == last.sequence).cloned();
            if let Some(sent) = sent.filter(|sent| self.may_hold(sent)) {
                self.note_success();
                return self.confirm(&sent, now);
            }
        }
        let is_held = own.is_some_and(|last| Some(last.number) == self.held_number());
        // Appends before the end either took effect or never will.
        self.open.retain(|sent| sent.at >= read.end);
        self.note_success();
        let change = if is_held { None } else { self.follow(read.last.as_ref(), now) };
        let seen_at = match &self.tail {
            Some(tail) if tail.end == read.end => tail.seen_at,
            _ => now,
        };
        self.tail = Some(KnownTail { end: read.end, seen_at, is_read: true, last: read.last });
        change
    }

    /// Applies an announcement of a holder. `end` is the end of the log after its last record.
    pub fn note_announcement(
        &mut self,
        holder: &str,
        number: u64,
        end: u64,
        now: LeaseTime,
    ) -> Option<LeaseChange> {
        if holder == self.name || self.tail.as_ref().is_some_and(|tail| end <= tail.end) {
            return None;
        }
        self.tail = Some(KnownTail { end, seen_at: now, is_read: false, last: None });
        let record = DutyRecord { holder: holder.to_owned(), number, ..DutyRecord::default() };
        self.follow(Some(&record), now)
    }

    /// Returns whether an append that took effect makes this VM the holder. A renewal of a lease
    /// that was given up does not: the counts that were acknowledged under its number are gone.
    fn may_hold(&self, sent: &OpenAppend) -> bool {
        let number = sent.record.number;
        number == claim_number(sent.at) || self.held_number() == Some(number)
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.holder == self.name && record.boot == self.boot
    }

    fn read(&mut self, from: u64) -> LeaseStep {
        self.is_calling = true;
        LeaseStep::Read { from }
    }

    fn append(&mut self, number: u64, state: Option<DutyState>, now: LeaseTime) -> LeaseStep {
        let Some(at) = self.log_end() else { return LeaseStep::Wait };
        self.is_calling = true;
        self.sequence += 1;
        let record = DutyRecord {
            holder: self.name.clone(),
            boot: self.boot,
            sequence: self.sequence,
            number,
            state,
        };
        self.open.push(OpenAppend { at, record: record.clone(), sent_at: now });
        LeaseStep::Append { at, record }
    }

    fn note_failure(&mut self, now: LeaseTime) {
        self.failures += 1;
        self.failed_at = Some(now);
    }

    fn note_success(&mut self) {
        self.failures = 0;
        self.failed_at = None;
    }

    /// Applies a record of this VM that is known to be the last one of the log.
    fn confirm(&mut self, sent: &OpenAppend, now: LeaseTime) -> Option<LeaseChange> {
        if self.log_end().is_some_and(|end| end > sent.at + 1) {
            // Another record followed before the answer arrived.
            self.must_read = true;
            return None;
        }
        let number = sent.record.number;
        let is_new = self.held_number() != Some(number);
        self.held = Some(HeldLease { number, confirmed_from: sent.sent_at });
        self.followed = None;
        self.lost_at = None;
        self.open.clear();
        self.tail = Some(KnownTail {
            end: sent.at + 1,
            seen_at: now,
            is_read: true,
            last: Some(sent.record.clone()),
        });
        is_new.then_some(LeaseChange::Claimed { number })
    }

    /// Applies the last record of the log, which is not a confirmation of a lease of this VM.
    fn follow(&mut self, last: Option<&DutyRecord>, now: LeaseTime) -> Option<LeaseChange> {
        if let Some(held) = self.held.take() {
            self.lost_at = Some(now);
            self.followed = last.map(|last| (last.holder.clone(), last.number));
            return Some(LeaseChange::Lost { number: held.number });
        }
        let last = last?;
        let followed = (last.holder.clone(), last.number);
        if self.followed.as_ref() == Some(&followed) {
            return None;
        }
        self.followed = Some(followed);
        Some(LeaseChange::Followed { holder: last.holder.clone(), number: last.number })
    }

    /// Returns the time since the end of the log last changed, as far as this VM knows.
    pub fn quiet_for(&self, now: LeaseTime) -> Option<Duration> {
        self.tail.as_ref().map(|tail| now.shortest_since(tail.seen_at))
    }
}

/// Returns the number of a holder whose claim is appended at `end`.
fn claim_number(end: u64) -> u64 {
    end + 1
}
