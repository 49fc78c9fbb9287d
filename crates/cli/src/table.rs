//! Text tables with aligned columns.

use std::fmt;

/// Text table: rows below an optional header, with each column as wide as its widest cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    pub(crate) fn add_row<const CELLS: usize>(&mut self, cells: [String; CELLS]) {
        self.rows.push(cells.into());
    }

    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
        };
        (0..columns).map(|column| width(column).unwrap_or(0)).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.column_widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> =
                cells.map(|(cell, width)| format!("{cell:width$}", width = *width)).collect();
            writeln!(formatter, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}

/// Returns the text of a value, or a dash for `None`.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
