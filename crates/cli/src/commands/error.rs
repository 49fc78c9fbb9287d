//! Errors of the operators' commands.

use crate::kind::KindError;
use crate::output::OutputError;
use corktack_core::identity::NameError;
use corktack_server::client::ClientError;
use corktack_server::manifest::ManifestError;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No server answered, or a server refused the request.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Output could not be written.
    #[error(transparent)]
    Output(#[from] OutputError),
    /// The resource kind is unknown.
    #[error(transparent)]
    Kind(#[from] KindError),
    /// A resource name is invalid.
    #[error("name {name:?}")]
    Name {
        /// The name as given on the command line.
        name: String,
        /// The rule for names that it violates.
        source: NameError,
    },
    /// A manifest cannot be loaded.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
    /// The body of a request cannot be represented in JSON.
    #[error("a resource has no JSON form")]
    Encode(#[source] serde_json::Error),
    /// A line of the watch stream cannot be decoded.
    #[error("a line of the watch is not understood")]
    WatchLine(#[source] serde_json::Error),
    /// A log file cannot be read.
    #[error("{}: cannot be read", path.display())]
    Log {
        /// Path of the log file.
        path: std::path::PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// No log file was given.
    #[error("name at least one log file with -l")]
    NoLogs,
    /// No log line mentions the request.
    #[error(transparent)]
    UnknownRequest(#[from] corktack_server::explain::UnknownRequest),
    /// Both a request id and `--summary` were given, or neither.
    #[error("name either the id of a request or --summary")]
    IdOrSummary,
    /// No manifest or settings file was given.
    #[error("name at least one file or folder with -f")]
    NoFiles,
}
