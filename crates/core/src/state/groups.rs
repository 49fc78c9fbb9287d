//! Applies failover steps and the platform's reports of leaving members to the control state.
//!
//! [`crate::failover`] decides on the steps. A step of an older term is refused.

use super::ControlState;
use super::change_set::ChangeSet;
use super::command::{FailoverStep, Refusal};
use super::records::GroupRecord;
use crate::identity::{GroupName, MemberName};
use crate::position::Term;
use std::collections::BTreeSet;
use std::sync::Arc;

impl ControlState {
    /// Applies the steps in order; a refused step changes nothing. Returns the index and reason of each
    /// refused step.
    pub(super) fn apply_failover(
        &mut self,
        batch: Vec<(GroupName, FailoverStep)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        let mut to_reassign = BTreeSet::new();
        for (index, (name, step)) in batch.into_iter().enumerate() {
            let Some(group) = self.groups.get_mut(&name) else {
                refused.push((index, Refusal::NotFound));
                continue;
            };
            match apply_step(group, step) {
                Ok(false) => {}
                Ok(true) => {
                    if group.owner_chosen_without_zone && group.view.primary.is_some() {
                        to_reassign.insert(name.clone());
                    }
                    changed.groups.insert(name);
                }
                Err(refusal) => refused.push((index, refusal)),
            }
        }
        self.reassign_owners(&to_reassign, changed);
        refused
    }

    /// Records which members the platform reports as leaving.
    pub(super) fn set_members_leaving(
        &mut self,
        batch: Vec<(GroupName, MemberName, bool)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        for (index, (name, member, leaving)) in batch.into_iter().enumerate() {
            let group = self.groups.get_mut(&name);
            let group_with_member = group.filter(|group| group.view.spec.member(&member).is_some());
            let Some(group) = group_with_member else {
                refused.push((index, Refusal::NotFound));
                continue;
            };
            if group.set_leaving(member, leaving) {
                changed.groups.insert(name);
            }
        }
        refused
    }
}

/// Applies one step and returns whether the group changed. A repeated step is accepted and changes nothing.
fn apply_step(group: &mut GroupRecord, step: FailoverStep) -> Result<bool, Refusal> {
    let stored = group.view.term;
    match step {
        FailoverStep::Begin { term } if term > stored => {
            set_primary(group, None, term);
            Ok(true)
        }
        FailoverStep::Complete { primary, term } if term == stored => {
            announce_primary(group, primary, term)
        }
        FailoverStep::Adopt { primary, term } if term >= stored => {
            announce_primary(group, primary, term)
        }
        _ => Err(Refusal::StaleTerm { stored }),
    }
}

/// Announces the primary of a term, and returns whether the group changed. A term never has a second primary,
/// so another primary of the stored term is refused.
fn announce_primary(
    group: &mut GroupRecord,
    primary: MemberName,
    term: Term,
) -> Result<bool, Refusal> {
    let stored = group.view.term;
    if group.view.spec.member(&primary).is_none() {
        return Err(Refusal::NotFound);
    }
    match &group.view.primary {
        Some(announced) if term == stored && *announced == primary => Ok(false),
        Some(_) if term == stored => Err(Refusal::StaleTerm { stored }),
        _ => {
            set_primary(group, Some(primary), term);
            Ok(true)
        }
    }
}

fn set_primary(group: &mut GroupRecord, primary: Option<MemberName>, term: Term) {
    let view = Arc::make_mut(&mut group.view);
    view.primary = primary;
    view.term = term;
}
