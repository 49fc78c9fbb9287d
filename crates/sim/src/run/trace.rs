//! Hash over everything that happened in a run, in order.

use sha2::{Digest, Sha256};
use std::fmt::{self, Write};

/// Hash of a run, and its lines where they are wanted.
pub(crate) struct Trace {
    hasher: Sha256,
    lines: Option<Vec<String>>,
    line: String,
}

impl Trace {
    pub fn new(keep_lines: bool) -> Self {
        Self { hasher: Sha256::new(), lines: keep_lines.then(Vec::new), line: String::new() }
    }

    pub fn push(&mut self, line: fmt::Arguments<'_>) {
        self.line.clear();
        // Writing to a string does not fail.
        let _ = self.line.write_fmt(line);
        self.hasher.update(self.line.as_bytes());
        self.hasher.update([b'\n']);
        if let Some(lines) = &mut self.lines {
            lines.push(self.line.clone());
        }
    }

    /// The hash as hexadecimal text, and the lines.
    pub fn finish(self) -> (String, Vec<String>) {
        let mut text = String::new();
        for byte in self.hasher.finalize() {
            let _ = write!(text, "{byte:02x}");
        }
        (text, self.lines.unwrap_or_default())
    }
}
