//! No window holds more operations of a tenant than its limit allows, whatever is lost, late, cut or
//! started again; and the checker sees every broken variant.

use corktack_sim::limits::{LimitsVariant, run};
use rstest::rstest;

/// Seeds of one case.
const SEEDS: u64 = 20;

#[rstest]
fn no_window_is_exceeded(#[values(0, 1, 2, 3, 4)] case: u64) {
    for seed in case * SEEDS..(case + 1) * SEEDS {
        let report = run(seed, LimitsVariant::Correct);
        assert_eq!(report.exceeded, None, "{report}");
        let counts = report.counts;
        assert!(counts.begun > 0 && counts.restarts > 0 && counts.elections > 0, "{report}");
    }
}

/// What a gateway had told to hold under a lower limit rose again with the next document.
#[test]
fn what_was_told_does_not_rise_with_the_limit() {
    let report = run(3_486, LimitsVariant::Correct);
    assert_eq!(report.exceeded, None, "{report}");
}

#[test]
fn a_seed_reproduces_a_run() {
    assert_eq!(run(7, LimitsVariant::Correct), run(7, LimitsVariant::Correct));
    assert_ne!(run(7, LimitsVariant::Correct).counts, run(8, LimitsVariant::Correct).counts);
}

#[rstest]
#[case(LimitsVariant::LifeFromArrival, 89)]
#[case(LimitsVariant::LeaderForgets, 0)]
#[case(LimitsVariant::CeilingBeforeCommit, 0)]
#[case(LimitsVariant::AnyTermTaken, 4)]
#[case(LimitsVariant::LifeNotNew, 1)]
#[case(LimitsVariant::TakenNotTold, 1_380)]
fn the_checker_sees_a_broken_variant(#[case] variant: LimitsVariant, #[case] seed: u64) {
    let report = run(seed, variant);
    assert!(report.exceeded.is_some(), "{report}");
}

#[test]
fn every_broken_variant_has_a_case() {
    assert_eq!(LimitsVariant::BROKEN.len(), 6);
}
