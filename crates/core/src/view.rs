//! The configuration as proxies apply it: revisions, snapshots and deltas.
//!
//! The module defines the messages that control sends to proxies and the rule by which a delta
//! changes a view. The messages are encoded by position, so the order and number of variants and
//! fields must not change. Control orders the revisions.

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
    /// Declared spec of the group.
    pub spec: DatabaseGroupSpec,
    /// Last decided primary; none while a failover is under way.
    pub primary: Option<MemberName>,
    /// Term of that primary, or of the failover under way.
    pub term: Term,
    /// Proxy that owns the group's server connections and wait queue.
    pub owner: Option<ProxyName>,
    /// Members that get no new work, by the operator's declaration or the platform's list.
    pub draining: BTreeSet<MemberName>,
}

/// State of a proxy process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyState {
    /// The proxy sends heartbeats and may own groups.
    Live,
    /// The proxy is stopping; it owns no groups and accepts no new callers.
    Draining,
    /// The proxy's heartbeats are missing.
    Down,
}

/// A proxy as other proxies see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyView {
    /// Address of the proxy's owner interface, to which edges connect.
    pub address: SocketAddr,
    /// Zone that the proxy runs in.
    pub zone: ZoneName,
    /// Incarnation of the proxy process.
    pub incarnation: Incarnation,
    /// Liveness of the proxy.
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
    /// A proxy was registered or changed.
    PutProxy(ProxyName, ProxyView),
    /// A proxy was removed from the control state.
    DeleteProxy(ProxyName),
    /// Another configuration document was put in force.
    PutDocument(Arc<Document>),
    /// A back end registered or its registration changed.
    PutBackEnd(MemberName, Arc<RegisteredBackEnd>),
    /// A registered back end left.
    DeleteBackEnd(MemberName),
    /// A promotion was decided for a group of registered back ends.
    PutPromotion(GroupName, Promotion),
    /// Another configuration document was put in force, given as the change from the document before.
    ChangeDocument(Arc<DocumentChange>),
}

/// The changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after the changes.
    pub revision: Revision,
    /// Changes in the order in which they are applied.
    pub changes: Vec<ViewChange>,
}

/// The whole configuration in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Revision of the last applied change.
    pub revision: Revision,
    /// Groups by name.
    pub groups: BTreeMap<GroupName, Arc<GroupView>>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassName, PriorityClassSpec>,
    /// Bindings by name.
    pub bindings: BTreeMap<BindingName, BindingSpec>,
    /// Registered proxies by name.
    pub proxies: BTreeMap<ProxyName, ProxyView>,
    /// Configuration document in force; none if the deployment does not use one.
    pub document: Option<Arc<Document>>,
    /// Back ends that registered by heartbeat, by identity.
    pub back_ends: BTreeMap<MemberName, Arc<RegisteredBackEnd>>,
    /// Last promotion decision for each group of registered back ends.
    pub promotions: BTreeMap<GroupName, Promotion>,
}

/// Why a delta or snapshot is rejected.
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
    /// The delta changes another document than the one in force.
    #[error(transparent)]
    Document(#[from] DocumentChangeError),
}

impl View {
    /// Applies the changes of a later revision.
    ///
    /// # Errors
    /// [`ViewError::NotNewer`] if the revision is not above the one in force: configuration never
    /// reverts. [`ViewError::Document`] if the delta changes another document than the one in force.
    /// The view is unchanged after an error.
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

    /// Replaces the whole view with a later snapshot.
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

    /// Returns the document that is in force after a delta.
    fn document_after(&self, delta: &Delta) -> Result<Option<Arc<Document>>, ViewError> {
        let mut document = self.document.clone();
        for change in &delta.changes {
            match change {
                ViewChange::PutDocument(replacement) => document = Some(Arc::clone(replacement)),
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
            // `document_after` computes the document before the view is changed.
            ViewChange::PutDocument(_) | ViewChange::ChangeDocument(_) => (),
            ViewChange::PutBackEnd(name, back_end) => drop(self.back_ends.insert(name, back_end)),
            ViewChange::DeleteBackEnd(name) => drop(self.back_ends.remove(&name)),
            ViewChange::PutPromotion(group, promotion) => {
                self.promotions.insert(group, promotion);
            }
        }
    }
}
