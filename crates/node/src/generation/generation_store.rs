//! Generations that callers can read on this VM.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use dragonflycart_core::{GenerationId, MonoTime, RequestKey, TeamName};

use crate::generation::GenerationBuffer;

struct StoredGeneration {
    team: TeamName,
    buffer: Arc<GenerationBuffer>,
    /// Time at which [`GenerationStore::expire`] first found that the generation had ended.
    ended_at: Option<MonoTime>,
}

#[derive(Default)]
struct StoreState {
    generations: BTreeMap<u128, StoredGeneration>,
    by_key: BTreeMap<(TeamName, RequestKey), u128>,
    /// Streams that were begun at another VM and are read here.
    resumed: Vec<Weak<GenerationBuffer>>,
}

/// Generations by id. Each is kept for a while after its end, so that a caller that lost its
/// connection can fetch the rest.
#[derive(Default)]
pub(crate) struct GenerationStore {
    state: Mutex<StoreState>,
}

impl GenerationStore {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a generation. If the team already has a generation with the same key, returns that one
    /// and adds nothing.
    pub(crate) fn insert(
        &self,
        id: &GenerationId,
        team: &TeamName,
        key: Option<&RequestKey>,
        buffer: &Arc<GenerationBuffer>,
    ) -> Option<Arc<GenerationBuffer>> {
        let mut state = self.lock();
        if let Some(key) = key {
            let by_key = (team.clone(), key.clone());
            if let Some(unique) = state.by_key.get(&by_key).copied()
                && let Some(stored) = state.generations.get(&unique)
            {
                return Some(Arc::clone(&stored.buffer));
            }
            state.by_key.insert(by_key, id.unique());
        }
        let stored =
            StoredGeneration { team: team.clone(), buffer: Arc::clone(buffer), ended_at: None };
        state.generations.insert(id.unique(), stored);
        None
    }

    /// Adds a stream that was begun at another VM, so that a planned stop waits for it.
    pub(crate) fn add_resumed(&self, buffer: &Arc<GenerationBuffer>) {
        let mut state = self.lock();
        state.resumed.retain(is_open);
        state.resumed.push(Arc::downgrade(buffer));
    }

    /// Returns whether a stream that was begun at another VM is read here.
    pub(crate) fn has_resumed(&self) -> bool {
        self.lock().resumed.iter().any(is_open)
    }

    /// Returns the generation if it is stored here and belongs to `team`.
    pub(crate) fn find(&self, id: &GenerationId, team: &TeamName) -> Option<Arc<GenerationBuffer>> {
        let state = self.lock();
        let stored = state.generations.get(&id.unique())?;
        if &stored.team != team {
            return None;
        }
        Some(Arc::clone(&stored.buffer))
    }

    /// Removes a generation, whether it has ended or not.
    pub(crate) fn remove(&self, id: &GenerationId) {
        let mut state = self.lock();
        state.generations.remove(&id.unique());
        state.by_key.retain(|_, unique| *unique != id.unique());
    }

    /// Removes generations that ended at least `retention` ago, and abandons those that have had no
    /// reader for that long.
    pub(crate) fn expire(&self, now: MonoTime, retention: Duration) {
        let mut state = self.lock();
        state.generations.retain(|_, stored| {
            if stored.buffer.end().is_none() {
                if stored.buffer.unread_for().is_some_and(|span| span >= retention) {
                    stored.buffer.abandon();
                }
                return true;
            }
            let ended_at = *stored.ended_at.get_or_insert(now);
            now.since(ended_at) < retention
        });
        let StoreState { generations, by_key, .. } = &mut *state;
        by_key.retain(|_, unique| generations.contains_key(unique));
    }

    /// Returns the number of generations that have not ended.
    pub(crate) fn open_count(&self) -> usize {
        self.lock().generations.values().filter(|stored| stored.buffer.end().is_none()).count()
    }
}

fn is_open(buffer: &Weak<GenerationBuffer>) -> bool {
    buffer.upgrade().is_some_and(|buffer| buffer.end().is_none())
}
