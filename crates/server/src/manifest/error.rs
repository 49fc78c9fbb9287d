//! Why a manifest is refused.

use corktack_core::identity::NameError;
use corktack_core::resources::{API_VERSION, Kind, SpecError};
use std::path::{Path, PathBuf};

/// Why a manifest was refused.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The file or folder could not be read.
    #[error("manifest {}: cannot be read", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A document is not YAML of the expected form; the parser names the key.
    #[error("manifest {}, document {document}: {source} ({text:?})", file.display())]
    Form {
        /// The file.
        file: PathBuf,
        /// The document's place in it.
        document: usize,
        /// The line the parser points at, with its value.
        text: String,
        /// What the parser says.
        source: serde_yaml_ng::Error,
    },
    /// The format's version is not known.
    #[error(
        "manifest {}, document {document}: apiVersion = {value:?}: must be {API_VERSION:?}",
        file.display()
    )]
    ApiVersion {
        /// The file.
        file: PathBuf,
        /// The document's place in it.
        document: usize,
        /// The version found.
        value: String,
    },
    /// The name is not valid.
    #[error("manifest {}, document {document}: metadata.name = {value:?}", file.display())]
    Name {
        /// The file.
        file: PathBuf,
        /// The document's place in it.
        document: usize,
        /// The name found.
        value: String,
        /// What is wrong with it.
        source: NameError,
    },
    /// A value is well formed and not allowed, alone or beside the other documents.
    #[error(transparent)]
    Value(Box<ManifestValueError>),
}

/// A value of a manifest that is well formed and not allowed.
#[derive(Debug, thiserror::Error)]
#[error("manifest {}, document {document}: {key} = {value}: {problem}", file.display())]
pub struct ManifestValueError {
    /// The file.
    pub file: PathBuf,
    /// The document's place in it.
    pub document: usize,
    /// Path of the key.
    pub key: String,
    /// The value.
    pub value: String,
    /// What is wrong with it.
    pub problem: ReferenceProblem,
}

/// What is wrong with a value of a manifest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReferenceProblem {
    /// The same resource is declared twice.
    #[error("is also declared in document {document} of {}", file.display())]
    DeclaredTwice {
        /// File of the first declaration.
        file: PathBuf,
        /// Its place there.
        document: usize,
    },
    /// The named resource is in none of the files.
    #[error("no {0:?} of this name is declared in the given files")]
    Unresolved(Kind),
    /// No group serves the database.
    #[error("no DatabaseGroup of the given files serves this database")]
    NoSuchDatabase,
    /// Another group serves the database.
    #[error("is also served by DatabaseGroup {0}")]
    SameDatabase(String),
    /// The value is not allowed by itself.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The guaranteed shares add up to more than all.
    #[error("the guaranteed shares of all classes add up to {0} percent, at most 100 are allowed")]
    SharesOverWhole(u32),
}

/// Where a document stands.
pub(super) struct Place<'a> {
    pub(super) file: &'a Path,
    pub(super) text: &'a str,
    pub(super) document: usize,
}

impl Place<'_> {
    pub(super) fn form<T>(
        &self,
        result: Result<T, serde_yaml_ng::Error>,
    ) -> Result<T, ManifestError> {
        result.map_err(|source| ManifestError::Form {
            file: self.file.to_owned(),
            document: self.document,
            text: self.line(&source),
            source,
        })
    }

    fn line(&self, error: &serde_yaml_ng::Error) -> String {
        let number = error.location().map_or(1, |location| location.line());
        self.text.lines().nth(number.saturating_sub(1)).unwrap_or_default().trim().to_owned()
    }

    pub(super) fn api_version(&self, value: &str) -> ManifestError {
        ManifestError::ApiVersion {
            file: self.file.to_owned(),
            document: self.document,
            value: value.to_owned(),
        }
    }

    pub(super) fn name(&self, value: &str, source: NameError) -> ManifestError {
        ManifestError::Name {
            file: self.file.to_owned(),
            document: self.document,
            value: value.to_owned(),
            source,
        }
    }
}
