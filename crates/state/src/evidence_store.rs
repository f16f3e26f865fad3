//! Request counters per model version. Each VM counts its own requests and merges the counters of
//! the others by maximum.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use dragonflycart_core::{Incarnation, ModelName, RouteName, VersionName, WallTime};
use dragonflycart_wire::{Evidence, EvidenceCounter};

use crate::{EvidenceCounts, EvidenceSubject, incarnation_from_wire, incarnation_to_wire};

/// Length of a time bucket in seconds. Old and new version are compared over equal buckets.
const BUCKET_S: u64 = 30;

/// Time for which buckets are kept.
const RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// Maximum number of counters over all VMs. At about 200 bytes each this is 6 MB.
const MAX_COUNTERS: usize = 32_768;

type CounterKey = (u64, Incarnation, EvidenceSubject);

/// Counters per time bucket, VM incarnation and subject.
#[derive(Debug, Clone, Default)]
pub struct EvidenceStore {
    counters: BTreeMap<CounterKey, EvidenceCounts>,
    /// Start of the first bucket that is accepted. It never decreases, so that no part of a removed
    /// bucket comes back.
    floor_s: u64,
}

impl EvidenceStore {
    /// Adds counts of this VM.
    pub fn count(
        &mut self,
        own: Incarnation,
        subject: EvidenceSubject,
        counts: EvidenceCounts,
        now: WallTime,
    ) {
        let bucket_s = bucket_of(now);
        if bucket_s < self.floor_s {
            return;
        }
        *self.counters.entry((bucket_s, own, subject)).or_default() += counts;
        self.trim(now);
    }

    /// Merges the counters of a peer. Buckets that are too old or that start in the future are
    /// ignored, as are counters with invalid names.
    pub fn merge(&mut self, evidence: &Evidence, now: WallTime) {
        let incarnation = incarnation_from_wire(&evidence.incarnation);
        let latest_s = bucket_of(now) + BUCKET_S;
        for counter in &evidence.counters {
            let Some(subject) = subject_of(counter) else {
                continue;
            };
            if counter.bucket_s < self.floor_s || counter.bucket_s > latest_s {
                continue;
            }
            let counts = EvidenceCounts {
                finished: counter.finished,
                failed: counter.failed,
                slow: counter.slow,
            };
            let key = (counter.bucket_s, incarnation, subject);
            self.counters.entry(key).or_default().merge_max(counts);
        }
        self.trim(now);
    }

    /// Returns the sum over all VMs of the buckets that start within `span`, in Unix seconds.
    pub fn total(&self, subject: &EvidenceSubject, span: Range<u64>) -> EvidenceCounts {
        let mut total = EvidenceCounts::default();
        for ((bucket_s, _, counted), counts) in &self.counters {
            if counted == subject && span.contains(bucket_s) {
                total += *counts;
            }
        }
        total
    }

    /// Returns the counters from `since_s` on as messages, one per incarnation. They include the
    /// counters received from other VMs, so that a VM relays them.
    pub fn to_wire(&self, since_s: u64) -> Vec<Evidence> {
        let mut messages: BTreeMap<Incarnation, Evidence> = BTreeMap::new();
        for ((bucket_s, incarnation, subject), counts) in &self.counters {
            if *bucket_s < since_s {
                continue;
            }
            let message = messages.entry(*incarnation).or_insert_with(|| Evidence {
                incarnation: incarnation_to_wire(*incarnation),
                counters: Vec::new(),
            });
            message.counters.push(EvidenceCounter {
                model: subject.model.to_string(),
                version: subject.version.to_string(),
                route: subject.route.to_string(),
                finished: counts.finished,
                failed: counts.failed,
                slow: counts.slow,
                bucket_s: *bucket_s,
            });
        }
        messages.into_values().collect()
    }

    /// Returns the number of counters.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    /// Removes the oldest buckets. A bucket is always removed as a whole.
    fn trim(&mut self, now: WallTime) {
        let oldest_s = bucket_of(now).saturating_sub(RETENTION.as_secs());
        self.raise_floor(oldest_s);
        while self.counters.len() > MAX_COUNTERS {
            let Some((bucket_s, _, _)) = self.counters.keys().next() else {
                return;
            };
            self.raise_floor(bucket_s + 1);
        }
    }

    fn raise_floor(&mut self, floor_s: u64) {
        if floor_s <= self.floor_s {
            return;
        }
        self.floor_s = floor_s;
        while let Some(entry) = self.counters.first_entry() {
            if entry.key().0 >= floor_s {
                return;
            }
            entry.remove();
        }
    }
}

fn bucket_of(now: WallTime) -> u64 {
    let seconds = now.as_unix_millis() / 1_000;
    seconds - seconds % BUCKET_S
}

fn subject_of(counter: &EvidenceCounter) -> Option<EvidenceSubject> {
    Some(EvidenceSubject {
        model: ModelName::new(&counter.model).ok()?,
        version: VersionName::new(&counter.version).ok()?,
        route: RouteName::new(&counter.route).ok()?,
    })
}
