//! Errors of reading, parsing and checking manifests.

use corktack_core::identity::NameError;
use corktack_core::resources::{API_VERSION, Kind, SpecError};
use std::path::{Path, PathBuf};

/// Error of a manifest. Each variant names the file and, if one caused the error, the document.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The file or folder could not be read.
    #[error("manifest {}: cannot be read", path.display())]
    Read {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A document is not valid YAML, or a key is unknown, missing or of the wrong type; the
    /// parser's message names the key.
    #[error("manifest {}, document {document}: {source} ({text:?})", file.display())]
    Parse {
        /// Path of the file.
        file: PathBuf,
        /// Number of the document in the file, from 1.
        document: usize,
        /// Content of the line that the parser reports, with its key and value.
        text: String,
        /// Error of the parser.
        source: serde_yaml_ng::Error,
    },
    /// The version of the manifest format is not supported.
    #[error(
        "manifest {}, document {document}: apiVersion = {value:?}: must be {API_VERSION:?}",
        file.display()
    )]
    ApiVersion {
        /// Path of the file.
        file: PathBuf,
        /// Number of the document in the file, from 1.
        document: usize,
        /// Version that the document names.
        value: String,
    },
    /// The name of the resource is not valid.
    #[error("manifest {}, document {document}: metadata.name = {value:?}", file.display())]
    Name {
        /// Path of the file.
        file: PathBuf,
        /// Number of the document in the file, from 1.
        document: usize,
        /// Name in the document.
        value: String,
        /// Rule that the name breaks.
        source: NameError,
    },
    /// A value has the right type, but is not allowed, by itself or together with other documents.
    #[error(transparent)]
    Value(Box<ManifestValueError>),
}

/// Reports a value of a manifest that has the right type, but is not allowed.
#[derive(Debug, thiserror::Error)]
#[error("manifest {}, document {document}: {key} = {value}: {problem}", file.display())]
pub struct ManifestValueError {
    /// Path of the file.
    pub file: PathBuf,
    /// Number of the document in the file, from 1.
    pub document: usize,
    /// Path of the key, for example `spec.members[1].name`.
    pub key: String,
    /// Value as text.
    pub value: String,
    /// Rule that the value breaks.
    pub problem: ReferenceProblem,
}

/// Rule that a value of a manifest breaks, by itself or together with other documents.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReferenceProblem {
    /// An earlier document declares the same resource.
    #[error("is also declared in document {document} of {}", file.display())]
    DeclaredTwice {
        /// File of the first declaration.
        file: PathBuf,
        /// Number of its document in the file, from 1.
        document: usize,
    },
    /// None of the files declares the named resource of this kind.
    #[error("no {0:?} of this name is declared in the given files")]
    Unresolved(Kind),
    /// No group of the files serves the database.
    #[error("no DatabaseGroup of the given files serves this database")]
    UnknownDatabase,
    /// The named group serves the same database.
    #[error("is also served by DatabaseGroup {0}")]
    SameDatabase(String),
    /// The core refuses the value.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The guaranteed shares of all classes add up to this percentage, which is above 100.
    #[error("the guaranteed shares of all classes add up to {0} percent, at most 100 are allowed")]
    SharesAboveTotal(u32),
}

/// Location of a document, for errors.
pub(super) struct DocumentLocation<'a> {
    pub(super) file: &'a Path,
    /// Text of the whole file.
    pub(super) text: &'a str,
    /// Number of the document in the file, from 1.
    pub(super) document: usize,
}

impl DocumentLocation<'_> {
    /// Converts a parser's error to a [`ManifestError`] with this location.
    pub(super) fn locate_error<T>(
        &self,
        result: Result<T, serde_yaml_ng::Error>,
    ) -> Result<T, ManifestError> {
        result.map_err(|source| ManifestError::Parse {
            file: self.file.to_owned(),
            document: self.document,
            text: self.line_content(&source),
            source,
        })
    }

    fn line_content(&self, error: &serde_yaml_ng::Error) -> String {
        let line_number = error.location().map_or(1, |location| location.line());
        self.text.lines().nth(line_number.saturating_sub(1)).unwrap_or_default().trim().to_owned()
    }

    pub(super) fn api_version_error(&self, value: &str) -> ManifestError {
        ManifestError::ApiVersion {
            file: self.file.to_owned(),
            document: self.document,
            value: value.to_owned(),
        }
    }

    pub(super) fn name_error(&self, value: &str, source: NameError) -> ManifestError {
        ManifestError::Name {
            file: self.file.to_owned(),
            document: self.document,
            value: value.to_owned(),
            source,
        }
    }
}
