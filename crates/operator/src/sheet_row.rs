//! One row of the plan file.

use std::collections::BTreeMap;

use crate::SheetColumn;

/// One row of the plan file that is not blank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetRow {
    /// Row as the spreadsheet numbers it.
    pub number: usize,
    /// Cells that are not blank, with white space trimmed.
    pub cells: BTreeMap<SheetColumn, String>,
}

impl SheetRow {
    /// Returns the text of a cell, or an empty text if it is blank.
    pub fn text(&self, column: SheetColumn) -> &str {
        self.cells.get(&column).map_or("", String::as_str)
    }
}
