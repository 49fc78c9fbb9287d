//! The body of every answer that is not a success.

use corktack_core::resources::ResourceVersion;
use serde::{Deserialize, Serialize};

/// What went wrong, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ErrorCode {
    /// The request is malformed (400).
    BadRequest,
    /// The bearer token is missing or wrong (401).
    Unauthorized,
    /// The resource does not exist (404).
    NotFound,
    /// The stored version is not the one the change was made from (409).
    Conflict,
    /// Another resource still refers to it (409).
    InUse,
    /// The change of the cell cannot be made now (409).
    CellChange,
    /// The revision is no longer kept: list again and watch from there (410).
    TooOld,
    /// The body is too large (413).
    TooLarge,
    /// A field is not valid (422).
    Invalid,
    /// Too many requests wait already; this one did not run (429).
    Overloaded,
    /// The replica cannot prove that it is current, or found no leader in time (503).
    /// A change may have taken effect: resend it under the same change id.
    Unavailable,
}

/// The body of every answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ErrorBody {
    /// What went wrong, for programs.
    pub code: ErrorCode,
    /// What went wrong, for people.
    pub message: String,
    /// Path of the field that is not valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The version that is stored, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_version: Option<ResourceVersion>,
    /// The change that was asked for, so that it can be resent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
}

impl ErrorBody {
    /// A body with no more than a code and a message.
    #[must_use]
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            reason: None,
            stored_version: None,
            change_id: None,
        }
    }
}
