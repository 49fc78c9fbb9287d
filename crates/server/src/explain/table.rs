//! Layout of the report's tables as text: each column is as wide as its widest cell.

use std::fmt;

/// Heading and alignment of a column.
#[derive(Clone, Copy, Debug)]
pub(super) struct Column {
    heading: &'static str,
    is_number: bool,
}

impl Column {
    /// Returns a left-aligned column.
    pub(super) const fn text(heading: &'static str) -> Self {
        Self { heading, is_number: false }
    }

    /// Returns a right-aligned column.
    pub(super) const fn numeric(heading: &'static str) -> Self {
        Self { heading, is_number: true }
    }
}

/// A table with a title, column headings and rows.
#[derive(Clone, Debug)]
pub(super) struct Table {
    title: String,
    columns: Vec<Column>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(title: String, columns: &[Column]) -> Self {
        Self { title, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with one cell for each column.
    pub(super) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_width(&self, index: usize, column: &Column) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(index));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(column.heading.len())
    }

    fn write_row<'c>(
        &self,
        formatter: &mut fmt::Formatter<'_>,
        cells: impl Iterator<Item = &'c str>,
    ) -> fmt::Result {
        let mut line = String::new();
        for (index, (cell, column)) in cells.zip(&self.columns).enumerate() {
            let width = self.column_width(index, column);
            line.push_str("  ");
            let padded = if column.is_number {
                format!("{cell:>width$}")
            } else {
                format!("{cell:<width$}")
            };
            line.push_str(&padded);
        }
        writeln!(formatter, "{}", line.trim_end())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.title)?;
        self.write_row(formatter, self.columns.iter().map(|column| column.heading))?;
        for row in &self.rows {
            self.write_row(formatter, row.iter().map(String::as_str))?;
        }
        Ok(())
    }
}
