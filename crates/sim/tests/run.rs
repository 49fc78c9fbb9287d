//! The core keeps every invariant under faults drawn by seed, a seed reproduces a run
//! bit for bit, and the checker sees every broken variant.

use corktack_sim::run::{Variant, run};
use rstest::rstest;

/// Seeds of one case.
const SEEDS: u64 = 20;

#[rstest]
fn fixed_seeds_keep_every_invariant(#[values(0, 1, 2, 3, 4)] case: u64) {
    for seed in case * SEEDS..(case + 1) * SEEDS {
        let report = run(seed, Variant::Correct);
        assert_eq!(report.violations, [], "{report}");
        let counts = report.counts;
        assert!(counts.writes > 0 && counts.reads > 0 && counts.changes > 0, "{report}");
        assert!(counts.promotions > 0, "{report}");
    }
}

/// The hash covers every packet, note and fault; it changes with the core, the model
/// and the draws, and has to be taken anew then.
#[test]
fn a_seed_reproduces_a_run_bit_for_bit() {
    let first = run(7, Variant::Correct);
    assert_eq!(run(7, Variant::Correct), first);
    assert_ne!(run(8, Variant::Correct).hash, first.hash);
    assert_eq!(first.hash, "8c7545b52984328114f8b148afc576e8aead57211b9c8148d9e1d1b0c282e0cc");
}

#[rstest]
#[case(Variant::TokenNotChecked, 1, "StaleRead")]
#[case(Variant::ReadIndexNotConfirmed, 324, "StaleRead")]
#[case(Variant::AckBeforeMajority, 3, "AcknowledgedWriteLost")]
#[case(Variant::AckBeforeSync, 26, "StaleRead")]
#[case(Variant::KeyNotRemembered, 1, "WriteRanTwice")]
#[case(Variant::SnapshotNotCompared, 10, "ConfigurationReverted")]
#[case(Variant::SnapshotNotProven, 15, "ConfigurationReverted")]
#[case(Variant::PromoteEveryMember, 80, "TwoPrimaries")]
#[case(Variant::TermNotPersisted, 477, "TwoLeaders")]
#[case(Variant::LogNotPersisted, 2, "LogsDiffer")]
#[case(Variant::RefusedWriteRuns, 6, "RefusedWriteRan")]
// Two nodes called for a promotion under one fence: the cell was restarted between a decision and its call.
#[case(Variant::DutiesBeforeOwnTerm, 17, "TwoHolders")]
// A voter that is removed while it is cut off never comes back, and the cell stays one voter short.
#[case(Variant::RemovedVoterRequestsNothing, 0, "NotHealthy")]
// A replica whose disk was full for a moment never serves again, though its process stays.
#[case(Variant::FailedWriteEndsReplica, 0, "NotHealthy")]
fn the_checker_sees_a_broken_variant(
    #[case] variant: Variant,
    #[case] seed: u64,
    #[case] expected: &str,
) {
    let report = run(seed, variant);
    let mut names = report.violations.iter().map(|violation| format!("{violation:?}"));
    assert!(names.any(|name| name.starts_with(expected)), "{report}");
}

#[test]
fn every_broken_variant_has_a_case() {
    assert_eq!(Variant::BROKEN.len(), 14);
}
