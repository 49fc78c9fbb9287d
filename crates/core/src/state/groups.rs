//! Decisions about a group's primary, and the platform's word on its members.
//!
//! Changes the state as a command of the log says; a step of an older term is refused. Relies on [`crate::failover`]
//! for the decisions.

use super::ControlState;
use super::change_set::ChangeSet;
use super::command::{FailoverStep, Refusal};
use super::records::GroupRecord;
use crate::identity::{GroupName, MemberName};
use crate::position::Term;
use std::collections::BTreeSet;
use std::sync::Arc;

impl ControlState {
    /// Takes the steps one by one; refused ones change nothing.
    pub(super) fn apply_failover(
        &mut self,
        batch: Vec<(GroupName, FailoverStep)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        let mut blind = BTreeSet::new();
        for (place, (name, step)) in batch.into_iter().enumerate() {
            let Some(group) = self.groups.get_mut(&name) else {
                refused.push((place, Refusal::NotFound));
                continue;
            };
            match take_step(group, step) {
                Ok(false) => {}
                Ok(true) => {
                    if group.placed_blindly && group.view.primary.is_some() {
                        blind.insert(name.clone());
                    }
                    changed.groups.insert(name);
                }
                Err(refusal) => refused.push((place, refusal)),
            }
        }
        self.reassign_owners(&blind, changed);
        refused
    }

    /// Notes which members the platform calls leaving.
    pub(super) fn members_leaving(
        &mut self,
        batch: Vec<(GroupName, MemberName, bool)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        for (place, (name, member, leaving)) in batch.into_iter().enumerate() {
            let group = self.groups.get_mut(&name);
            let known = group.filter(|group| group.view.spec.member(&member).is_some());
            let Some(group) = known else {
                refused.push((place, Refusal::NotFound));
                continue;
            };
            if group.set_leaving(member, leaving) {
                changed.groups.insert(name);
            }
        }
        refused
    }
}

/// Takes one step; tells whether it changed the group. A repeated step is accepted
/// and changes nothing.
fn take_step(group: &mut GroupRecord, step: FailoverStep) -> Result<bool, Refusal> {
    let stored = group.view.term;
    match step {
        FailoverStep::Begin { term } if term > stored => {
            set_primary(group, None, term);
            Ok(true)
        }
        FailoverStep::Complete { primary, term } if term == stored => {
            announce(group, primary, term)
        }
        FailoverStep::Adopt { primary, term } if term >= stored => announce(group, primary, term),
        _ => Err(Refusal::StaleTerm { stored }),
    }
}

/// Announces the primary of a term. A term has one primary for ever, so another
/// one of the stored term is refused.
fn announce(group: &mut GroupRecord, primary: MemberName, term: Term) -> Result<bool, Refusal> {
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
