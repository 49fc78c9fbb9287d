//! Objects of the view that a command changed, and their conversion to view changes.
//!
//! View changes are ordered so that each change follows the changes of the objects that it refers to.

use super::ControlState;
use crate::identity::{BindingName, ClassName, GroupName, ProxyName};
use crate::registry::{DocumentChange, DocumentReplaced, RegistryChanges};
use crate::view::ViewChange;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Names of the objects that a command changed. The new values are read from the state after the command,
/// so an object that changed twice gives one view change.
#[derive(Debug, Default)]
pub(super) struct ChangeSet {
    pub groups: BTreeSet<GroupName>,
    pub classes: BTreeSet<ClassName>,
    pub bindings: BTreeSet<BindingName>,
    pub proxies: BTreeSet<ProxyName>,
    pub registry: RegistryChanges,
}

impl ChangeSet {
    /// Returns the view changes: proxies before the groups that they own, classes before the bindings that
    /// refer to them.
    pub fn into_changes(self, state: &ControlState) -> Vec<ViewChange> {
        let proxies = self.proxies.into_iter().map(|name| match state.proxies.get(&name) {
            Some(record) => ViewChange::PutProxy(name, record.view.clone()),
            None => ViewChange::DeleteProxy(name),
        });
        let groups = self.groups.into_iter().map(|name| match state.groups.get(&name) {
            Some(group) => ViewChange::PutGroup(name, Arc::clone(&group.view)),
            None => ViewChange::DeleteGroup(name),
        });
        let classes = self.classes.into_iter().map(|name| match state.classes.get(&name) {
            Some(class) => ViewChange::PutClass(name, class.spec.clone()),
            None => ViewChange::DeleteClass(name),
        });
        let bindings = self.bindings.into_iter().map(|name| match state.bindings.get(&name) {
            Some(binding) => ViewChange::PutBinding(name, binding.spec.clone()),
            None => ViewChange::DeleteBinding(name),
        });
        let registry = registry_changes(self.registry, state);
        proxies.chain(groups).chain(classes).chain(bindings).chain(registry).collect()
    }
}

/// Returns the view changes of the registry: the document, then back ends, then promotions.
fn registry_changes(changes: RegistryChanges, state: &ControlState) -> Vec<ViewChange> {
    let registry = &state.registry;
    let document = changes.document.and_then(|replaced| document_change(&replaced, state));
    let back_ends = changes.back_ends.into_iter().map(|member| match registry.back_end(&member) {
        Some(back_end) => ViewChange::PutBackEnd(member, Arc::clone(back_end)),
        None => ViewChange::DeleteBackEnd(member),
    });
    let promotions = changes.promotions.into_iter().filter_map(|group| {
        let promotion = registry.promotion(&group)?.clone();
        Some(ViewChange::PutPromotion(group, promotion))
    });
    document.into_iter().chain(back_ends).chain(promotions).collect()
}

/// Returns the view change of a replaced document: the difference from the former document if that is much
/// smaller, else the whole document.
fn document_change(
    DocumentReplaced { previous }: &DocumentReplaced,
    state: &ControlState,
) -> Option<ViewChange> {
    let document = &state.registry.document()?.document;
    let change = previous.as_ref().and_then(|previous| DocumentChange::between(previous, document));
    Some(match change {
        Some(change) => ViewChange::ChangeDocument(Arc::new(change)),
        None => ViewChange::PutDocument(Arc::clone(document)),
    })
}
