//! Tables in plain text.

/// Plain-text table with aligned columns.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the given column headings.
    pub fn new(headings: &[&str]) -> TextTable {
        TextTable::with_headings(headings.iter().map(|text| (*text).to_owned()).collect())
    }

    /// Creates a table whose number of columns depends on the contents.
    pub fn with_headings(headings: Vec<String>) -> TextTable {
        TextTable { rows: vec![headings] }
    }

    /// Adds a row to a table whose number of columns depends on the contents.
    pub fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Adds a row.
    pub fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns whether the table has no rows besides the headings.
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    /// Formats the table with one line per row and two spaces between columns.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
