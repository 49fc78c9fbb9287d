//! Choice of the member that a read is sent to, among those that accept reads.
//!
//! The module owns the order in which groups of members are considered: members with room that are
//! not passed over, then all that are not passed over, then all. Within a group, [`choose_reader`]
//! chooses by load.

use super::member_choice::{MemberLoad, choose_reader};

/// A member that accepts reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReaderCandidate {
    /// Observed load of the member.
    pub load: MemberLoad,
    /// Whether the member recently lagged, was silent or had no room.
    pub is_passed_over: bool,
    /// Whether a statement could be sent to the member now.
    pub has_room: bool,
}

/// Returns the index of the member that a read is sent to, or `None` if there are no candidates.
#[must_use]
pub fn choose_available_reader(candidates: &[ReaderCandidate]) -> Option<usize> {
    let choose_among = |is_considered: fn(&ReaderCandidate) -> bool| {
        let considered = (0..candidates.len()).filter(|place| is_considered(&candidates[*place]));
        let places: Vec<usize> = considered.collect();
        let loads: Vec<_> = places.iter().map(|place| candidates[*place].load).collect();
        choose_reader(&loads).map(|chosen| places[chosen])
    };
    choose_among(|candidate| !candidate.is_passed_over && candidate.has_room)
        .or_else(|| choose_among(|candidate| !candidate.is_passed_over))
        .or_else(|| choose_among(|_| true))
}
