//! Plan file, which operators export from a spreadsheet each morning.

use std::{collections::BTreeMap, str::FromStr};

use dragonflycart_core::{
    ModelName, ModelPlacement, MoveId, OperatingPlan, VersionMove, VersionName, WallTime, ZoneName,
    ZonePlan, ZoneState,
};

use crate::{
    RowKind, SheetChecker, SheetColumn, SheetContext, SheetProblem, SheetReader, SheetRow,
    time_text::parse_time,
};

/// Syntax of a name, for messages.
const NAME_FORM: &str = "a name of ASCII letters, digits and \"-_.:/\"";
/// Syntax of a time, for messages.
const TIME_FORM: &str = "a time with an explicit offset, for example 2026-12-04T18:00+04:00";
/// Greatest accepted concurrency limit, far above the load of a zone at the scale for which the
/// system is designed.
const MAX_CONCURRENCY_LIMIT: u32 = 1_000_000;

/// Parsed rows of a plan file by kind, each with its row number for messages.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanSheet {
    /// Zones: row, name, state if given, concurrency limit.
    pub(crate) zones: Vec<(usize, ZoneName, Option<ZoneState>, u32)>,
    /// Served versions: row, placement, minimum concurrency.
    pub(crate) serves: Vec<(usize, ModelPlacement, u32)>,
    /// Moves: row, id, move.
    pub(crate) moves: Vec<(usize, MoveId, VersionMove)>,
    problems: Vec<SheetProblem>,
}

impl PlanSheet {
    /// Reads and checks a plan file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, sorted by row.
    pub fn read(bytes: &[u8], context: &SheetContext) -> Result<OperatingPlan, Vec<SheetProblem>> {
        let (rows, problems) = SheetReader::read(bytes);
        // Without rows every zone would be reported as missing, which would hide the actual
        // problem.
        if rows.is_empty() && !problems.is_empty() {
            return Err(problems);
        }
        let mut sheet = PlanSheet { problems, ..PlanSheet::default() };
        for row in &rows {
            sheet.read_row(row);
        }
        let mut problems = std::mem::take(&mut sheet.problems);
        problems.extend(SheetChecker::new(&sheet, context).check_all());
        if problems.is_empty() {
            return Ok(sheet.into_plan(&context.active));
        }
        problems.sort();
        problems.dedup();
        Err(problems)
    }

    fn into_plan(self, active: &OperatingPlan) -> OperatingPlan {
        let mut zones = BTreeMap::new();
        for (_, zone, stated, concurrency_limit) in self.zones {
            let current = active.zones.get(&zone).map(|plan| plan.state);
            let state = stated.or(current).unwrap_or(ZoneState::In);
            zones.insert(zone, ZonePlan { state, concurrency_limit });
        }
        let mut placements: Vec<_> =
            self.serves.into_iter().map(|(_, placement, _)| placement).collect();
        placements.sort();
        let moves = self.moves.into_iter().map(|(_, id, version_move)| (id, version_move));
        OperatingPlan { zones, placements, moves: moves.collect() }
    }

    fn report(&mut self, row: &SheetRow, column: SheetColumn, allowed: &str) {
        let text = row.text(column);
        let found = if text.is_empty() { "a blank cell".to_owned() } else { format!("{text:?}") };
        self.problems.push(SheetProblem {
            row: row.number,
            column: column.to_string(),
            found,
            allowed: allowed.to_owned(),
        });
    }

    fn read_row(&mut self, row: &SheetRow) {
        let Ok(kind) = RowKind::from_str(&row.text(SheetColumn::Kind).to_lowercase()) else {
            self.report(row, SheetColumn::Kind, "zone, serve or move");
            return;
        };
        for column in row.cells.keys() {
            if !kind.accepts(*column) {
                self.report(row, *column, &format!("blank in rows of kind {kind}"));
            }
        }
        // Each cell is read even if an earlier one is invalid, so that all problems are reported.
        match kind {
            RowKind::Zone => self.read_zone(row),
            RowKind::Serve => self.read_serve(row),
            RowKind::Move => self.read_move(row),
        }
    }

    fn name<T: FromStr>(&mut self, row: &SheetRow, column: SheetColumn) -> Option<T> {
        let name = row.text(column).parse().ok();
        if name.is_none() {
            self.report(row, column, NAME_FORM);
        }
        name
    }

    fn number(&mut self, row: &SheetRow, column: SheetColumn, min: u32) -> Option<u32> {
        let number = row.text(column).parse().ok();
        let number = number.filter(|number| (min..=MAX_CONCURRENCY_LIMIT).contains(number));
        if number.is_none() {
            let allowed = format!("a whole number from {min} to {MAX_CONCURRENCY_LIMIT}");
            self.report(row, column, &allowed);
        }
        number
    }

    fn time(&mut self, row: &SheetRow, column: SheetColumn) -> Option<WallTime> {
        let time = parse_time(row.text(column));
        if time.is_none() {
            self.report(row, column, TIME_FORM);
        }
        time
    }

    fn read_zone(&mut self, row: &SheetRow) {
        let zone = self.name::<ZoneName>(row, SheetColumn::Zone);
        let concurrency_limit = self.number(row, SheetColumn::ConcurrencyLimit, 0);
        let state = match row.text(SheetColumn::State).to_lowercase().as_str() {
            "" => Some(None),
            text => ZoneState::from_str(text).ok().map(Some),
        };
        if state.is_none() {
            self.report(row, SheetColumn::State, "in, out or blank for no change");
        }
        if let (Some(zone), Some(state), Some(concurrency_limit)) = (zone, state, concurrency_limit)
        {
            self.zones.push((row.number, zone, state, concurrency_limit));
        }
    }

    fn read_serve(&mut self, row: &SheetRow) {
        let zone = self.name::<ZoneName>(row, SheetColumn::Zone);
        let model = self.name::<ModelName>(row, SheetColumn::Model);
        let version = self.name::<VersionName>(row, SheetColumn::Version);
        let needs = match row.text(SheetColumn::Needs) {
            "" => Some(1),
            _ => self.number(row, SheetColumn::Needs, 1),
        };
        if let (Some(zone), Some(model), Some(version), Some(needs)) = (zone, model, version, needs)
        {
            self.serves.push((row.number, ModelPlacement { zone, model, version }, needs));
        }
    }

    fn read_move(&mut self, row: &SheetRow) {
        // `MoveId` does not validate its text, so the id is parsed as a model name, which has the
        // same syntax.
        let id = self.name::<ModelName>(row, SheetColumn::Move);
        let model = self.name(row, SheetColumn::Model);
        let from = self.name(row, SheetColumn::From);
        let to = self.name(row, SheetColumn::To);
        let start = self.time(row, SheetColumn::Start);
        let deadline = self.time(row, SheetColumn::Deadline);
        let (Some(id), Some(model), Some(from), Some(to)) = (id, model, from, to) else { return };
        let (Some(start), Some(deadline)) = (start, deadline) else { return };
        let id = MoveId(id.as_str().to_owned());
        self.moves.push((row.number, id, VersionMove { model, from, to, start, deadline }));
    }
}
