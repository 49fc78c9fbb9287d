//! Sliding-window counter of operations.
//!
//! Limits are enforced by this count, which may briefly be too high and is never too low. The counter
//! holds the counts of the window's slots; the caller supplies the clock and the window's length.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots that a window is divided into. More slots count more exactly (an operation counts for up to
/// two slots too long) and cost 16 bytes each for a busy tenant.
const SLOTS_PER_WINDOW: u64 = 50;
/// Slots that still count after the one in which an operation began: one window, and one slot more for
/// a clock that runs up to 1/50 too fast. So the count is never too low, and it includes up to two
/// slots in 50 too many.
const SLOTS_COUNTED: u64 = SLOTS_PER_WINDOW + 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Slot {
    number: u64,
    count: u64,
}

/// Number of operations within the last window; never too low, and too high by up to two slots.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowCounter {
    slots: VecDeque<Slot>,
    total: u64,
}

impl SlidingWindowCounter {
    fn slot_micros(window: Duration) -> u64 {
        (window.as_micros() as u64 / SLOTS_PER_WINDOW).max(1)
    }

    fn slot_number(now: Timestamp, window: Duration) -> u64 {
        now.as_micros() / Self::slot_micros(window)
    }

    /// Drops the slots that are older than the window.
    fn expire(&mut self, now: Timestamp, window: Duration) {
        let newest = Self::slot_number(now, window);
        while let Some(first) = self.slots.front()
            && first.number + SLOTS_COUNTED < newest
        {
            self.total -= first.count;
            self.slots.pop_front();
        }
    }

    /// Returns the number of operations within the window that ends now.
    pub fn count(&mut self, now: Timestamp, window: Duration) -> u64 {
        self.expire(now, window);
        self.total
    }

    /// Returns the count as of the last call of [`Self::count`] or [`Self::add`], without dropping
    /// slots that have become too old since.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Adds operations that begin now. To subtract them later, pass the same time to
    /// [`Self::subtract`].
    pub fn add(&mut self, now: Timestamp, window: Duration, operations: u64) {
        self.expire(now, window);
        let number = Self::slot_number(now, window);
        match self.slots.back_mut() {
            // If the clock stands still or goes back, the operations count in the newest slot.
            Some(last) if last.number >= number => last.count += operations,
            _ => self.slots.push_back(Slot { number, count: operations }),
        }
        self.total += operations;
    }

    /// Subtracts operations that were counted at the given time and did not run.
    pub fn subtract(&mut self, counted_at: Timestamp, window: Duration, operations: u64) {
        let number = Self::slot_number(counted_at, window);
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.number == number) {
            let subtracted = operations.min(slot.count);
            slot.count -= subtracted;
            self.total -= subtracted;
        }
    }

    /// Returns the time until at least `operations` of the counted ones are older than the window; none
    /// where fewer are counted.
    #[must_use]
    pub fn time_until_expired(
        &self,
        now: Timestamp,
        window: Duration,
        operations: u64,
    ) -> Option<Duration> {
        let mut expired = 0;
        let last = self.slots.iter().find(|slot| {
            expired += slot.count;
            expired >= operations
        })?;
        let expires_at = (last.number + SLOTS_COUNTED + 1) * Self::slot_micros(window);
        Some(Duration::from_micros(expires_at.saturating_sub(now.as_micros())))
    }
}
