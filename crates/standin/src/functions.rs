//! Functions of the embedded engine: those it lacks, and those that must be the same on each member.
//!
//! Relies on the circumstances that the log entry carries for time and random numbers.

use crate::entry::Circumstances;
use rusqlite::Connection;
use rusqlite::functions::FunctionFlags;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What `SELECT version()` answers.
pub const VERSION_TEXT: &str = "PostgreSQL 16.0 (corktack stand-in)";
/// Reads the clock as [`Circumstances::timestamp`] keeps it.
pub const CLOCK: &str = "SELECT strftime('%Y-%m-%d %H:%M:%S', 'now')";

const SLEEP_STEP: Duration = Duration::from_millis(5);
const DATE_LENGTH: usize = 10;

/// Takes the part of a timestamp that a function answers.
type Part = fn(String) -> String;

/// Circumstances of the running statement.
#[derive(Default)]
pub struct Circumstance {
    now: Mutex<Circumstances>,
}

impl Circumstance {
    /// Replaces them, before a statement runs.
    pub fn set(&self, circumstances: Circumstances) {
        *self.lock() = circumstances;
    }

    fn timestamp(&self) -> String {
        self.lock().timestamp.clone()
    }

    /// The next random number (splitmix64).
    fn random(&self) -> i64 {
        let mut now = self.lock();
        now.seed = now.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (now.seed ^ (now.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)).cast_signed()
    }

    fn lock(&self) -> MutexGuard<'_, Circumstances> {
        self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A seed that differs each time.
#[must_use]
pub fn fresh_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Registers the functions on a connection.
///
/// # Errors
/// The engine refused one.
pub fn register(
    connection: &Connection,
    cancelled: &Arc<AtomicBool>,
    circumstance: &Arc<Circumstance>,
) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("version", 0, flags, |_| Ok(VERSION_TEXT))?;
    let cancelled = cancelled.clone();
    connection.create_scalar_function("pg_sleep", 1, flags, move |context| {
        let seconds = context.get::<Option<f64>>(0)?.unwrap_or(0.0);
        sleep_until_cancelled(seconds, &cancelled)
    })?;
    let random = circumstance.clone();
    connection.create_scalar_function("random", 0, flags, move |_| Ok(random.random()))?;
    let whole = |text: String| text;
    let date = |text: String| text.chars().take(DATE_LENGTH).collect();
    let time = |text: String| text.chars().skip(DATE_LENGTH + 1).collect();
    let clocks: [(&str, Part); 4] = [
        ("now", whole),
        ("current_timestamp", whole),
        ("current_date", date),
        ("current_time", time),
    ];
    for (name, part) in clocks {
        let clock = circumstance.clone();
        connection.create_scalar_function(name, 0, flags, move |_| Ok(part(clock.timestamp())))?;
    }
    Ok(())
}

/// Sleeps in short steps, so that an interruption ends it soon.
fn sleep_until_cancelled(seconds: f64, cancelled: &AtomicBool) -> rusqlite::Result<&'static str> {
    let length = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    let start = Instant::now();
    while start.elapsed() < length {
        if cancelled.load(Ordering::SeqCst) {
            let code = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_INTERRUPT);
            return Err(rusqlite::Error::SqliteFailure(code, None));
        }
        std::thread::sleep(SLEEP_STEP.min(length.saturating_sub(start.elapsed())));
    }
    Ok("")
}
