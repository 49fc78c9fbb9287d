//! Choice of the member that a gateway tries as primary or sends a read to, and the reason when no
//! gateway serves.

use corktack_core::gateway::{
    MemberLoad, PrimaryCandidate, PrimaryEvidence, ReaderCandidate, RemoteAttempt, RemoteFailure,
    choose_available_reader, choose_primary,
};
use rstest::rstest;
use std::time::Duration;

fn candidate(evidence: PrimaryEvidence) -> PrimaryCandidate {
    PrimaryCandidate {
        evidence,
        is_drain_over: false,
        denied_lately: false,
        is_reached: true,
        has_indirect_route: false,
    }
}

#[test]
fn the_strongest_evidence_decides() {
    let all = [
        ("unknown", candidate(PrimaryEvidence::None)),
        ("registered", candidate(PrimaryEvidence::Registered)),
        ("promoted", candidate(PrimaryEvidence::Promoted)),
        ("proven", candidate(PrimaryEvidence::Proven)),
    ];
    for count in (1..=all.len()).rev() {
        assert_eq!(choose_primary(all[..count].to_vec()), Some(all[count - 1].0));
    }
    assert_eq!(choose_primary::<&str>([]), None);
}

#[test]
fn the_first_of_equal_candidates_is_tried() {
    let equal = candidate(PrimaryEvidence::None);
    assert_eq!(choose_primary([("a", equal), ("b", equal)]), Some("a"));
}

#[rstest]
#[case::left(PrimaryCandidate { is_drain_over: true, ..candidate(PrimaryEvidence::Proven) })]
#[case::denied(PrimaryCandidate { denied_lately: true, ..candidate(PrimaryEvidence::Proven) })]
#[case::not_reached(PrimaryCandidate { is_reached: false, ..candidate(PrimaryEvidence::Proven) })]
#[case::left_with_indirect_route(PrimaryCandidate {
    is_drain_over: true, is_reached: false, has_indirect_route: true, ..candidate(PrimaryEvidence::Proven)
})]
#[case::indirect_route_without_evidence(PrimaryCandidate {
    is_reached: false, has_indirect_route: true, ..candidate(PrimaryEvidence::None)
})]
fn a_member_that_cannot_be_tried_is_skipped(#[case] unable: PrimaryCandidate) {
    let other = candidate(PrimaryEvidence::None);
    assert_eq!(choose_primary([("unable", unable), ("other", other)]), Some("other"));
    assert_eq!(choose_primary([("unable", unable)]), None);
}

#[rstest]
#[case(PrimaryEvidence::Proven)]
#[case(PrimaryEvidence::Promoted)]
#[case(PrimaryEvidence::Registered)]
fn a_member_with_evidence_is_tried_by_an_indirect_route(#[case] evidence: PrimaryEvidence) {
    let by_indirect_route =
        PrimaryCandidate { is_reached: false, has_indirect_route: true, ..candidate(evidence) };
    assert_eq!(choose_primary([("primary", by_indirect_route)]), Some("primary"));
}

fn reader(latency_millis: u64, is_passed_over: bool, has_room: bool) -> ReaderCandidate {
    let load = MemberLoad {
        latency: Duration::from_millis(latency_millis),
        network_time: Duration::ZERO,
        age: Duration::ZERO,
        running: 0,
        capacity_share: 1.0,
        waiting: 0.0,
        served: 1.0,
        preference: 0,
    };
    ReaderCandidate { load, is_passed_over, has_room }
}

#[rstest]
#[case::room_comes_before_load([reader(1, false, false), reader(50, false, true)], 1)]
#[case::passed_over_comes_after_full([reader(1, true, true), reader(50, false, false)], 1)]
#[case::load_decides_among_those_with_room([reader(50, false, true), reader(1, false, true)], 1)]
#[case::load_decides_among_the_full([reader(1, false, false), reader(50, false, false)], 0)]
#[case::load_decides_among_the_passed_over([reader(50, true, true), reader(1, true, false)], 1)]
fn a_read_goes_to_a_member_with_room_that_is_not_passed_over(
    #[case] candidates: [ReaderCandidate; 2],
    #[case] expected: usize,
) {
    assert_eq!(choose_available_reader(&candidates), Some(expected));
}

#[test]
fn there_is_no_reader_without_candidates() {
    assert_eq!(choose_available_reader(&[]), None);
}

#[test]
fn every_unserved_request_has_the_expected_reason() {
    for case in 0..16_u8 {
        let attempt = RemoteAttempt {
            has_timed_out: case & 1 != 0,
            holds_connections: case & 2 != 0,
            is_reached: case & 4 != 0,
        };
        let no_holder_left = case & 8 != 0;
        let expected = match attempt {
            RemoteAttempt { has_timed_out: true, .. } => RemoteFailure::NoneFree,
            RemoteAttempt { holds_connections: false, .. } if no_holder_left => {
                RemoteFailure::NoHolder
            }
            RemoteAttempt { is_reached: true, .. } => RemoteFailure::NoneFree,
            _ => RemoteFailure::Unreachable,
        };
        assert_eq!(attempt.failure(|| no_holder_left), expected, "{attempt:?} {no_holder_left}");
    }
}
