//! Kinds of rows of the plan file.

use strum::{Display, EnumString, IntoStaticStr};

use crate::SheetColumn;

/// Kind of a row of the plan file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RowKind {
    /// State and concurrency limit of an availability zone.
    Zone,
    /// A model version that is served in an availability zone.
    Serve,
    /// A version move.
    Move,
}

impl RowKind {
    /// Returns the columns that must not be blank.
    pub fn required(self) -> &'static [SheetColumn] {
        match self {
            RowKind::Zone => &[SheetColumn::Zone, SheetColumn::ConcurrencyLimit],
            RowKind::Serve => &[SheetColumn::Zone, SheetColumn::Model, SheetColumn::Version],
            RowKind::Move => &[
                SheetColumn::Model,
                SheetColumn::Move,
                SheetColumn::From,
                SheetColumn::To,
                SheetColumn::Start,
                SheetColumn::Deadline,
            ],
        }
    }

    /// Returns whether `column` may have a value.
    pub fn accepts(self, column: SheetColumn) -> bool {
        let optional: &[SheetColumn] = match self {
            RowKind::Zone => &[SheetColumn::State],
            RowKind::Serve => &[SheetColumn::Needs],
            RowKind::Move => &[],
        };
        matches!(column, SheetColumn::Kind | SheetColumn::Note)
            || self.required().contains(&column)
            || optional.contains(&column)
    }
}
