//! Parses resource kinds as operators write them on the command line.

use corktack_control::api::{BINDINGS, CLASSES, GROUPS};
use corktack_core::resources::Kind;

/// Error for a word that names no resource kind; holds the word.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no kind of resource; there are group, class and binding")]
pub(crate) struct KindError(String);

/// Parses a resource kind, written in short form, in plural or as in manifests; case is ignored.
///
/// # Errors
/// Returns [`KindError`] when the word names no kind.
pub(crate) fn parse_kind(word: &str) -> Result<Kind, KindError> {
    match word.to_ascii_lowercase().as_str() {
        "group" | GROUPS | "databasegroup" => Ok(Kind::DatabaseGroup),
        "class" | CLASSES | "priorityclass" => Ok(Kind::PriorityClass),
        "binding" | BINDINGS => Ok(Kind::Binding),
        _ => Err(KindError(word.to_owned())),
    }
}
