//! Kinds of resources as operators write them.

use corktack_control::api::{BINDINGS, CLASSES, GROUPS};
use corktack_core::resources::Kind;

/// A word that names no kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no kind of resource; there are group, class and binding")]
pub(crate) struct KindError(String);

/// The kind that a word names: short, plural or as in manifests.
///
/// # Errors
/// [`KindError`] holds the word.
pub(crate) fn parse_kind(word: &str) -> Result<Kind, KindError> {
    match word.to_ascii_lowercase().as_str() {
        "group" | GROUPS | "databasegroup" => Ok(Kind::DatabaseGroup),
        "class" | CLASSES | "priorityclass" => Ok(Kind::PriorityClass),
        "binding" | BINDINGS => Ok(Kind::Binding),
        _ => Err(KindError(word.to_owned())),
    }
}
