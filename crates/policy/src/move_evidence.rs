//! Request counters of the two versions of a move, merged from all VMs.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{Incarnation, RouteName};

use crate::{MoveCounts, VersionRole};

/// Counters of the old and of the new version per route, summed over VMs.
type RouteSums = BTreeMap<RouteName, [MoveCounts; 2]>;

/// Counters of each VM per route and version.
type RouteSources = BTreeMap<(RouteName, VersionRole, Incarnation), MoveCounts>;

/// Request counters of both versions per time bucket and route, merged from all VMs.
///
/// The counters of each VM only grow and are merged by maximum, so late, repeated and reordered
/// messages have no effect.
#[derive(Debug, Clone, Default)]
pub struct MoveEvidence {
    /// Counters of each VM by start of the bucket.
    sources: BTreeMap<u64, RouteSources>,
    /// Sums over all VMs by start of the bucket.
    sums: BTreeMap<u64, RouteSums>,
    /// Buckets and routes that changed since the last call of [`MoveEvidence::take_changed`].
    changed: BTreeSet<(u64, RouteName)>,
    /// Start of the first bucket that is still accepted.
    first_s: u64,
}

impl MoveEvidence {
    /// Merges the counters of one VM for one bucket, route and version. Buckets that were already
    /// removed are ignored.
    pub fn merge(
        &mut self,
        source: Incarnation,
        bucket_s: u64,
        (route, role): (&RouteName, VersionRole),
        counts: MoveCounts,
    ) {
        if bucket_s < self.first_s || counts.total() == 0 {
            return;
        }
        let sources = self.sources.entry(bucket_s).or_default();
        let known = sources.entry((route.clone(), role, source)).or_default();
        let merged = known.highest(counts);
        if merged == *known {
            return;
        }
        let added = merged.since(*known);
        *known = merged;
        let sums = self.sums.entry(bucket_s).or_default().entry(route.clone()).or_default();
        sums[role as usize] = sums[role as usize].plus(added);
        self.changed.insert((bucket_s, route.clone()));
    }

    /// Returns the buckets that changed since the last call and start at or before `last_s`, with
    /// their sums of the old and of the new version. Later buckets stay marked as changed.
    pub fn take_changed(&mut self, last_s: u64) -> Vec<(u64, RouteName, [MoveCounts; 2])> {
        let mut taken = Vec::new();
        while self.changed.first().is_some_and(|key| key.0 <= last_s) {
            let Some((bucket_s, route)) = self.changed.pop_first() else { break };
            let sums = self.sums.get(&bucket_s).and_then(|sums| sums.get(&route));
            taken.push((bucket_s, route, sums.copied().unwrap_or_default()));
        }
        taken
    }

    /// Returns the concluded requests of both versions per route in the buckets from `first_s` up
    /// to, but not including, `end_s`.
    pub fn totals(&self, first_s: u64, end_s: u64) -> BTreeMap<RouteName, u64> {
        let mut totals = BTreeMap::new();
        for sums in self.sums.range(first_s..end_s.max(first_s)).map(|(_, sums)| sums) {
            for (route, counts) in sums {
                let total = counts[0].total() + counts[1].total();
                match totals.get_mut(route) {
                    Some(sum) => *sum += total,
                    None => _ = totals.insert(route.clone(), total),
                }
            }
        }
        totals
    }

    /// Removes buckets that start before `first_s` and ignores counters for them from now on.
    pub fn forget_before(&mut self, first_s: u64) {
        self.first_s = self.first_s.max(first_s);
        self.sources = self.sources.split_off(&self.first_s);
        self.sums = self.sums.split_off(&self.first_s);
        self.changed.retain(|key| key.0 >= self.first_s);
    }
}
