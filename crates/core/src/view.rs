//! The configuration as proxies apply it: revisions, snapshots and deltas.
//!
//! Owns the forms that control sends to proxies (order and number of variants and fields stay) and the rule by which
//! a delta changes a view. Relies on control for the order of revisions.

use crate::identity::{
    BindingName, ClassName, GroupName, Incarnation, MemberName, ProxyName, ZoneName,
};
use crate::position::Term;
use crate::registry::{
    Document, DocumentChange, DocumentChangeError, Promotion, RegisteredBackEnd,
};
use crate::resources::{BindingSpec, DatabaseGroupSpec, PriorityClassSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of a committed change of the control state: the index of its log entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// A group as proxies see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The declared part.
    pub spec: DatabaseGroupSpec,
    /// The primary decided last, none while a failover is under way.
    pub primary: Option<MemberName>,
    /// Term of that primary, or of the failover under way.
    pub term: Term,
    /// The proxy that owns the group's server connections and wait queue.
    pub owner: Option<ProxyName>,
    /// Members that get no new work: the operator's word or the platform's list.
    pub draining: BTreeSet<MemberName>,
}

/// State of a proxy process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyState {
    /// Sends heartbeats and may own groups.
    Live,
    /// Is stopping; owns nothing and takes no new callers.
    Draining,
    /// Missed its heartbeats.
    Down,
}

/// A proxy as other proxies see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyView {
    /// Address of its owner interface, for edges.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Number of this incarnation of the process.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: ProxyState,
}

/// One change of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A group was created or changed.
    PutGroup(GroupName, Arc<GroupView>),
    /// A group was deleted.
    DeleteGroup(GroupName),
    /// A class was created or changed.
    PutClass(ClassName, PriorityClassSpec),
    /// A class was deleted.
    DeleteClass(ClassName),
    /// A binding was created or changed.
    PutBinding(BindingName, BindingSpec),
    /// A binding was deleted.
    DeleteBinding(BindingName),
    /// A proxy came or changed.
    PutProxy(ProxyName, ProxyView),
    /// A proxy was forgotten.
    DeleteProxy(ProxyName),
    /// Another configuration document is in force.
    PutDocument(Arc<Document>),
    /// A registered back end came or changed.
    PutBackEnd(MemberName, Arc<RegisteredBackEnd>),
    /// A registered back end left.
    DeleteBackEnd(MemberName),
    /// It was decided who shall lead a group of registered back ends.
    PutPromotion(GroupName, Promotion),
    /// Another configuration document is in force, which differs in this from the one before.
    ChangeDocument(Arc<DocumentChange>),
}

/// The changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision after the changes.
    pub revision: Revision,
    /// The changes, in order.
    pub changes: Vec<ViewChange>,
}

/// The whole configuration in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The revision.
    pub revision: Revision,
    /// The groups.
    pub groups: BTreeMap<GroupName, Arc<GroupView>>,
    /// The priority classes.
    pub classes: BTreeMap<ClassName, PriorityClassSpec>,
    /// The bindings.
    pub bindings: BTreeMap<BindingName, BindingSpec>,
    /// The proxies.
    pub proxies: BTreeMap<ProxyName, ProxyView>,
    /// The configuration document, where a deployment uses one.
    pub document: Option<Arc<Document>>,
    /// The back ends that registered themselves.
    pub back_ends: BTreeMap<MemberName, Arc<RegisteredBackEnd>>,
    /// The last decision on who leads each of their groups.
    pub promotions: BTreeMap<GroupName, Promotion>,
}

/// A delta or snapshot that must not be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// The revision is not above the one in force.
    #[error("revision {offered:?} is not above {in_force:?}, which is in force")]
    NotNewer {
        /// Revision of the delta or snapshot.
        offered: Revision,
        /// Revision in force.
        in_force: Revision,
    },
    /// It changes another document than the one in force.
    #[error(transparent)]
    Document(#[from] DocumentChangeError),
}

impl View {
    /// Applies the changes of a later revision.
    ///
    /// # Errors
    /// [`ViewError::NotNewer`] when the revision is not above the one in force: configuration never
    /// reverts. [`ViewError::Document`] when it is not for this view, which stays as it is.
    pub fn apply(&mut self, delta: Delta) -> Result<(), ViewError> {
        self.check_newer(delta.revision)?;
        let document = self.document_after(&delta)?;
        for change in delta.changes {
            self.apply_change(change);
        }
        self.document = document;
        self.revision = delta.revision;
        Ok(())
    }

    /// Replaces the whole view by a later snapshot.
    ///
    /// # Errors
    /// [`ViewError::NotNewer`] as for [`View::apply`].
    pub fn replace(&mut self, snapshot: Self) -> Result<(), ViewError> {
        self.check_newer(snapshot.revision)?;
        *self = snapshot;
        Ok(())
    }

    fn check_newer(&self, offered: Revision) -> Result<(), ViewError> {
        if offered > self.revision {
            return Ok(());
        }
        Err(ViewError::NotNewer { offered, in_force: self.revision })
    }

    /// The document that is in force after a delta.
    fn document_after(&self, delta: &Delta) -> Result<Option<Arc<Document>>, ViewError> {
        let mut document = self.document.clone();
        for change in &delta.changes {
            match change {
                ViewChange::PutDocument(other) => document = Some(Arc::clone(other)),
                ViewChange::ChangeDocument(change) => {
                    document = Some(Arc::new(change.apply(document.as_deref())?));
                }
                _ => (),
            }
        }
        Ok(document)
    }

    fn apply_change(&mut self, change: ViewChange) {
        match change {
            ViewChange::PutGroup(name, group) => drop(self.groups.insert(name, group)),
            ViewChange::DeleteGroup(name) => drop(self.groups.remove(&name)),
            ViewChange::PutClass(name, class) => drop(self.classes.insert(name, class)),
            ViewChange::DeleteClass(name) => drop(self.classes.remove(&name)),
            ViewChange::PutBinding(name, binding) => drop(self.bindings.insert(name, binding)),
            ViewChange::DeleteBinding(name) => drop(self.bindings.remove(&name)),
            ViewChange::PutProxy(name, proxy) => drop(self.proxies.insert(name, proxy)),
            ViewChange::DeleteProxy(name) => drop(self.proxies.remove(&name)),
            // The document is worked out before anything is changed.
            ViewChange::PutDocument(_) | ViewChange::ChangeDocument(_) => (),
            ViewChange::PutBackEnd(name, back_end) => drop(self.back_ends.insert(name, back_end)),
            ViewChange::DeleteBackEnd(name) => drop(self.back_ends.remove(&name)),
            ViewChange::PutPromotion(group, promotion) => {
                self.promotions.insert(group, promotion);
            }
        }
    }
}
