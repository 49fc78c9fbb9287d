//! The registry as part of the control state.
//!
//! Owns the document in force, the back ends, the decisions on who leads and the ceilings. Applies commands of the
//! log, the same on each replica; stored in snapshots, so that order and number of fields stay.

use super::back_end::{BackEndReport, BackEndState, RegisteredBackEnd};
use super::document::{Document, StoredDocument};
use crate::identity::{GroupName, MemberName};
use crate::limits::CeilingChange;
use crate::tenancy::TenantName;
use crate::view::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Identities of back ends that left and are still remembered, so that a heartbeat that comes
/// late does not bring one back. Chosen, not measured: a bound on the state.
const DEPARTED_LIMIT: usize = 1_024;

/// A change of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryCommand {
    /// Puts a checked document in force if its version is above the one held.
    PutDocument(StoredDocument),
    /// A back end came, or says something new of itself.
    Report {
        /// Its identity.
        member: MemberName,
        /// What it says.
        report: BackEndReport,
    },
    /// A back end is gone for good.
    Leave {
        /// Its identity.
        member: MemberName,
    },
    /// Decides that a member shall lead its group. The index of the entry fences the calls.
    Promote {
        /// The group.
        group: GroupName,
        /// The member that shall lead.
        target: MemberName,
    },
    /// Changes how much of tenants' limits may be given at most.
    ChangeCeilings(Vec<CeilingChange>),
}

/// A decision on who leads a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// The member that shall lead.
    pub target: MemberName,
    /// Index of the decision in the log: rises with each decision, so that a call of an older
    /// one is known. Two holders of the duty never share one.
    pub fence: Revision,
}

/// Answer to a [`RegistryCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryOutcome {
    /// The document in force after the command.
    Document {
        /// Its version.
        held: u64,
    },
    /// The back end's word is in the state, or an older or final word of it stands.
    Registered,
    /// The decision is in the log.
    Promoting {
        /// Its fence.
        fence: Revision,
    },
    /// The member named is not one of the group, or is leaving.
    NoSuchMember,
    /// The ceilings are in the state.
    CeilingsChanged,
}

/// A back end with what only the registry needs of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BackEndRecord {
    back_end: Arc<RegisteredBackEnd>,
    sequence: u64,
}

/// That another document is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentReplaced {
    /// The one before; none where this is the first.
    pub former: Option<Arc<Document>>,
}

/// What one command touched, for the view.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Another document is in force.
    pub document: Option<DocumentReplaced>,
    /// Back ends that came, changed or left.
    pub back_ends: BTreeSet<MemberName>,
    /// Groups with a new decision on who leads.
    pub promotions: BTreeSet<GroupName>,
}

/// The registry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryState {
    document: Option<StoredDocument>,
    back_ends: BTreeMap<MemberName, BackEndRecord>,
    departed: BTreeMap<MemberName, Revision>,
    promotions: BTreeMap<GroupName, Promotion>,
    /// The most that is given of tenants' limits, where it is more than the default.
    ceilings: BTreeMap<TenantName, u64>,
}

impl RegistryState {
    /// Applies the command of the log entry at `revision`.
    pub fn apply(
        &mut self,
        revision: Revision,
        command: RegistryCommand,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        match command {
            RegistryCommand::PutDocument(document) => self.put_document(document, changes),
            RegistryCommand::Report { member, report } => self.report(member, report, changes),
            RegistryCommand::Leave { member } => self.leave(revision, member, changes),
            RegistryCommand::Promote { group, target } => {
                self.promote(revision, group, target, changes)
            }
            RegistryCommand::ChangeCeilings(ceilings) => self.change_ceilings(ceilings),
        }
    }

    /// The highest version is in force; one that is not above it changes nothing.
    fn put_document(
        &mut self,
        offered: StoredDocument,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        let held = self.document.as_ref().map(|held| held.document.version);
        let version = offered.document.version;
        if held.is_some_and(|held| held >= version) {
            return RegistryOutcome::Document { held: held.unwrap_or(version) };
        }
        let replaced = self.document.replace(offered);
        changes.document = Some(DocumentReplaced { former: replaced.map(|it| it.document) });
        RegistryOutcome::Document { held: version }
    }

    fn report(
        &mut self,
        member: MemberName,
        report: BackEndReport,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        if !self.is_news(&member, &report) {
            return RegistryOutcome::Registered;
        }
        let mut back_end = report.back_end;
        let known = self.back_ends.get(&member).map(|record| record.back_end.state);
        // Leaving is final, whatever a confused process says later.
        back_end.state = known.map_or(back_end.state, |known| known.max(back_end.state));
        let record = BackEndRecord { back_end: Arc::new(back_end), sequence: report.sequence };
        self.back_ends.insert(member.clone(), record);
        changes.back_ends.insert(member);
        RegistryOutcome::Registered
    }

    /// Whether a heartbeat says something that the registry does not hold yet: only such a one
    /// goes through the log.
    #[must_use]
    pub fn is_news(&self, member: &MemberName, report: &BackEndReport) -> bool {
        if self.departed.contains_key(member) {
            return false;
        }
        let Some(record) = self.back_ends.get(member) else { return true };
        let known = &record.back_end;
        let mut offered = report.back_end.clone();
        offered.state = offered.state.max(known.state);
        // A drain is taken also from a heartbeat that was overtaken: it cannot be taken back.
        let newer = report.sequence > record.sequence || offered.state > known.state;
        newer && offered != **known
    }

    fn leave(
        &mut self,
        revision: Revision,
        member: MemberName,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        if self.back_ends.remove(&member).is_some() {
            changes.back_ends.insert(member.clone());
        }
        self.departed.entry(member).or_insert(revision);
        self.forget_departed();
        RegistryOutcome::Registered
    }

    fn forget_departed(&mut self) {
        while self.departed.len() > DEPARTED_LIMIT {
            let oldest = self.departed.iter().min_by_key(|(_, revision)| **revision);
            let Some(oldest) = oldest.map(|(member, _)| member.clone()) else { return };
            self.departed.remove(&oldest);
        }
    }

    fn promote(
        &mut self,
        revision: Revision,
        group: GroupName,
        target: MemberName,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        let eligible = self.back_ends.get(&target).is_some_and(|record| {
            record.back_end.group == group && record.back_end.state == BackEndState::Ready
        });
        if !eligible {
            return RegistryOutcome::NoSuchMember;
        }
        self.promotions.insert(group.clone(), Promotion { target, fence: revision });
        changes.promotions.insert(group);
        RegistryOutcome::Promoting { fence: revision }
    }

    fn change_ceilings(&mut self, changes: Vec<CeilingChange>) -> RegistryOutcome {
        changes.into_iter().for_each(|change| change.apply(&mut self.ceilings));
        RegistryOutcome::CeilingsChanged
    }

    /// The most that is given of tenants' limits, where it is more than the default.
    #[must_use]
    pub const fn ceilings(&self) -> &BTreeMap<TenantName, u64> {
        &self.ceilings
    }

    /// The document in force, with its text.
    #[must_use]
    pub const fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// One back end.
    #[must_use]
    pub fn back_end(&self, member: &MemberName) -> Option<&Arc<RegisteredBackEnd>> {
        self.back_ends.get(member).map(|record| &record.back_end)
    }

    /// All back ends, by identity.
    pub fn back_ends(&self) -> impl Iterator<Item = (&MemberName, &Arc<RegisteredBackEnd>)> {
        self.back_ends.iter().map(|(member, record)| (member, &record.back_end))
    }

    /// The last decision on who leads a group.
    #[must_use]
    pub fn promotion(&self, group: &GroupName) -> Option<&Promotion> {
        self.promotions.get(group)
    }

    /// All last decisions, by group.
    pub fn promotions(&self) -> impl Iterator<Item = (&GroupName, &Promotion)> {
        self.promotions.iter()
    }
}
