//! Which member a read is offered to, among those that take reads.
//!
//! It is for reads that any member may serve. It owns the order in which members are considered: those with
//! room, those that served lately, all. It relies on [`choose_reader`] for the choice by load.

use super::member_choice::{MemberLoad, choose_reader};

/// A member that takes reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReaderCandidate {
    /// What is known of its load.
    pub load: MemberLoad,
    /// Whether it lagged, was silent or had no room a moment ago.
    pub is_passed_over: bool,
    /// Whether a statement could be sent there now.
    pub has_room: bool,
}

/// The place of the member that a read is offered to; none where there is no candidate.
#[must_use]
pub fn choose_available_reader(candidates: &[ReaderCandidate]) -> Option<usize> {
    let choose = |may_serve: fn(&ReaderCandidate) -> bool| {
        let places = (0..candidates.len()).filter(|place| may_serve(&candidates[*place]));
        let places: Vec<usize> = places.collect();
        let loads: Vec<_> = places.iter().map(|place| candidates[*place].load).collect();
        choose_reader(&loads).map(|chosen| places[chosen])
    };
    choose(|candidate| !candidate.is_passed_over && candidate.has_room)
        .or_else(|| choose(|candidate| !candidate.is_passed_over))
        .or_else(|| choose(|_| true))
}
