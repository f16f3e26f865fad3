//! Evidence against one part.

use std::collections::BTreeMap;

use dragonflycart_core::{MonoTime, PromptPart};

use crate::{
    EngineRun, SuspectRecord,
    trial_schedule::{COMMON_END_TIME, TrialSchedule},
};

/// Number of crashes kept; the oldest ones are dropped.
const CRASHES_KEPT: usize = 32;

/// Evidence against one part.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectPart {
    /// Position in the prompts.
    pub(crate) depth: u32,
    /// Crashes that count against it.
    pub(crate) crashes: BTreeMap<EngineRun, MonoTime>,
    /// Time at which it was last seen to be sound.
    pub(crate) sound_at: Option<MonoTime>,
    /// Time at which a request with it was last refused.
    pub(crate) refused_at: Option<MonoTime>,
    /// Time of the crash since which requests with it are refused.
    pub(crate) contained_at: Option<MonoTime>,
    /// Round in which this VM last tried it.
    trial_round: Option<u64>,
}

impl SuspectPart {
    /// Returns the number of crashes that count.
    pub(crate) fn count(&self) -> u32 {
        self.crashes.len() as u32
    }

    /// Returns whether requests with it are refused.
    pub(crate) fn is_contained(&self) -> bool {
        self.contained_at.is_some()
    }

    /// Returns the time of the last crash.
    pub(crate) fn last_crash(&self) -> Option<MonoTime> {
        self.crashes.values().max().copied()
    }

    /// Returns the time of the last sign of the part.
    pub(crate) fn last_sign(&self) -> MonoTime {
        let signs = [self.last_crash(), self.refused_at, self.sound_at];
        signs.into_iter().flatten().max().unwrap_or_default()
    }

    /// Adds a crash. Returns whether it is new and was not before the part was seen to be sound.
    pub(crate) fn add_crash(&mut self, engine: EngineRun, at: MonoTime) -> bool {
        if self.sound_at.is_some_and(|sound| at <= sound) || self.crashes.contains_key(&engine) {
            return false;
        }
        // The rounds of trials begin anew.
        if self.last_crash() < Some(at) {
            self.trial_round = None;
        }
        self.crashes.insert(engine, at);
        if self.crashes.len() > CRASHES_KEPT {
            let oldest = self.crashes.iter().min_by_key(|(_, at)| **at).map(|(engine, _)| *engine);
            oldest.map(|engine| self.crashes.remove(&engine));
            return oldest != Some(engine);
        }
        true
    }

    /// Records that the part was seen to be sound. Returns whether that is news.
    pub(crate) fn note_sound(&mut self, at: MonoTime) -> bool {
        if self.sound_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.sound_at = Some(at);
        self.crashes.retain(|_, crashed| *crashed > at);
        true
    }

    /// Returns whether all crashes came at one moment.
    pub(crate) fn has_one_moment(&self) -> bool {
        let first = self.crashes.values().min();
        first
            .is_some_and(|first| self.last_crash().is_some_and(|at| at <= *first + COMMON_END_TIME))
    }

    /// Returns whether an engine ended at the moment of these crashes.
    pub(crate) fn is_near(&self, ended: MonoTime) -> bool {
        self.crashes.values().any(|at| ended.since(*at).max(at.since(ended)) <= COMMON_END_TIME)
    }

    /// Returns when the part is tried. `is_doubtful` tells that the crashes may be a common end of
    /// the engines for another reason.
    pub(crate) fn schedule(&self, is_doubtful: bool) -> TrialSchedule {
        let tried = self.contained_at.map(|at| at + TrialSchedule::Crashes.hold_time());
        match is_doubtful {
            true => TrialSchedule::CommonEnd,
            false if self.last_crash() >= tried => TrialSchedule::FailedTrial,
            false => TrialSchedule::Crashes,
        }
    }

    /// Begins a trial. Returns false if this VM has already begun one in this round.
    pub(crate) fn begin_trial(&mut self, round: u64) -> bool {
        self.trial_round.replace(round) != Some(round)
    }

    /// Builds the record for other VMs.
    pub(crate) fn record(
        &self,
        part: PromptPart,
        sound_at: Option<MonoTime>,
        now: MonoTime,
    ) -> SuspectRecord {
        let age = |at: MonoTime| now.since(at);
        let crashes = self.crashes.iter().map(|(engine, at)| (*engine, age(*at))).collect();
        SuspectRecord {
            part,
            depth: self.depth,
            crashes,
            sound_age: sound_at.map(age),
            refused_age: self.refused_at.map(age),
            contained_age: self.contained_at.map(age),
        }
    }
}
