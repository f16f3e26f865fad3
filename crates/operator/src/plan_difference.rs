//! Differences between two plans.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{OperatingPlan, VersionMove, ZonePlan};
use serde::Serialize;

use crate::{TextTable, time_text::format_time};

/// One entry that differs between two plans. If one of the texts is `None`, the entry was added or
/// removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlanDifference {
    /// Entry, for example `zone muscat-1`.
    pub entry: String,
    /// Text of the entry in the first plan.
    pub before: Option<String>,
    /// Text of the entry in the second plan.
    pub after: Option<String>,
}

impl PlanDifference {
    /// Returns all entries that differ, sorted by kind and name.
    pub fn between(before: &OperatingPlan, after: &OperatingPlan) -> Vec<PlanDifference> {
        let before = describe_plan(before);
        let after = describe_plan(after);
        let entries: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let mut differences = Vec::new();
        for entry in entries {
            let (old, new) = (before.get(entry), after.get(entry));
            if old != new {
                differences.push(PlanDifference {
                    entry: entry.clone(),
                    before: old.cloned(),
                    after: new.cloned(),
                });
            }
        }
        differences
    }

    /// Returns a table of differences.
    pub fn table(differences: &[PlanDifference], headings: [&str; 2]) -> TextTable {
        let mut table = TextTable::new(&["ENTRY", headings[0], headings[1]]);
        let side = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
        for difference in differences {
            table.push([
                difference.entry.clone(),
                side(&difference.before),
                side(&difference.after),
            ]);
        }
        table
    }

    /// Returns a table of all entries of one plan.
    pub fn plan_table(plan: &OperatingPlan) -> TextTable {
        let mut table = TextTable::new(&["ENTRY", "CONTENT"]);
        for (entry, content) in describe_plan(plan) {
            table.push([entry, content]);
        }
        table
    }
}

fn describe_plan(plan: &OperatingPlan) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    for (zone, zone_plan) in &plan.zones {
        entries.insert(format!("zone {zone}"), describe_zone(zone_plan));
    }
    for placed in &plan.placements {
        let entry = format!("serve {} {} in {}", placed.model, placed.version, placed.zone);
        entries.insert(entry, "placed".to_owned());
    }
    for (id, planned) in &plan.moves {
        entries.insert(format!("move {id}"), describe_move(planned));
    }
    entries
}

fn describe_zone(plan: &ZonePlan) -> String {
    format!("{}, carries {}", plan.state, plan.concurrency_limit)
}

fn describe_move(planned: &VersionMove) -> String {
    format!(
        "{} {} to {}, {} to {}",
        planned.model,
        planned.from,
        planned.to,
        format_time(planned.start),
        format_time(planned.deadline)
    )
}
