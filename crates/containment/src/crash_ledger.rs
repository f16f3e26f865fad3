//! Ledger of the crashes of engines and of the parts of prompts that may have caused them.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use dragonflycart_core::{MonoTime, PromptPart};

use crate::{
    ContainedPart, EngineRun, LedgerChange, PartVerdict, SuspectRecord,
    broken_generation::BrokenGeneration, sound_parts::SoundParts, suspect_part::SuspectPart,
};

/// Time for which an engine has to write a response to show that the prompt does not crash it.
pub const WRITING_PROOF: Duration = Duration::from_millis(1_000);

/// Number of crashes after which a part is contained that was never seen to be sound.
const CRASHES_UNPROVEN: usize = 3;
/// The same for a part that was sound at some time before these crashes.
const CRASHES_PROVEN: usize = 5;
/// Maximum time between a broken response and the end of its engine for both to belong together.
const END_WINDOW: Duration = Duration::from_secs(3);
/// Time for which broken responses are kept, in case their engine turns out to have ended.
const BREAK_MEMORY: Duration = Duration::from_secs(15);
/// Maximum number of broken responses kept.
const BREAKS_KEPT: usize = 256;
/// Maximum number of ended engines kept.
const ENDS_KEPT: usize = 512;
/// Time from its last crash for which a part that is not contained stays suspect.
const SUSPECT_MEMORY: Duration = Duration::from_secs(10 * 60);
/// Time for which other VMs are told that a part was seen to be sound after it was suspected.
const SOUND_TOLD: Duration = Duration::from_secs(60);
/// Time without a crash or a request after which a contained part is forgotten.
const CONTAINED_MEMORY: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of suspect and contained parts.
const SUSPECTS_KEPT: usize = 256;

/// Evidence of all VMs about parts of prompts that may crash engines.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    suspects: BTreeMap<PromptPart, SuspectPart>,
    sound: SoundParts,
    breaks: VecDeque<BrokenGeneration>,
    ends: BTreeMap<EngineRun, MonoTime>,
    has_news: bool,
}

impl CrashLedger {
    /// Records that a response broke off that the engine had begun to write less than
    /// [`WRITING_PROOF`] before. It counts once the engine is known to have ended.
    pub fn note_break(
        &mut self,
        engine: EngineRun,
        parts: &[PromptPart],
        now: MonoTime,
    ) -> Vec<LedgerChange> {
        let broken = BrokenGeneration { engine, parts: parts.to_vec(), at: now };
        let mut changes = Vec::new();
        if self.has_ended_near(engine, now) {
            self.add_evidence(&broken, &mut changes);
        }
        self.breaks.push_back(broken);
        if self.breaks.len() > BREAKS_KEPT {
            self.breaks.pop_front();
        }
        self.update(&mut changes);
        changes
    }

    /// Records that an engine ended at time `at` without notice.
    pub fn note_engine_end(&mut self, engine: EngineRun, at: MonoTime) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        self.end_engine(engine, at, &mut changes);
        self.update(&mut changes);
        changes
    }

    /// Records that a generation with these parts was answered whole, or that an engine has been
    /// writing the answer for [`WRITING_PROOF`].
    pub fn note_sound(&mut self, parts: &[PromptPart], now: MonoTime) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        for part in parts {
            self.clear(*part, now, &mut changes);
        }
        if !changes.is_empty() {
            self.update(&mut changes);
        }
        changes
    }

    /// Returns whether a request with these parts may be sent. `trial` is the part for whose trial
    /// the request was admitted.
    pub fn check(
        &self,
        parts: &[PromptPart],
        trial: Option<PromptPart>,
        now: MonoTime,
    ) -> PartVerdict {
        for part in parts {
            let Some(state) = self.suspects.get(part).filter(|state| state.is_contained()) else {
                continue;
            };
            let Some(last_crash) = state.last_crash() else { continue };
            let schedule = state.schedule(self.is_doubtful(*part, state));
            let round = schedule.round(last_crash, now);
            let described = ContainedPart {
                part: *part,
                crashes: state.count(),
                retry_after: schedule.retry_after(last_crash, now),
                trial_vms: round.map_or(Some(0), |round| round.vms),
            };
            match round {
                None => return PartVerdict::Contained(described),
                Some(_) if trial == Some(*part) => {}
                Some(round) => {
                    return PartVerdict::TrialDue { part: described, round: round.number };
                }
            }
        }
        PartVerdict::Allowed
    }

    /// Begins the trial of a part. Returns false if this VM has already begun one in this round.
    pub fn begin_trial(&mut self, part: PromptPart, round: u64) -> bool {
        self.suspects.get_mut(&part).is_some_and(|state| state.begin_trial(round))
    }

    /// Records that a request with a contained part was refused.
    pub fn note_refused(&mut self, part: PromptPart, now: MonoTime) {
        if let Some(state) = self.suspects.get_mut(&part) {
            state.refused_at = Some(now);
        }
    }

    /// Returns what is known about all suspect parts, those with most crashes first.
    pub fn records(&self, now: MonoTime) -> Vec<SuspectRecord> {
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(part, state)| {
            (!state.is_contained(), std::cmp::Reverse(state.count()), **part)
        });
        suspects
            .into_iter()
            .map(|(part, state)| state.record(*part, self.sound_at(*part), now))
            .collect()
    }

    /// Merges records of another VM.
    pub fn merge(&mut self, records: &[SuspectRecord], now: MonoTime) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        for record in records {
            self.merge_record(record, now, &mut changes);
        }
        self.update(&mut changes);
        for record in records {
            let Some(age) = record.contained_age else { continue };
            let Some(state) = self.suspects.get_mut(&record.part) else { continue };
            state.contained_at = state.contained_at.map(|at| at.min(now - age));
        }
        changes
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LedgerChange> {
        let mut changes = Vec::new();
        self.breaks.retain(|broken| now.since(broken.at) <= BREAK_MEMORY);
        self.ends.retain(|_, at| now.since(*at) <= SUSPECT_MEMORY);
        self.suspects.retain(|part, state| {
            let memory = match (state.is_contained(), state.crashes.is_empty()) {
                (true, _) => CONTAINED_MEMORY,
                (false, false) => SUSPECT_MEMORY,
                (false, true) => SOUND_TOLD,
            };
            let is_kept = now.since(state.last_sign()) <= memory;
            if !is_kept && state.is_contained() {
                changes.push(LedgerChange::Forgotten { part: *part });
            }
            is_kept
        });
        changes
    }

    /// Returns whether something changed since the last call that the other VMs should be told.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns whether nothing is known that other VMs should be told.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether requests with a part are refused.
    pub fn is_contained(&self, part: PromptPart) -> bool {
        self.suspects.get(&part).is_some_and(|state| state.is_contained())
    }

    /// Returns the number of parts that are contained, and of those that are only suspect.
    pub fn counts(&self) -> (usize, usize) {
        let contained = self.suspects.values().filter(|state| state.is_contained()).count();
        let accused = self.suspects.values().filter(|state| !state.crashes.is_empty()).count();
        (contained, accused.saturating_sub(contained))
    }

    fn merge_record(
        &mut self,
        record: &SuspectRecord,
        now: MonoTime,
        changes: &mut Vec<LedgerChange>,
    ) {
        if let Some(age) = record.sound_age {
            self.clear(record.part, now - age, changes);
        }
        if let Some(sound_at) = self.sound_at(record.part)
            && lacks_sound(record, sound_at, now)
        {
            self.suspects.entry(record.part).or_default().sound_at = Some(sound_at);
            self.has_news = true;
        }
        for (engine, age) in &record.crashes {
            let at = now - *age;
            self.end_engine(*engine, at, changes);
            self.add_crash((record.part, record.depth), *engine, at, changes);
        }
        if let (Some(age), Some(state)) = (record.refused_age, self.suspects.get_mut(&record.part))
        {
            state.refused_at = state.refused_at.max(Some(now - age));
        }
    }

    fn sound_at(&self, part: PromptPart) -> Option<MonoTime> {
        let told = self.suspects.get(&part).and_then(|state| state.sound_at);
        self.sound.last_seen(part).max(told)
    }

    /// Returns whether a contained part may only have been present when its engines ended together
    /// for another reason: all of them ended at one moment, and the part was sound before, or an
    /// engine ended with them that had not begun a contained part.
    fn is_doubtful(&self, part: PromptPart, state: &SuspectPart) -> bool {
        state.has_one_moment() && (self.sound_at(part).is_some() || self.has_other_end_near(state))
    }

    fn has_other_end_near(&self, state: &SuspectPart) -> bool {
        let mut near = self.ends.iter().filter(|(_, at)| state.is_near(**at));
        near.any(|(engine, _)| !self.is_explained(*engine))
    }

    /// Returns whether an engine crashed on a contained part.
    fn is_explained(&self, engine: EngineRun) -> bool {
        let mut contained = self.suspects.values().filter(|state| state.is_contained());
        contained.any(|state| state.crashes.contains_key(&engine))
    }

    fn has_ended_near(&self, engine: EngineRun, at: MonoTime) -> bool {
        self.ends.get(&engine).is_some_and(|ended| is_near(*ended, at))
    }

    fn end_engine(&mut self, engine: EngineRun, at: MonoTime, changes: &mut Vec<LedgerChange>) {
        if self.ends.contains_key(&engine) {
            return;
        }
        self.ends.insert(engine, at);
        if self.ends.len() > ENDS_KEPT {
            let oldest = self.ends.iter().min_by_key(|(_, at)| **at).map(|(engine, _)| *engine);
            oldest.map(|engine| self.ends.remove(&engine));
        }
        let is_affected =
            |broken: &&BrokenGeneration| broken.engine == engine && is_near(at, broken.at);
        let broken: Vec<_> = self.breaks.iter().filter(is_affected).cloned().collect();
        for broken in broken {
            self.add_evidence(&broken, changes);
        }
    }

    fn add_evidence(&mut self, broken: &BrokenGeneration, changes: &mut Vec<LedgerChange>) {
        for (depth, part) in broken.parts.iter().enumerate() {
            self.add_crash((*part, depth as u32), broken.engine, broken.at, changes);
        }
    }

    /// Counts a crash against a part, unless the part was seen to be sound since.
    fn add_crash(
        &mut self,
        (part, depth): (PromptPart, u32),
        engine: EngineRun,
        at: MonoTime,
        changes: &mut Vec<LedgerChange>,
    ) {
        let sound_at = self.sound_at(part);
        if sound_at.is_some_and(|sound| at <= sound) {
            return;
        }
        let state = self.suspects.entry(part).or_default();
        state.sound_at = sound_at;
        state.depth = state.depth.max(depth);
        if state.add_crash(engine, at) {
            self.has_news = true;
            changes.push(LedgerChange::Suspected { part, crashes: state.count() });
        }
    }

    fn clear(&mut self, part: PromptPart, at: MonoTime, changes: &mut Vec<LedgerChange>) {
        self.sound.note(part, at);
        let Some(state) = self.suspects.get_mut(&part) else { return };
        let had_crashes = !state.crashes.is_empty();
        if state.note_sound(at) && had_crashes && state.crashes.is_empty() {
            self.has_news = true;
            changes.push(LedgerChange::Cleared { part });
        }
    }

    /// Decides anew which parts are contained: the part with most crashes explains these, then the
    /// one with most of the others, and so on. Among parts with the same crashes, the deepest one is
    /// taken, since the others are shared by more prompts. VMs with the same evidence decide alike.
    fn update(&mut self, changes: &mut Vec<LedgerChange>) {
        let mut explained = BTreeSet::new();
        let mut contained = BTreeSet::new();
        while let Some(part) = self.next_culprit(&explained, &contained) {
            explained.extend(self.suspects[&part].crashes.keys().copied());
            contained.insert(part);
        }
        for (part, state) in &mut self.suspects {
            let was_contained = state.is_contained();
            if !contained.contains(part) {
                state.contained_at = None;
            } else if !was_contained {
                state.contained_at = state.last_crash();
            }
            if state.is_contained() && !was_contained {
                self.has_news = true;
                changes.push(LedgerChange::Contained { part: *part, crashes: state.count() });
            } else if was_contained && !state.is_contained() && !state.crashes.is_empty() {
                changes.push(LedgerChange::Cleared { part: *part });
            }
        }
        self.suspects.retain(|_, state| !state.crashes.is_empty() || state.sound_at.is_some());
        self.evict();
    }

    /// Returns the part with most crashes that `explained` does not contain, if they are enough.
    fn next_culprit(
        &self,
        explained: &BTreeSet<EngineRun>,
        contained: &BTreeSet<PromptPart>,
    ) -> Option<PromptPart> {
        let mut best: Option<(usize, u32, PromptPart)> = None;
        for (part, state) in &self.suspects {
            if contained.contains(part) {
                continue;
            }
            let open = state.crashes.keys().filter(|engine| !explained.contains(engine)).count();
            let needed = match self.sound_at(*part) {
                Some(_) => CRASHES_PROVEN,
                None => CRASHES_UNPROVEN,
            };
            // A crash that two contained parts share must not release one of them.
            if open + usize::from(state.is_contained()) >= needed {
                best = best.max(Some((open, state.depth, *part)));
            }
        }
        best.map(|(_, _, part)| part)
    }

    /// Drops the least suspect parts beyond the limit.
    fn evict(&mut self) {
        while self.suspects.len() > SUSPECTS_KEPT {
            let least = self.suspects.iter().min_by_key(|(part, state)| {
                (state.is_contained(), state.count(), state.last_sign(), **part)
            });
            let Some(part) = least.map(|(part, _)| *part) else { return };
            self.suspects.remove(&part);
        }
    }
}

fn is_near(ended: MonoTime, broken: MonoTime) -> bool {
    let apart = ended.since(broken).max(broken.since(ended));
    apart <= END_WINDOW
}

/// Returns whether the sender of a record does not know that the part was seen to be sound, or
/// counts crashes from before that.
fn lacks_sound(record: &SuspectRecord, sound_at: MonoTime, now: MonoTime) -> bool {
    if record.crashes.is_empty() {
        return false;
    }
    let is_older = record.crashes.iter().any(|(_, age)| now - *age <= sound_at);
    match record.sound_age {
        Some(age) => is_older && now - age < sound_at,
        None => true,
    }
}
