//! Sliding-window counter.

use crate::support::WINDOW;
use corktack_core::limits::SlidingWindowCounter;
use corktack_core::time::Timestamp;
use proptest::prelude::*;

proptest! {
    /// The count is never below the operations of the last window, and includes none that are more than
    /// two slots older.
    #[test]
    fn the_count_is_never_too_low(gaps in prop::collection::vec(0_u64..900_000, 1..200)) {
        let mut counter = SlidingWindowCounter::default();
        let (mut now, mut times) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            counter.add(Timestamp::from_micros(now), WINDOW, 1);
            times.push(now);
            let counted = counter.count(Timestamp::from_micros(now), WINDOW);
            let within = |span: u64| times.iter().filter(|time| **time + span > now).count() as u64;
            prop_assert!(counted >= within(5_000_000));
            prop_assert!(counted <= within(5_200_001));
        }
    }
}
