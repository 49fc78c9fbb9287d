//! Parses the `options` parameter of a startup message: `-c name=value` and `--name=value`.

use std::collections::BTreeMap;

/// Returns the settings assigned in the options, with names in lower case. Everything else in the
/// options is ignored.
pub(super) fn parse(text: &str) -> BTreeMap<String, String> {
    let mut settings = BTreeMap::new();
    let mut words = split_words(text).into_iter();
    while let Some(word) = words.next() {
        let assignment = match word.strip_prefix("-c").or_else(|| word.strip_prefix("--")) {
            Some("") => words.next(),
            Some(rest) => Some(rest.to_owned()),
            None => None,
        };
        if let Some((name, value)) = assignment.as_deref().and_then(|text| text.split_once('=')) {
            settings.insert(name.to_ascii_lowercase(), value.to_owned());
        }
    }
    settings
}

/// Splits a text at white space. A backslash escapes the character after it.
fn split_words(text: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            separator if separator.is_whitespace() => words.push(std::mem::take(&mut word)),
            other => word.push(other),
        }
    }
    words.push(word);
    words.retain(|word| !word.is_empty());
    words
}
