//! Start of a process whose disk is full: it waits until the disk accepts writes.
//!
//! A process that ended instead would be started again at once and end again, for as long as the disk is full.

use corktack_control::Causes;
use corktack_core::retry::Backoff;
use std::error::Error;
use std::time::{Duration, Instant};

/// First and longest pause between two tries. Shorter pauses try more often while the disk is full; longer
/// ones delay the start.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time between two log lines while the disk stays full.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Repeats `start` with a growing pause until it succeeds or fails for another reason than a full disk.
///
/// # Errors
/// The first error of `start` for which `is_disk_full` is false.
pub async fn start_once_writable<T, E: Error + 'static>(
    mut start: impl FnMut() -> Result<T, E>,
    is_disk_full: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let began = Instant::now();
    let mut next_log = began;
    let mut backoff = Backoff::between(rand::random(), FIRST_PAUSE, LONGEST_PAUSE);
    let mut attempt: u32 = 0;
    loop {
        match start() {
            Err(error) if is_disk_full(&error) => {
                if Instant::now() >= next_log {
                    next_log = Instant::now() + LOG_INTERVAL;
                    let waited_ms = began.elapsed().as_millis();
                    log::warn!(error:% = Causes(&error), waited_ms; "start waits: the disk is full");
                }
            }
            outcome => return outcome,
        }
        tokio::time::sleep(backoff.delay(attempt)).await;
        attempt = attempt.saturating_add(1);
    }
}
