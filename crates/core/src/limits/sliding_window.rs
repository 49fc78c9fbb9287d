//! Counts what happened within the last window.
//!
//! The count that a limit is kept by, which may be too high for a moment and never too low. Owns the
//! counts of the window's slots. Relies on its caller for the clock and the window's length.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots that a window is counted in. More slots count more exactly (two slots too long at most) and cost
/// sixteen bytes each for a busy tenant. Chosen, not measured.
const SLOTS_PER_WINDOW: u64 = 50;
/// Slots that count after the one in which something happened: a window, and one more for a clock that
/// runs up to a fiftieth too fast. So the count is never too low, and too high by two slots in fifty.
const SLOTS_COUNTED: u64 = SLOTS_PER_WINDOW + 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Slot {
    number: u64,
    count: u64,
}

/// How often something happened within the last window; a little more at most, never less.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowCount {
    slots: VecDeque<Slot>,
    total: u64,
}

impl SlidingWindowCount {
    fn slot_micros(window: Duration) -> u64 {
        (window.as_micros() as u64 / SLOTS_PER_WINDOW).max(1)
    }

    fn slot_of(now: Timestamp, window: Duration) -> u64 {
        now.as_micros() / Self::slot_micros(window)
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, now: Timestamp, window: Duration) {
        let newest = Self::slot_of(now, window);
        while let Some(first) = self.slots.front()
            && first.number + SLOTS_COUNTED < newest
        {
            self.total -= first.count;
            self.slots.pop_front();
        }
    }

    /// How often it happened within the window that ends now.
    pub fn count(&mut self, now: Timestamp, window: Duration) -> u64 {
        self.expire(now, window);
        self.total
    }

    /// The count as it was when it was asked for or changed last.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// It happened so often now; the time is the mark to take it back by.
    pub fn add(&mut self, now: Timestamp, window: Duration, times: u64) {
        self.expire(now, window);
        let number = Self::slot_of(now, window);
        match self.slots.back_mut() {
            // A clock that stood still for a moment counts on in its newest slot.
            Some(last) if last.number >= number => last.count += times,
            _ => self.slots.push_back(Slot { number, count: times }),
        }
        self.total += times;
    }

    /// What was counted at this time did not happen so often after all.
    pub fn uncount(&mut self, marked: Timestamp, window: Duration, times: u64) {
        let number = Self::slot_of(marked, window);
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.number == number) {
            let taken = times.min(slot.count);
            slot.count -= taken;
            self.total -= taken;
        }
    }

    /// Time until so many of those that are counted are older than the window; none where fewer are.
    #[must_use]
    pub fn until_fewer(&self, now: Timestamp, window: Duration, fewer: u64) -> Option<Duration> {
        let mut gone = 0;
        let last = self.slots.iter().find(|slot| {
            gone += slot.count;
            gone >= fewer
        })?;
        let gone_at = (last.number + SLOTS_COUNTED + 1) * Self::slot_micros(window);
        Some(Duration::from_micros(gone_at.saturating_sub(now.as_micros())))
    }
}
