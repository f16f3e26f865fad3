//! One fault of a plan file.

use std::fmt;

use serde::Serialize;

/// One fault of a plan file.
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
