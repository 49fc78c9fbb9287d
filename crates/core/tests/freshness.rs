//! How much of a group's log a read must see.

use corktack_core::gateway::{
    FloorBasis, Freshness, KnownPosition, OwnPosition, PositionSource, PositionTooOld, ReadBound,
};
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
    assert_eq!(freshness.required_position(at(100), STALENESS, own(50, position(1, 7))), None);
}

/// Found by a hunt (carte-consultas, scale-1 --seed 90068085763): a session wrote 2.251 just after
/// a change of primary, and a member that was still on the old branch at 1.287 served its read,
/// because positions were compared by their index alone.
#[test]
fn own_commit_of_a_new_term_outweighs_a_longer_log_of_the_old_one() {
    let freshness = freshness(&[(1_000, position(1, 287))]);
    let needed = freshness.required_position(at(1_500), STALENESS, own(1_400, position(2, 251)));
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
    let needed = freshness.required_position(at(1_500), STALENESS, own(1_100, position(1, 280)));
    assert_eq!(needed, Some(position(1, 250)));
}

#[test]
fn own_commit_of_an_old_term_gives_way_to_the_new_one() {
    let freshness = freshness(&[(1_400, position(2, 300))]);
    let needed = freshness.required_position(at(1_500), STALENESS, own(1_100, position(1, 310)));
    assert_eq!(needed, Some(position(2, 300)));
}

#[test]
fn own_commit_newer_than_every_sample_is_needed() {
    let freshness = freshness(&[(1_400, position(1, 300))]);
    let needed = freshness.required_position(at(1_600), STALENESS, own(1_500, position(1, 310)));
    assert_eq!(needed, Some(position(1, 310)));
}

#[test]
fn answers_that_were_overtaken_say_nothing() {
    let freshness = freshness(&[(1_400, position(2, 300)), (1_000, position(1, 310))]);
    assert_eq!(freshness.floor(at(1_500), STALENESS), Some(position(2, 300)));
}

/// Found by an incident (STALE, gateways that had just been started again): the age was counted back
/// on a clock that began with the gateway, and an age above the uptime became the uptime.
#[test]
fn a_position_from_before_the_clock_began_is_not_used() {
    let mut freshness = Freshness::default();
    let age = Duration::from_millis(6_000);
    assert_eq!(
        freshness.note_reported(at(600), age, position(1, 111)),
        Err(PositionTooOld { age })
    );
    assert_eq!(freshness.floor(at(700), STALENESS), None);
    assert_eq!(freshness.newest(at(700)), None, "and is not passed on");
}

#[rstest]
#[case::young_enough(2_700, Some(position(1, 111)))]
#[case::the_bound_itself(3_100, Some(position(1, 111)))]
#[case::too_old(3_101, None)]
fn a_position_of_another_gateway_counts_with_its_age(
    #[case] began: u64,
    #[case] floor: Option<Position>,
) {
    let mut freshness = Freshness::default();
    let told = freshness.note_reported(at(2_600), Duration::from_millis(2_000), position(1, 111));
    assert_eq!(told, Ok(()));
    assert_eq!(freshness.floor(at(began), STALENESS), floor);
}

#[test]
fn an_old_position_of_another_gateway_changes_nothing_of_what_is_known() {
    let mut freshness = freshness(&[(3_000, position(1, 153))]);
    let told = freshness.note_reported(at(4_000), Duration::from_millis(2_000), position(1, 111));
    assert_eq!(told, Ok(()));
    assert_eq!(freshness.floor(at(4_100), STALENESS), Some(position(1, 153)));
    let needed = freshness.required_position(at(4_100), STALENESS, own(3_500, position(1, 154)));
    assert_eq!(needed, Some(position(1, 154)), "nor does the session's own commit give way");
}

/// A gateway passes on what it was told, with the whole age: on the way through several gateways a
/// position does not grow younger.
#[test]
fn a_position_keeps_its_age_from_gateway_to_gateway() {
    let mut second = Freshness::default();
    let told = second.note_reported(at(5_000), Duration::from_millis(1_500), position(1, 111));
    assert_eq!(told, Ok(()));
    let (age, passed_on) = second.newest(at(5_400)).expect("a position");
    assert_eq!((age, passed_on), (Duration::from_millis(1_900), position(1, 111)));
    let mut third = Freshness::default();
    assert!(third.note_reported(at(1_800), age, passed_on).is_err(), "it started 1.8 s ago");
    assert_eq!(third.note_reported(at(9_000), age, passed_on), Ok(()));
    assert_eq!(third.newest(at(9_100)), Some((Duration::from_millis(2_000), position(1, 111))));
}

#[rstest]
#[case::of_this_gateway(3_900, Some((900, PositionSource::Primary)))]
#[case::of_another_gateway(6_000, Some((2_000, PositionSource::Gateway)))]
#[case::of_none(6_501, None)]
fn a_floor_says_what_it_rests_on(#[case] began: u64, #[case] basis: Option<(u64, PositionSource)>) {
    let mut freshness = freshness(&[(3_000, position(1, 153))]);
    let told = freshness.note_reported(at(4_200), Duration::from_millis(200), position(1, 160));
    assert_eq!(told, Ok(()));
    let basis =
        basis.map(|(millis, source)| FloorBasis { age: Duration::from_millis(millis), source });
    assert_eq!(freshness.floor_basis(at(began), STALENESS), basis);
}

#[rstest]
#[case::as_long_as_samples_are_kept(11_000, Some((Duration::from_secs(10), position(1, 111))))]
#[case::not_longer(11_001, None)]
fn a_position_is_told_to_others(#[case] now: u64, #[case] told: Option<(Duration, Position)>) {
    assert_eq!(freshness(&[(1_000, position(1, 111))]).newest(at(now)), told);
}

/// What a session on another gateway asks for: its commit was acknowledged so long ago.
fn bound(own: Option<(u64, Position)>) -> ReadBound {
    let own = own.map(|(age, position)| OwnPosition { position, age: Duration::from_millis(age) });
    ReadBound { staleness: STALENESS, own }
}

#[rstest]
#[case::no_commit_of_its_own(None, position(1, 300))]
#[case::newer_than_every_answer(Some((100, position(1, 310))), position(1, 310))]
#[case::rolled_back_before_the_answer(Some((500, position(1, 310))), position(1, 300))]
#[case::from_before_this_clock_began(Some((60_000, position(1, 310))), position(1, 300))]
#[case::of_a_new_term(Some((500, position(2, 10))), position(2, 10))]
fn a_commit_told_with_its_age_is_seen(
    #[case] own: Option<(u64, Position)>,
    #[case] needed: Position,
) {
    let freshness = freshness(&[(1_400, position(1, 300))]);
    let chosen = freshness.read_position(at(1_600), &bound(own)).expect("an answer is young");
    assert_eq!(chosen.needed, needed);
    assert_eq!(chosen.newest_age, Duration::from_millis(200));
    let basis = FloorBasis { age: Duration::from_millis(200), source: PositionSource::Primary };
    assert_eq!(chosen.basis, basis);
}

#[test]
fn without_a_young_answer_no_position_is_chosen() {
    let freshness = freshness(&[(1_400, position(1, 300))]);
    assert_eq!(freshness.read_position(at(3_901), &bound(None)), None);
}
