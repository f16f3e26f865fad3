//! Parser for CSV as spreadsheet programs export it.

use std::str::FromStr;

use strum::IntoEnumIterator;

use crate::{SheetColumn, SheetProblem, SheetRow};

/// Separators that spreadsheet programs use, depending on the locale.
const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];

/// Reads the rows of a CSV file. Byte-order marks, any of three separators, a `sep=` line, line
/// breaks within quotes, blank rows and padded cells are accepted.
#[derive(Debug, Default)]
pub struct SheetReader {
    problems: Vec<SheetProblem>,
    columns: Vec<Option<SheetColumn>>,
    blank_headings: Vec<usize>,
}

impl SheetReader {
    /// Reads all rows. Also returns all problems of their syntax.
    pub fn read(bytes: &[u8]) -> (Vec<SheetRow>, Vec<SheetProblem>) {
        let mut reader = SheetReader::default();
        let rows = reader.read_rows(bytes);
        (rows, reader.problems)
    }

    fn report(&mut self, row: usize, column: &str, found: impl Into<String>, allowed: &str) {
        self.problems.push(SheetProblem {
            row,
            column: column.to_owned(),
            found: found.into(),
            allowed: allowed.to_owned(),
        });
    }

    fn read_rows(&mut self, bytes: &[u8]) -> Vec<SheetRow> {
        let Ok(text) = std::str::from_utf8(bytes) else {
            self.report(0, "", "text that is not UTF-8", "CSV in UTF-8, with or without a mark");
            return Vec::new();
        };
        let text = text.trim_start_matches('\u{feff}');
        let (separator, text, skipped) = find_separator(text);
        let (text, open_quote) = fill_blank_lines(text, separator);
        if let Some(row) = open_quote {
            self.report(row + skipped, "", "a quote that is not closed", "pairs of quotes");
        }
        let mut records = csv::ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .delimiter(separator)
            .from_reader(text.as_bytes());
        let mut rows = Vec::new();
        let mut seen_headings = false;
        for (index, record) in records.records().enumerate() {
            let number = index + 1 + skipped;
            let record = match record {
                Ok(record) => record,
                Err(error) => {
                    self.report(number, "", error.to_string(), "a row of CSV");
                    continue;
                }
            };
            let cells: Vec<String> = record.iter().map(clean_cell).collect();
            if cells.iter().all(String::is_empty) {
                continue;
            }
            if !seen_headings {
                seen_headings = true;
                self.read_headings(number, &cells);
                continue;
            }
            rows.push(self.read_cells(number, cells));
        }
        if !seen_headings {
            self.report(0, "", "no rows", "a row of headings and rows of a plan");
        }
        rows
    }

    fn read_headings(&mut self, number: usize, cells: &[String]) {
        let known: Vec<&str> = SheetColumn::iter().map(<&str>::from).collect();
        let known = known.join(", ");
        for (index, cell) in cells.iter().enumerate() {
            if cell.is_empty() {
                self.blank_headings.push(index);
            }
            let name = cell.to_lowercase().replace([' ', '-'], "_");
            let column = SheetColumn::from_str(&name).ok();
            if column.is_none() && !cell.is_empty() {
                self.report(number, cell, "an unknown heading", &known);
            }
            if column.is_some() && self.columns.contains(&column) {
                self.report(number, cell, "a heading given twice", "each heading once");
            }
            self.columns.push(column);
        }
        for column in SheetColumn::iter() {
            let optional =
                matches!(column, SheetColumn::Note | SheetColumn::State | SheetColumn::Needs);
            if !optional && !self.columns.contains(&Some(column)) {
                self.report(number, <&str>::from(column), "no such heading", &known);
            }
        }
    }

    fn read_cells(&mut self, number: usize, cells: Vec<String>) -> SheetRow {
        let mut row = SheetRow { number, cells: Default::default() };
        for (index, cell) in cells.into_iter().enumerate() {
            if cell.is_empty() {
                continue;
            }
            match self.columns.get(index) {
                Some(Some(column)) => {
                    row.cells.insert(*column, cell);
                }
                // The unknown heading was reported already.
                Some(None) if !self.blank_headings.contains(&index) => {}
                _ => self.report(number, "", format!("{cell:?} without a heading"), "blank"),
            }
        }
        row
    }
}

/// Trims a cell and replaces each run of white space, line breaks included, with one space.
fn clean_cell(cell: &str) -> String {
    cell.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns the separator, the text after a `sep=` line, and the number of rows skipped.
fn find_separator(text: &str) -> (u8, &str, usize) {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    if let [b's' | b'S', b'e' | b'E', b'p' | b'P', b'=', separator] = first.trim_end().as_bytes()
        && SEPARATORS.contains(separator)
    {
        return (*separator, rest, 1);
    }
    let headings = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default();
    let count = |separator: &u8| headings.bytes().filter(|byte| byte == separator).count();
    let separator = SEPARATORS.into_iter().rev().max_by_key(count).unwrap_or(b',');
    (separator, text, 0)
}

/// Adds a separator to each empty line outside quotes. The CSV parser skips empty lines, so that
/// its row numbers would differ from those of the spreadsheet. Also returns the row of a quote that
/// is not closed.
fn fill_blank_lines(text: &str, separator: u8) -> (String, Option<usize>) {
    let mut filled = String::with_capacity(text.len());
    let mut row = 1;
    let mut quote_row = None;
    let mut line_is_empty = true;
    for character in text.chars() {
        match character {
            '"' => quote_row = if quote_row.is_some() { None } else { Some(row) },
            '\n' if quote_row.is_none() => {
                if line_is_empty {
                    filled.push(char::from(separator));
                }
                row += 1;
            }
            '\r' if quote_row.is_none() => continue,
            _ => {}
        }
        filled.push(character);
        line_is_empty = character == '\n' && quote_row.is_none();
    }
    (filled, quote_row)
}
