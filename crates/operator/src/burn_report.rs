//! Report on service-level objectives.

use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};

use crate::{ObjectiveReport, TextTable, WorstEntry, time_text::format_time};

/// Report on service-level objectives over all VMs that responded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report.
    pub made_at: WallTime,
    /// Latest start of a VM that responded. Counts before this time are incomplete.
    pub counted_since: WallTime,
    /// Whether counts of a VM or of an objective are missing.
    pub partial: bool,
    /// VMs that responded.
    pub answered: Vec<String>,
    /// VMs that did not respond.
    pub missing: Vec<String>,
    /// Objectives that were left out for a VM, because its definition of them differs.
    pub differing: Vec<String>,
    /// Figures per objective.
    pub objectives: Vec<ObjectiveReport>,
}

impl BurnReport {
    /// Returns the lines that describe the coverage of the report.
    pub fn coverage(&self) -> Vec<String> {
        let mut lines = vec![
            format!("as of {}, {} VMs answered", format_time(self.made_at), self.answered.len()),
            format!("counted in full since {}", format_time(self.counted_since)),
        ];
        if !self.missing.is_empty() {
            lines.push(format!("PARTIAL: no counts from {}", self.missing.join(", ")));
        }
        if !self.differing.is_empty() {
            lines.push(format!("PARTIAL: other definition of {}", self.differing.join(", ")));
        }
        lines
    }

    /// Returns the table of figures.
    pub fn figure_table(&self) -> TextTable {
        let mut table = TextTable::new(&[
            "OBJECTIVE",
            "GOAL",
            "EVENTS",
            "BAD",
            "BUDGET LEFT",
            "5 MIN",
            "30 MIN",
            "1 H",
            "6 H",
            "P95",
            "ALERT",
        ]);
        for report in &self.objectives {
            let p95 = report.latency_us.get("p95");
            let rate = |minutes| format!("{:.2}", report.burn_rate(minutes));
            table.push([
                report.objective.name.clone(),
                format!("{:.3}%", report.objective.ratio * 100.0),
                report.total.to_string(),
                report.bad.to_string(),
                format!("{:.1}%", report.budget_left * 100.0),
                rate(5),
                rate(30),
                rate(60),
                rate(360),
                p95.map_or_else(|| "-".to_owned(), |p95| format!("{:.1} ms", *p95 as f64 / 1e3)),
                report.alert.to_string(),
            ]);
        }
        table
    }

    /// Returns the table of the worst teams, zones and versions.
    pub fn worst_table(&self) -> TextTable {
        let mut table =
            TextTable::new(&["OBJECTIVE", "WORST TEAMS", "WORST ZONES", "WORST VERSIONS"]);
        for report in &self.objectives {
            table.push([
                report.objective.name.clone(),
                WorstEntry::join(&report.worst_teams),
                WorstEntry::join(&report.worst_zones),
                WorstEntry::join(&report.worst_versions),
            ]);
        }
        table
    }
}
