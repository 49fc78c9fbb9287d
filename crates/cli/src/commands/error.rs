//! Why a command of an operator failed.

use crate::kind::KindError;
use crate::output::OutputError;
use corktack_core::identity::NameError;
use corktack_server::client::ClientError;
use corktack_server::manifest::ManifestError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The servers did not answer, or refused.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Output could not be written.
    #[error(transparent)]
    Output(#[from] OutputError),
    /// The kind is not known.
    #[error(transparent)]
    Kind(#[from] KindError),
    /// A name is not valid.
    #[error("name {name:?}")]
    Name {
        /// The name.
        name: String,
        /// What is wrong with it.
        source: NameError,
    },
    /// A manifest is refused.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// A resource has no JSON form.
    #[error("a resource has no JSON form")]
    Encode(#[source] serde_json::Error),
    /// A line of the watch is not understood.
    #[error("a line of the watch is not understood")]
    WatchLine(#[source] serde_json::Error),
    /// A log file cannot be read.
    #[error("{}: cannot be read", path.display())]
    Log {
        /// The file.
        path: std::path::PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// No log file was named.
    #[error("name at least one log file with -l")]
    NoLogs,
    /// No line tells of the request.
    #[error(transparent)]
    UnknownRequest(#[from] corktack_server::explain::UnknownRequest),
    /// Neither a request nor a summary is asked for, or both are.
    #[error("name either the id of a request or --summary")]
    IdOrSummary,
    /// No file was named.
    #[error("name at least one file or folder with -f")]
    NoFiles,
}
