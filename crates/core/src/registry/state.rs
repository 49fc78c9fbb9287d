//! The registry as part of the control state.
//!
//! The state holds the document in force, the registered back ends, the promotion decisions and the
//! ceilings of tenants' limits. Each replica applies the same commands of the log. Snapshots store
//! the state by position, so the order and number of the fields must not change.

use super::back_end::{BackEndReport, BackEndRole, BackEndState, RegisteredBackEnd};
use super::document::{Document, StoredDocument};
use crate::identity::{GroupName, MemberName};
use crate::limits::CeilingChange;
use crate::tenancy::TenantName;
use crate::view::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Highest number of identities remembered of back ends that left, so that a delayed heartbeat
/// does not register one of them again. Bounds the size of the state.
const DEPARTED_LIMIT: usize = 1_024;

/// A command of the log that changes the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryCommand {
    /// Puts a checked document in force if its version is above the version in force.
    PutDocument(StoredDocument),
    /// Registers a back end or updates its registration.
    Report {
        /// Identity of the back end.
        member: MemberName,
        /// Latest heartbeat of the back end.
        report: BackEndReport,
    },
    /// Removes a back end permanently.
    Leave {
        /// Identity of the back end.
        member: MemberName,
    },
    /// Decides to promote a member to primary of its group. The index of the entry is the fence of the
    /// calls to the promotion authority.
    Promote {
        /// Group of the member.
        group: GroupName,
        /// Member to promote.
        target: MemberName,
    },
    /// Changes the ceilings of tenants' limits.
    ChangeCeilings(Vec<CeilingChange>),
}

/// A decision to promote a member to primary of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// Member to promote.
    pub target: MemberName,
    /// Index of the decision in the log. The fence rises with each decision, so that a call of an
    /// older decision is recognised, and no two leaders use the same fence.
    pub fence: Revision,
}

/// Result of applying a [`RegistryCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryOutcome {
    /// Result of [`RegistryCommand::PutDocument`].
    Document {
        /// Version of the document in force after the command.
        held: u64,
    },
    /// The state holds the report of the back end, or a newer or final report overrides it.
    Registered,
    /// The promotion decision is in the log.
    Promoting {
        /// Fence of the decision.
        fence: Revision,
    },
    /// The member to promote is not in the group, or is leaving.
    NoSuchMember,
    /// The ceilings were changed.
    CeilingsChanged,
}

/// A registered back end, with the sequence number of its last applied heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct BackEndRecord {
    back_end: Arc<RegisteredBackEnd>,
    sequence: u64,
}

/// Another document was put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentReplaced {
    /// Document that was in force before; none if there was none.
    pub previous: Option<Arc<Document>>,
}

/// Changes by one command that the view must include.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Set if another document was put in force.
    pub document: Option<DocumentReplaced>,
    /// Back ends that registered, changed or left.
    pub back_ends: BTreeSet<MemberName>,
    /// Groups with a new promotion decision.
    pub promotions: BTreeSet<GroupName>,
}

/// The document, the back ends, the promotion decisions and the ceilings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryState {
    document: Option<StoredDocument>,
    back_ends: BTreeMap<MemberName, BackEndRecord>,
    departed: BTreeMap<MemberName, Revision>,
    promotions: BTreeMap<GroupName, Promotion>,
    /// Ceilings of tenants' limits, for tenants whose ceiling is above the default.
    ceilings: BTreeMap<TenantName, u64>,
    /// Replicas that left, for those entries of the log that this process has applied. A snapshot doesn't
    /// contain them.
    #[serde(skip)]
    departures: Departures,
}

/// Replicas that left, until a successor registers at their address.
#[derive(Clone, Debug, Default)]
struct Departures(BTreeMap<MemberName, Arc<RegisteredBackEnd>>);

impl PartialEq for Departures {
    /// The departures depend on where a process began to apply the log, and are no part of the agreed state.
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Departures {}

impl Departures {
    fn remove_succeeded_by(&mut self, successor: &RegisteredBackEnd) {
        let is_succeeded = |left: &RegisteredBackEnd| {
            left.group == successor.group && left.address == successor.address
        };
        self.0.retain(|_, left| !is_succeeded(left));
    }
}

impl RegistryState {
    /// Applies the command of the log entry at `revision` and adds what it changed to `changes`.
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

    /// Puts the document in force if its version is above the version in force, else changes nothing.
    fn put_document(
        &mut self,
        offered: StoredDocument,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        let held = self.document.as_ref().map(|stored| stored.document.version);
        let version = offered.document.version;
        if held.is_some_and(|held| held >= version) {
            return RegistryOutcome::Document { held: held.unwrap_or(version) };
        }
        let replaced = self.document.replace(offered);
        changes.document =
            Some(DocumentReplaced { previous: replaced.map(|stored| stored.document) });
        RegistryOutcome::Document { held: version }
    }

    fn report(
        &mut self,
        member: MemberName,
        report: BackEndReport,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        if !self.changes_registration(&member, &report) {
            return RegistryOutcome::Registered;
        }
        let mut back_end = report.back_end;
        let stored = self.back_ends.get(&member).map(|record| record.back_end.state);
        // `Draining` is final, whatever state a faulty process reports later.
        back_end.state = stored.map_or(back_end.state, |stored| stored.max(back_end.state));
        self.departures.remove_succeeded_by(&back_end);
        let record = BackEndRecord { back_end: Arc::new(back_end), sequence: report.sequence };
        self.back_ends.insert(member.clone(), record);
        changes.back_ends.insert(member);
        RegistryOutcome::Registered
    }

    /// Reports whether a heartbeat changes the registration of the back end. Only such heartbeats
    /// go through the log.
    #[must_use]
    pub fn changes_registration(&self, member: &MemberName, report: &BackEndReport) -> bool {
        if self.departed.contains_key(member) {
            return false;
        }
        let Some(record) = self.back_ends.get(member) else { return true };
        let stored = &record.back_end;
        let mut offered = report.back_end.clone();
        offered.state = offered.state.max(stored.state);
        // `Draining` is applied even from a heartbeat that was overtaken, as the state is final.
        let newer = report.sequence > record.sequence || offered.state > stored.state;
        newer && offered != **stored
    }

    fn leave(
        &mut self,
        revision: Revision,
        member: MemberName,
        changes: &mut RegistryChanges,
    ) -> RegistryOutcome {
        if let Some(record) = self.back_ends.remove(&member) {
            changes.back_ends.insert(member.clone());
            if record.back_end.role == BackEndRole::Replica {
                self.departures.0.insert(member.clone(), record.back_end);
            }
        }
        self.departed.entry(member).or_insert(revision);
        self.trim_departed();
        RegistryOutcome::Registered
    }

    /// Removes the oldest departed identities above [`DEPARTED_LIMIT`].
    fn trim_departed(&mut self) {
        while self.departed.len() > DEPARTED_LIMIT {
            let oldest = self.departed.iter().min_by_key(|(_, revision)| **revision);
            let Some(oldest) = oldest.map(|(member, _)| member.clone()) else { return };
            self.departed.remove(&oldest);
            self.departures.0.remove(&oldest);
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

    /// Returns the ceilings of tenants' limits, for tenants whose ceiling is above the default.
    #[must_use]
    pub const fn ceilings(&self) -> &BTreeMap<TenantName, u64> {
        &self.ceilings
    }

    /// Returns the document in force, with its source text.
    #[must_use]
    pub const fn document(&self) -> Option<&StoredDocument> {
        self.document.as_ref()
    }

    /// Returns the registration of a back end.
    #[must_use]
    pub fn back_end(&self, member: &MemberName) -> Option<&Arc<RegisteredBackEnd>> {
        self.back_ends.get(member).map(|record| &record.back_end)
    }

    /// Returns all registered back ends, in order of identity.
    pub fn back_ends(&self) -> impl Iterator<Item = (&MemberName, &Arc<RegisteredBackEnd>)> {
        self.back_ends.iter().map(|(member, record)| (member, &record.back_end))
    }

    /// Returns the replicas of a group that left and at whose address no successor has registered. The
    /// successor takes over the log, which may hold the only copy of an acknowledged commit.
    pub fn replicas_without_successor(
        &self,
        group: &GroupName,
    ) -> impl Iterator<Item = (&MemberName, &Arc<RegisteredBackEnd>)> {
        self.departures.0.iter().filter(move |(_, left)| left.group == *group)
    }

    /// Returns the last promotion decision for a group.
    #[must_use]
    pub fn promotion(&self, group: &GroupName) -> Option<&Promotion> {
        self.promotions.get(group)
    }

    /// Returns the last promotion decision of each group, in order of group.
    pub fn promotions(&self) -> impl Iterator<Item = (&GroupName, &Promotion)> {
        self.promotions.iter()
    }
}
