//! Tests of list differences: for any two lists, the steps turn one into the other.

use corktack_core::list_difference::{ListStep, StepsMismatch, apply_steps, edit_steps};
use proptest::prelude::*;

/// Entry of a list: its key and a value.
type Entry = (u8, u8);

proptest! {
    #[test]
    fn steps_produce_the_new_list(
        before in prop::collection::vec((0_u8..12, 0_u8..2), 0..12),
        after in prop::collection::vec((0_u8..12, 0_u8..2), 0..12),
    ) {
        let steps = edit_steps(&before, &after, |entry: &Entry| &entry.0);
        prop_assert_eq!(apply_steps(&before, &steps), Ok(after));
    }
}

#[test]
fn steps_for_one_changed_entry_insert_only_that_entry() {
    let before: Vec<Entry> = (0..100).map(|key| (key, 0)).collect();
    let mut after = before.clone();
    after[40].1 = 1;
    let steps = edit_steps(&before, &after, |entry| &entry.0);
    let expected = [
        ListStep::Keep(40),
        ListStep::Insert(vec![(40, 1)]),
        ListStep::Drop(1),
        ListStep::Keep(59),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn steps_for_a_list_of_another_length_are_refused() {
    let steps = [ListStep::Keep(2), ListStep::Insert(vec![9])];
    assert_eq!(apply_steps(&[1, 2, 3], &steps), Err(StepsMismatch { expected: 2, found: 3 }));
    let overflowing = [ListStep::<i32>::Keep(usize::MAX), ListStep::Keep(2)];
    assert!(apply_steps(&[1], &overflowing).is_err());
}
