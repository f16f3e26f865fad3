//! Validation across the rows of a plan file.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{ModelName, VersionMove, VersionName, ZoneName, ZoneState};

use crate::{PlanSheet, SheetColumn, SheetContext, SheetProblem, time_text::format_time};

/// Checks that the rows of a plan file are consistent with each other and with the deployment.
pub struct SheetChecker<'a> {
    sheet: &'a PlanSheet,
    context: &'a SheetContext,
    problems: Vec<SheetProblem>,
}

impl<'a> SheetChecker<'a> {
    /// Creates a checker of `sheet`.
    pub fn new(sheet: &'a PlanSheet, context: &'a SheetContext) -> SheetChecker<'a> {
        SheetChecker { sheet, context, problems: Vec::new() }
    }

    /// Runs all checks and returns the problems.
    pub fn check_all(mut self) -> Vec<SheetProblem> {
        self.check_duplicates();
        self.check_zones();
        self.check_models();
        self.check_concurrency_limits();
        for (row, id, version_move) in &self.sheet.moves {
            let active = self.context.active.moves.get(id);
            if active != Some(version_move) {
                self.check_times(*row, version_move);
                if active.is_some() {
                    let found = format!("{:?}, which names another move of the active plan", id.0);
                    self.report(*row, SheetColumn::Move, found, "a new name for a changed move");
                }
            }
            self.check_versions(*row, version_move);
        }
        self.check_conflicts();
        self.problems
    }

    fn report(
        &mut self,
        row: usize,
        column: SheetColumn,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.problems.push(SheetProblem {
            row,
            column: column.to_string(),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    fn check_duplicates(&mut self) {
        let mut keys = BTreeMap::new();
        let sheet = self.sheet;
        let zones = sheet
            .zones
            .iter()
            .map(|(row, zone, ..)| (*row, SheetColumn::Zone, format!("zone {zone}")));
        let serves = sheet.serves.iter().map(|(row, placement, _)| {
            let key = format!("{} {} in {}", placement.model, placement.version, placement.zone);
            (*row, SheetColumn::Version, key)
        });
        let moves =
            sheet.moves.iter().map(|(row, id, _)| (*row, SheetColumn::Move, format!("move {id}")));
        for (row, column, key) in zones.chain(serves).chain(moves) {
            if let Some(first) = keys.get(&key) {
                self.report(row, column, format!("{key}, also in row {first}"), "one row for each");
                continue;
            }
            keys.insert(key, row);
        }
    }

    fn check_zones(&mut self) {
        let stated: BTreeSet<&ZoneName> =
            self.sheet.zones.iter().map(|(_, zone, ..)| zone).collect();
        if let Some(known) = &self.context.zones {
            for (row, zone, ..) in &self.sheet.zones {
                if !known.contains(zone) {
                    self.report(*row, SheetColumn::Zone, unknown(zone), list(known));
                }
            }
            for zone in known.iter().filter(|zone| !stated.contains(zone)) {
                self.problems.push(SheetProblem {
                    row: 0,
                    column: String::new(),
                    found: format!("no row of kind zone for {zone}"),
                    allowed: "one row for each zone of the deployment".to_owned(),
                });
            }
        }
        for (row, placement, _) in &self.sheet.serves {
            if !stated.contains(&placement.zone) {
                let allowed = format!("zones with a row of kind zone: {}", list(&stated));
                self.report(*row, SheetColumn::Zone, unknown(&placement.zone), allowed);
            }
        }
    }

    fn check_models(&mut self) {
        let Some(known) = &self.context.models else { return };
        let serves = self.sheet.serves.iter().map(|(row, placement, _)| (*row, &placement.model));
        let moves = self.sheet.moves.iter().map(|(row, _, planned)| (*row, &planned.model));
        for (row, model) in serves.chain(moves) {
            if !known.contains(model) {
                self.report(row, SheetColumn::Model, unknown(model), list(known));
            }
        }
    }

    /// Checks that each zone has room for all its versions. The two versions of a move run at the
    /// same time, so the needs of all versions in a zone add up.
    fn check_concurrency_limits(&mut self) {
        for (row, zone, stated, concurrency_limit) in &self.sheet.zones {
            let current = self.context.active.zones.get(zone).map(|plan| plan.state);
            if stated.or(current) == Some(ZoneState::Out) {
                continue;
            }
            let serves = self.sheet.serves.iter().filter(|(_, placed, _)| placed.zone == *zone);
            let needs: u64 = serves.clone().map(|(.., needs)| u64::from(*needs)).sum();
            if u64::from(*concurrency_limit) < needs {
                let versions: Vec<_> = serves
                    .map(|(_, placed, needs)| {
                        format!("{} {} {needs}", placed.model, placed.version)
                    })
                    .collect();
                let allowed = format!(
                    "at least {needs}, which the versions need together ({})",
                    versions.join(", ")
                );
                self.report(
                    *row,
                    SheetColumn::ConcurrencyLimit,
                    concurrency_limit.to_string(),
                    allowed,
                );
            }
        }
    }

    fn check_times(&mut self, row: usize, planned: &VersionMove) {
        let now = self.context.now;
        for (column, time) in
            [(SheetColumn::Start, planned.start), (SheetColumn::Deadline, planned.deadline)]
        {
            if time <= now {
                self.problems.push(SheetProblem::time_passed(row, column, time, now));
            }
        }
        if planned.deadline <= planned.start {
            let allowed = format!("a time after the start, {}", format_time(planned.start));
            self.report(row, SheetColumn::Deadline, format_time(planned.deadline), allowed);
        }
    }

    fn zones_with(&self, model: &ModelName, version: &VersionName) -> BTreeSet<&'a ZoneName> {
        let serves = self.sheet.serves.iter();
        let placed =
            serves.filter(|(_, placed, _)| placed.model == *model && placed.version == *version);
        placed.map(|(_, placed, _)| &placed.zone).collect()
    }

    fn check_versions(&mut self, row: usize, planned: &VersionMove) {
        if planned.from == planned.to {
            let found = format!("{}, the version before the move", planned.to);
            self.report(row, SheetColumn::To, found, "another version");
            return;
        }
        let from_zones = self.zones_with(&planned.model, &planned.from);
        let to_zones = self.zones_with(&planned.model, &planned.to);
        let sides = [
            (SheetColumn::From, &planned.from, &from_zones),
            (SheetColumn::To, &planned.to, &to_zones),
        ];
        for (column, version, zones) in sides {
            if zones.is_empty() {
                let placed: BTreeSet<_> = self
                    .sheet
                    .serves
                    .iter()
                    .filter(|(_, placed, _)| placed.model == planned.model)
                    .map(|(_, placed, _)| &placed.version)
                    .collect();
                let found = format!("\"{version}\", which no row of kind serve places");
                let allowed = format!("placed versions of {}: {}", planned.model, list(&placed));
                self.report(row, column, found, allowed);
            }
        }
        let missing: BTreeSet<_> = from_zones.difference(&to_zones).copied().collect();
        if !to_zones.is_empty() && !missing.is_empty() {
            let found = format!("{}, which is not placed in {}", planned.to, list(&missing));
            let allowed = format!("a version placed in every zone that serves {}", planned.from);
            self.report(row, SheetColumn::To, found, allowed);
        }
    }

    /// Checks that the moves of one model form a sequence: they do not overlap, and each one starts
    /// from the version to which the previous one moved.
    fn check_conflicts(&mut self) {
        let mut by_model: BTreeMap<&ModelName, Vec<_>> = BTreeMap::new();
        for (row, id, planned) in &self.sheet.moves {
            by_model.entry(&planned.model).or_default().push((planned, *row, id));
        }
        for moves in by_model.values_mut() {
            moves.sort_by_key(|(planned, row, _)| (planned.start, *row));
            for pair in moves.windows(2) {
                let ((earlier, earlier_row, _), (later, row, id)) = (&pair[0], &pair[1]);
                if later.start < earlier.deadline {
                    let found = format!(
                        "move {id} from {} while the move of row {earlier_row} runs",
                        format_time(later.start)
                    );
                    let allowed = format!("a start at or after {}", format_time(earlier.deadline));
                    self.report(*row, SheetColumn::Start, found, allowed);
                } else if later.from != earlier.to {
                    let found = format!("{} after a move to {}", later.from, earlier.to);
                    let allowed = format!("{}, as in row {earlier_row}", earlier.to);
                    self.report(*row, SheetColumn::From, found, allowed);
                }
            }
        }
    }
}

fn unknown(name: impl std::fmt::Display) -> String {
    format!("\"{name}\", which is not known")
}

fn list<T: std::fmt::Display>(names: &BTreeSet<T>) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
