//! Manifests: resources as YAML documents, as operators keep them under version control.
//!
//! A file holds any number of documents of the form `{apiVersion, kind, metadata, spec}`.
//! Unknown keys are refused; `status` and `metadata.generation`, which `get` shows, are not
//! used. Errors name the file, the document's place in it, and the key and value.
//!
//! Relies on the core for what a declared part may hold; [`check`] adds what documents say together.

mod check;
mod error;
mod load;

pub use check::check;
pub use error::{ManifestError, ManifestValueError, ReferenceProblem};
pub use load::{Manifest, load, parse};
