//! Which objects of the view one command touched.

use super::ControlState;
use crate::identity::{BindingName, ClassName, GroupName, ProxyName};
use crate::view::ViewChange;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Names of the objects that changed. The changes themselves are read from the
/// state once the command is done, so an object changed twice is told once.
#[derive(Debug, Default)]
pub(super) struct ChangeSet {
    pub groups: BTreeSet<GroupName>,
    pub classes: BTreeSet<ClassName>,
    pub bindings: BTreeSet<BindingName>,
    pub proxies: BTreeSet<ProxyName>,
}

impl ChangeSet {
    /// The changes: proxies before the groups they own, classes before the bindings that name them.
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
        proxies.chain(groups).chain(classes).chain(bindings).collect()
    }
}
