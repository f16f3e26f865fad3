//! Builder for a report from the counts of several VMs.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_burn::{BurnSnapshot, ObjectiveSnapshot};
use dragonflycart_core::WallTime;

use crate::{BurnReport, ObjectiveReport};

/// Merges the counts of several VMs into a report. Each incarnation is counted once, even if it was
/// queried twice.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BurnReportBuilder {
    incarnations: BTreeSet<String>,
    answered: BTreeSet<String>,
    missing: BTreeSet<String>,
    differing: BTreeSet<String>,
    counted_since: WallTime,
    now: WallTime,
    objectives: BTreeMap<String, ObjectiveSnapshot>,
}

impl BurnReportBuilder {
    /// Creates a builder without counts.
    pub fn new() -> BurnReportBuilder {
        BurnReportBuilder::default()
    }

    /// Adds the counts of a VM. Counts of an objective whose definition differs from that of an
    /// earlier VM are left out, and the report says so.
    pub fn add(&mut self, snapshot: &BurnSnapshot) {
        if !self.incarnations.insert(snapshot.incarnation.clone()) {
            return;
        }
        let vm = format!("{}/{}", snapshot.zone, snapshot.ordinal);
        self.answered.insert(vm.clone());
        self.counted_since = self.counted_since.max(snapshot.started_at);
        self.now = self.now.max(snapshot.taken_at);
        for counts in &snapshot.objectives {
            let name = &counts.objective.name;
            let Some(merged) = self.objectives.get_mut(name) else {
                self.objectives.insert(name.clone(), counts.clone());
                continue;
            };
            if !merged.merge(counts) {
                self.differing.insert(format!("{name} on {vm}"));
            }
        }
    }

    /// Adds a VM that did not respond.
    pub fn add_missing(&mut self, vm: String) {
        self.missing.insert(vm);
    }

    /// Returns whether the counts of an incarnation are included.
    pub fn has_incarnation(&self, incarnation: &str) -> bool {
        self.incarnations.contains(incarnation)
    }

    /// Returns whether the VM with this zone and ordinal, as in `a/0`, responded.
    pub fn has_responded(&self, vm: &str) -> bool {
        self.answered.contains(vm)
    }

    /// Returns whether no VM responded.
    pub fn is_empty(&self) -> bool {
        self.answered.is_empty()
    }

    /// Computes the report, as of the latest clock of the VMs that responded.
    pub fn into_report(self) -> BurnReport {
        let now = self.now;
        let objectives = self.objectives.values().map(|counts| ObjectiveReport::new(counts, now));
        BurnReport {
            made_at: now,
            counted_since: self.counted_since,
            partial: !self.missing.is_empty() || !self.differing.is_empty(),
            answered: self.answered.into_iter().collect(),
            missing: self.missing.into_iter().collect(),
            differing: self.differing.into_iter().collect(),
            objectives: objectives.collect(),
        }
    }
}
