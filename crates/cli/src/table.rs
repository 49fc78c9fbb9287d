//! Columns for people.

use std::fmt;

/// Rows under a header, in columns as wide as their widest cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    pub(crate) fn row<const CELLS: usize>(&mut self, cells: [String; CELLS]) {
        self.rows.push(cells.into());
    }

    fn widths(&self) -> Vec<usize> {
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
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> =
                cells.map(|(cell, width)| format!("{cell:width$}", width = *width)).collect();
            writeln!(formatter, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}

/// A value, or a dash where there is none.
pub(crate) fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
