//! The count of the last window.

use crate::support::WINDOW;
use corktack_core::limits::SlidingWindowCount;
use corktack_core::time::Timestamp;
use proptest::prelude::*;

proptest! {
    /// The count is never below what happened within the window, and forgets what is two slots older.
    #[test]
    fn a_trailing_count_is_never_too_low(gaps in prop::collection::vec(0_u64..900_000, 1..200)) {
        let mut count = SlidingWindowCount::default();
        let (mut now, mut times) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            count.add(Timestamp::from_micros(now), WINDOW, 1);
            times.push(now);
            let counted = count.count(Timestamp::from_micros(now), WINDOW);
            let since = |span: u64| times.iter().filter(|time| **time + span > now).count() as u64;
            prop_assert!(counted >= since(5_000_000));
            prop_assert!(counted <= since(5_200_001));
        }
    }
}
