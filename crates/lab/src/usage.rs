//! Processor time and memory of a process, from the system's process table.

use rustix::param::{clock_ticks_per_second, page_size};
use std::path::PathBuf;
use std::time::Duration;

/// Place of the user time in `/proc/ID/stat` after the program's name, from zero.
const USER_TIME_FIELD: usize = 11;
/// Place of the system time.
const SYSTEM_TIME_FIELD: usize = 12;
/// Place of the resident pages.
const RESIDENT_FIELD: usize = 21;

/// Why usage could not be read.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The process is gone, or the table cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The table has another form.
    #[error("{0} has an unknown form")]
    Form(PathBuf),
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, user and system.
    pub processor: Duration,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Usage of the process with this id.
    ///
    /// # Errors
    /// [`UsageError`] when the process table does not tell.
    pub fn of(process: u32) -> Result<Self, UsageError> {
        let path = PathBuf::from(format!("/proc/{process}/stat"));
        let text = std::fs::read_to_string(&path)
            .map_err(|source| UsageError::Read { path: path.clone(), source })?;
        parse(&text).ok_or(UsageError::Form(path))
    }

    /// Usage of this process.
    ///
    /// # Errors
    /// As for [`Usage::of`].
    pub fn of_this_process() -> Result<Self, UsageError> {
        Self::of(std::process::id())
    }
}

/// Reads a line of the table. The program's name may hold spaces, so fields count from its end.
fn parse(text: &str) -> Option<Usage> {
    let after_name = text.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let number = |place: usize| fields.get(place)?.parse::<u64>().ok();
    let ticks = number(USER_TIME_FIELD)? + number(SYSTEM_TIME_FIELD)?;
    let seconds = ticks as f64 / clock_ticks_per_second() as f64;
    Some(Usage {
        processor: Duration::from_secs_f64(seconds),
        resident_bytes: number(RESIDENT_FIELD)? * page_size() as u64,
    })
}
