//! Parts that were seen to be sound.

use std::collections::BTreeMap;

use dragonflycart_core::{MonoTime, PromptPart};

/// Number of parts after which the older half is dropped.
const PARTS_KEPT: usize = 2_048;

/// Recently seen sound parts, with the time at which each was last seen to be sound. At most twice
/// [`PARTS_KEPT`] are kept.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoundParts {
    recent: BTreeMap<PromptPart, MonoTime>,
    older: BTreeMap<PromptPart, MonoTime>,
}

impl SoundParts {
    /// Records that a part was sound at a given time.
    pub(crate) fn note(&mut self, part: PromptPart, at: MonoTime) {
        let latest = self.last_seen(part).map_or(at, |known| known.max(at));
        self.recent.insert(part, latest);
        if self.recent.len() >= PARTS_KEPT {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Returns when a part was last seen to be sound.
    pub(crate) fn last_seen(&self, part: PromptPart) -> Option<MonoTime> {
        self.recent.get(&part).or_else(|| self.older.get(&part)).copied()
    }
}
