//! One problem of a plan file.

use std::fmt;

use dragonflycart_core::WallTime;
use serde::Serialize;

use crate::{SheetColumn, time_text::format_time};

/// One problem of a plan file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SheetProblem {
    /// Row as the spreadsheet numbers it, headings included; 0 for the file as a whole.
    pub row: usize,
    /// Column heading; empty for the row as a whole.
    pub column: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl SheetProblem {
    /// Creates the problem of a time that has passed.
    pub(crate) fn time_passed(
        row: usize,
        column: SheetColumn,
        time: WallTime,
        now: WallTime,
    ) -> Self {
        SheetProblem {
            row,
            column: column.to_string(),
            found: format!("{}, which has passed", format_time(time)),
            allowed: format!("a time after {}", format_time(now)),
        }
    }
}

impl fmt::Display for SheetProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.row == 0 {
            write!(f, "file: ")?;
        } else if self.column.is_empty() {
            write!(f, "row {}: ", self.row)?;
        } else {
            write!(f, "row {}, column {}: ", self.row, self.column)?;
        }
        write!(f, "found {}; allowed: {}", self.found, self.allowed)
    }
}
