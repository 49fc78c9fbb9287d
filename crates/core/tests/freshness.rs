//! How much of a group's log a read must see.

use corktack_core::gateway::{Freshness, KnownPosition};
use corktack_core::position::{Position, Term};
use corktack_core::time::Timestamp;
use rstest::rstest;
use std::time::Duration;

const STALENESS: Duration = Duration::from_millis(2_500);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn position(term: u64, index: u64) -> Position {
    Position { term: Term(term), index }
}

fn own(millis: u64, position: Position) -> Option<KnownPosition> {
    Some(KnownPosition { position, known_at: at(millis) })
}

/// Samples of a group's primary, by the time of the question.
fn freshness(samples: &[(u64, Position)]) -> Freshness {
    let mut freshness = Freshness::default();
    for (millis, position) in samples {
        freshness.note(at(*millis), *position);
    }
    freshness
}

#[rstest]
#[case::oldest_that_is_young_enough(5_000, Some(position(1, 20)))]
#[case::the_bound_itself(4_500, Some(position(1, 20)))]
#[case::only_the_newest_is_young_enough(5_500, Some(position(1, 30)))]
#[case::none_is_young_enough(5_501, None)]
fn floor_is_the_oldest_sample_within_the_bound(
    #[case] began: u64,
    #[case] floor: Option<Position>,
) {
    let samples = [(1_000, position(1, 10)), (2_500, position(1, 20)), (3_000, position(1, 30))];
    assert_eq!(freshness(&samples).floor(at(began), STALENESS), floor);
}

#[test]
fn without_a_sample_the_primary_must_be_asked() {
    let freshness = Freshness::default();
    assert_eq!(freshness.needed(at(100), STALENESS, own(50, position(1, 7))), None);
}

/// Found by a hunt (carte-consultas, scale-1 --seed 90068085763): a session wrote 2.251 just after
/// a change of primary, and a member that was still on the old branch at 1.287 served its read,
/// because positions were compared by their index alone.
#[test]
fn own_commit_of_a_new_term_outweighs_a_longer_log_of_the_old_one() {
    let freshness = freshness(&[(1_000, position(1, 287))]);
    let needed = freshness.needed(at(1_500), STALENESS, own(1_400, position(2, 251)));
    assert_eq!(needed, Some(position(2, 251)));
}

#[test]
fn samples_of_an_old_term_are_replaced_by_the_first_of_the_new_one() {
    let freshness = freshness(&[(1_000, position(1, 287)), (1_400, position(2, 300))]);
    assert_eq!(freshness.floor(at(1_500), STALENESS), Some(position(2, 300)));
}

#[test]
fn what_was_rolled_back_is_not_waited_for() {
    let freshness = freshness(&[(1_000, position(1, 287)), (1_400, position(1, 250))]);
    assert_eq!(freshness.floor(at(1_500), STALENESS), Some(position(1, 250)));
    let needed = freshness.needed(at(1_500), STALENESS, own(1_100, position(1, 280)));
    assert_eq!(needed, Some(position(1, 250)));
}

#[test]
fn own_commit_of_an_old_term_gives_way_to_the_new_one() {
    let freshness = freshness(&[(1_400, position(2, 300))]);
    let needed = freshness.needed(at(1_500), STALENESS, own(1_100, position(1, 310)));
    assert_eq!(needed, Some(position(2, 300)));
}

#[test]
fn own_commit_newer_than_every_sample_is_needed() {
    let freshness = freshness(&[(1_400, position(1, 300))]);
    let needed = freshness.needed(at(1_600), STALENESS, own(1_500, position(1, 310)));
    assert_eq!(needed, Some(position(1, 310)));
}

#[test]
fn answers_that_were_overtaken_say_nothing() {
    let freshness = freshness(&[(1_400, position(2, 300)), (1_000, position(1, 310))]);
    assert_eq!(freshness.floor(at(1_500), STALENESS), Some(position(2, 300)));
}
