//! The platform's list of machines.
//!
//! Compares the list with the control state. Owns nothing; the list is a hint, see [`super`].

use crate::identity::{GroupName, Incarnation, MemberName, ProxyName};
use crate::state::{ControlState, GroupRecord};
use crate::view::ProxyState;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The platform's list of live and leaving machines, by the address they serve at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// Machines that run.
    pub live: BTreeSet<SocketAddr>,
    /// Machines that are about to go.
    pub leaving: BTreeSet<SocketAddr>,
}

impl PlatformList {
    /// What the list says of a machine that is or was called leaving: still leaving,
    /// live again, or nothing. One that it lists twice is leaving.
    fn is_leaving(&self, address: &SocketAddr) -> Option<bool> {
        if self.leaving.contains(address) {
            return Some(true);
        }
        self.live.contains(address).then_some(false)
    }

    /// Back ends whose state differs from what the list says. One that is on
    /// neither list keeps its state.
    pub(super) fn changed_members(
        &self,
        state: &ControlState,
    ) -> Vec<(GroupName, MemberName, bool)> {
        let groups = state.groups();
        groups.flat_map(|(name, group)| self.changed_of_group(name, group)).collect()
    }

    fn changed_of_group<'a>(
        &'a self,
        name: &'a GroupName,
        group: &'a GroupRecord,
    ) -> impl Iterator<Item = (GroupName, MemberName, bool)> + 'a {
        group.view.spec.members.iter().filter_map(move |member| {
            let leaving = self.is_leaving(&member.address)?;
            let known = group.leaving.contains(&member.name);
            (leaving != known).then(|| (name.clone(), member.name.clone(), leaving))
        })
    }

    /// Live proxies that the list calls leaving.
    pub(super) fn leaving_proxies(
        &self,
        state: &ControlState,
    ) -> BTreeSet<(ProxyName, Incarnation)> {
        let live = state.proxies().filter(|(_, proxy)| proxy.state == ProxyState::Live);
        let leaving = live.filter(|(_, proxy)| self.leaving.contains(&proxy.address));
        leaving.map(|(name, proxy)| (name.clone(), proxy.incarnation)).collect()
    }
}
