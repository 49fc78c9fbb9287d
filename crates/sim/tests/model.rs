//! The specifications keep their invariants, and every broken variant is caught.

use corktack_sim::model::cell::CellInvariant;
use corktack_sim::model::group::GroupInvariant;
use corktack_sim::model::scenario::{Scenario, broken, correct};
use rstest::rstest;

#[rstest]
fn correct_protocol_keeps_every_invariant(#[values(0, 1, 2, 3, 4, 5)] place: usize) {
    let scenario = correct()[place];
    let report = scenario.run();
    assert!(report.as_expected, "{scenario}: {}", report.text);
}

#[test]
fn every_correct_scenario_has_a_case() {
    assert_eq!(correct().len(), 6);
}

#[rstest]
#[case("VoteNotPersisted")]
#[case("LogNotSynced")]
#[case("LogNotCompared")]
#[case("ReplacementKeepsIdentity")]
#[case("CommitsOlderTerm")]
#[case("TwoChangesAtOnce")]
#[case("PreviousEntryNotChecked")]
#[case("PromoteWithoutMajority")]
#[case("PromoteLeastAdvanced")]
#[case("AckBeforeMajority")]
#[case("AckOlderTerm")]
#[case("FenceNotCheckedOnAppend")]
#[case("PromiseNotPersisted")]
#[case("ResumedTermPromotesAnother")]
#[case("ReadIndexWithoutConfirmation")]
#[case("ReadIndexBeforeOwnTermEntry")]
fn broken_variant_violates_its_invariant(#[case] variant: &str) {
    let mut scenarios = broken().into_iter();
    let scenario = scenarios.find(|scenario| scenario.variant() == variant).expect("a scenario");
    let report = scenario.run();
    assert!(report.as_expected, "{scenario}: {}", report.text);
    assert!(report.text.contains("is violated after\n   1. "), "{}", report.text);
}

#[test]
fn every_broken_variant_has_a_case() {
    assert_eq!(broken().len(), 16);
}

#[test]
fn every_invariant_is_seen_to_fail() {
    let cell = |invariant| {
        let broken = broken();
        broken.into_iter().any(
            |scenario| matches!(scenario, Scenario::Cell(_, Some(found)) if found == invariant),
        )
    };
    let group = |invariant| {
        let broken = broken();
        broken.into_iter().any(
            |scenario| matches!(scenario, Scenario::Group(_, Some(found)) if found == invariant),
        )
    };
    assert!(cell(CellInvariant::ElectionSafety));
    assert!(cell(CellInvariant::LogMatching));
    assert!(cell(CellInvariant::LeaderCompleteness));
    assert!(cell(CellInvariant::CommittedNeverLost));
    assert!(group(GroupInvariant::NoAckByReplaced));
    assert!(group(GroupInvariant::AckedNeverLost));
    assert!(group(GroupInvariant::OnePrimaryPerTerm));
    assert!(group(GroupInvariant::ReadIndexNotStale));
}
