//! The platform's list of machines and its differences to the control state.
//!
//! The list is a hint; see [`super`].

use crate::identity::{GroupName, Incarnation, MemberName, ProxyName};
use crate::state::{ControlState, GroupRecord};
use crate::view::ProxyState;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The platform's list of live and leaving machines, by the address at which they serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// Addresses of the running machines.
    pub live: BTreeSet<SocketAddr>,
    /// Addresses of the machines that will stop soon.
    pub leaving: BTreeSet<SocketAddr>,
}

impl PlatformList {
    /// Reports whether the list has the machine as leaving; none if the machine is not on the list.
    /// A machine that is listed both as live and as leaving is leaving.
    fn is_leaving(&self, address: &SocketAddr) -> Option<bool> {
        if self.leaving.contains(address) {
            return Some(true);
        }
        self.live.contains(address).then_some(false)
    }

    /// Returns the back ends whose stored state differs from the list, with the state of the list.
    /// A back end that is not on the list keeps its state.
    pub(super) fn changed_members(
        &self,
        state: &ControlState,
    ) -> Vec<(GroupName, MemberName, bool)> {
        let groups = state.groups();
        groups.flat_map(|(name, group)| self.changed_members_of_group(name, group)).collect()
    }

    fn changed_members_of_group<'a>(
        &'a self,
        name: &'a GroupName,
        group: &'a GroupRecord,
    ) -> impl Iterator<Item = (GroupName, MemberName, bool)> + 'a {
        group.view.spec.members.iter().filter_map(move |member| {
            let leaving = self.is_leaving(&member.address)?;
            let stored = group.leaving.contains(&member.name);
            (leaving != stored).then(|| (name.clone(), member.name.clone(), leaving))
        })
    }

    /// Returns the live proxies that the list has as leaving.
    pub(super) fn leaving_proxies(
        &self,
        state: &ControlState,
    ) -> BTreeSet<(ProxyName, Incarnation)> {
        let live = state.proxies().filter(|(_, proxy)| proxy.state == ProxyState::Live);
        let leaving = live.filter(|(_, proxy)| self.leaving.contains(&proxy.address));
        leaving.map(|(name, proxy)| (name.clone(), proxy.incarnation)).collect()
    }
}
