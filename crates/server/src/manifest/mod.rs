//! Manifests: resources as YAML documents, which operators can keep under version control.
//!
//! A file holds any number of documents of the form `{apiVersion, kind, metadata, spec}`.
//! Unknown keys are refused; `status` and `metadata.generation`, which `get` prints, are
//! ignored. Errors name the file, the number of the document, and the key and value.
//!
//! The core validates each spec by itself; [`check`] adds the checks across documents.

mod check;
mod error;
mod load;

pub use check::check;
pub use error::{ManifestError, ManifestValueError, ReferenceProblem};
pub use load::{Manifest, load, parse};
