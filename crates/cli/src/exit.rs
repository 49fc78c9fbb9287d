//! Exit codes of the program.

use std::process::ExitCode;

/// How a command ended. An error that is returned ends the program with 1 as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// What was asked for is done: 0.
    Done,
    /// A change conflicts with what is stored: 3.
    Conflict,
    /// Something failed: 1.
    Failed,
    /// The command line is not understood: 2.
    Usage,
}

impl Exit {
    /// The number the program ends with.
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
