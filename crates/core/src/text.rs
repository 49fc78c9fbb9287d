//! Texts of clients in log lines and errors, which must not grow with what a client sends.

/// Longest part of a text that is repeated, in characters: several times that of names and ids in use.
const MAX_REPEATED_CHARACTERS: usize = 256;

/// Returns the start of a text, to be repeated in a log line or an error; a text of ordinary length is returned
/// whole.
#[must_use]
pub fn shortened(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_REPEATED_CHARACTERS);
    end.map_or(text, |(end, _)| &text[..end])
}
