//! Teams, zones and versions with the most bad events.

use std::collections::BTreeMap;

use dragonflycart_burn::BucketSeries;
use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};

/// Maximum number of entries in a list.
const ENTRY_LIMIT: usize = 5;
/// Period that the lists cover, 6 h.
const PERIOD_MS: u64 = 6 * 3_600_000;

/// A team, zone or version with bad events over the last 6 h.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorstEntry {
    /// Name.
    pub name: String,
    /// Bad events.
    pub bad: u64,
    /// All events.
    pub total: u64,
    /// Share of bad events.
    pub bad_share: f64,
}

impl WorstEntry {
    /// Returns the entries with the most bad events, in descending order.
    pub fn rank<K: ToString>(
        breakdown: &BTreeMap<K, BucketSeries>,
        now: WallTime,
    ) -> Vec<WorstEntry> {
        let mut entries = Vec::new();
        for (name, series) in breakdown {
            let counts = series.sum(now, PERIOD_MS);
            if counts.bad == 0 {
                continue;
            }
            entries.push(WorstEntry {
                name: name.to_string(),
                bad: counts.bad,
                total: counts.total(),
                bad_share: counts.bad_share(),
            });
        }
        entries.sort_by(|a, b| b.bad.cmp(&a.bad).then_with(|| a.name.cmp(&b.name)));
        entries.truncate(ENTRY_LIMIT);
        entries
    }

    /// Formats a list of entries on one line.
    pub fn join(entries: &[WorstEntry]) -> String {
        if entries.is_empty() {
            return "-".to_owned();
        }
        let texts = entries
            .iter()
            .map(|entry| format!("{} ({} of {})", entry.name, entry.bad, entry.total));
        texts.collect::<Vec<_>>().join(", ")
    }
}
