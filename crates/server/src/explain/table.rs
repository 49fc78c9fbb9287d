//! Tables of counts as text: columns as wide as their widest cell.
//!
//! It is for the tables of a summary. It owns how they are laid out and knows nothing of what they hold.

use std::fmt;

/// One column.
#[derive(Clone, Copy, Debug)]
pub(super) struct Column {
    heading: &'static str,
    is_number: bool,
}

impl Column {
    /// A column whose cells start at its left edge.
    pub(super) const fn text(heading: &'static str) -> Self {
        Self { heading, is_number: false }
    }

    /// A column whose cells end at its right edge.
    pub(super) const fn number(heading: &'static str) -> Self {
        Self { heading, is_number: true }
    }
}

/// Rows under a title and headings.
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

    /// Adds a row, a cell for each column.
    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, index: usize, column: &Column) -> usize {
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
            let width = self.width(index, column);
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
