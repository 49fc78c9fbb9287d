//! Exit codes of the program.

use std::process::ExitCode;

/// Outcome of a command, ordered by severity. The program also ends with code 1 when a command returns an
/// error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command succeeded: code 0.
    Done,
    /// A change conflicts with the stored state: code 3.
    Conflict,
    /// The command, or a part of it, failed: code 1.
    Failed,
    /// The command line cannot be parsed: code 2.
    Usage,
}

impl Exit {
    /// Returns the exit code of the program.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
