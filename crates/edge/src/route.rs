//! Looks up the group of a database and the group's owner in the configuration in force.

use corktack_core::identity::{GroupName, Incarnation, ProxyName};
use corktack_core::view::{GroupView, ProxyState, View};
use corktack_protocol::peer::NotRunReason;
use std::net::SocketAddr;

/// One incarnation (run) of a proxy's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerIncarnation {
    /// Name of the proxy.
    pub proxy: ProxyName,
    /// Number of the run; a restarted process has another one.
    pub incarnation: Incarnation,
}

/// A group's owner and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The owner's process.
    pub owner: OwnerIncarnation,
    /// Address at which the owner accepts connections from edges.
    pub address: SocketAddr,
}

/// Returns the group that serves a database; the first by name if there are several.
#[must_use]
pub fn group_of_database<'v>(
    view: &'v View,
    database: &str,
) -> Option<(&'v GroupName, &'v GroupView)> {
    let serves = |group: &GroupView| group.spec.database == database;
    view.groups.iter().map(|(name, group)| (name, &**group)).find(|(_, group)| serves(group))
}

/// Returns the owner of a group.
///
/// # Errors
/// Returns [`NotRunReason::OwnerUnreachable`] if the group has no owner, or its owner is unknown or
/// down.
pub fn owner_of(view: &View, group: &GroupView) -> Result<OwnerRoute, NotRunReason> {
    let name = group.owner.as_ref().ok_or(NotRunReason::OwnerUnreachable)?;
    let proxy = view.proxies.get(name).ok_or(NotRunReason::OwnerUnreachable)?;
    if proxy.state == ProxyState::Down {
        return Err(NotRunReason::OwnerUnreachable);
    }
    let owner = OwnerIncarnation { proxy: name.clone(), incarnation: proxy.incarnation };
    Ok(OwnerRoute { owner, address: proxy.address })
}
