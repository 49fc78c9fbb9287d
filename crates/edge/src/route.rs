//! Finds the group of a database and the group's owner in the configuration in force.
//!
//! The module owns nothing and decides without I/O.

use corktack_core::identity::{GroupName, Incarnation, ProxyName};
use corktack_core::view::{GroupView, ProxyState, View};
use corktack_protocol::peer::NotRunReason;
use std::net::SocketAddr;

/// One run of an owner's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerIncarnation {
    /// The proxy.
    pub proxy: ProxyName,
    /// Which run of its process.
    pub incarnation: Incarnation,
}

/// Where a group's owner is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The owner.
    pub owner: OwnerIncarnation,
    /// Address of its interface for edges.
    pub address: SocketAddr,
}

/// The group that serves a database; the first by name if there are several.
#[must_use]
pub fn group_of_database<'v>(
    view: &'v View,
    database: &str,
) -> Option<(&'v GroupName, &'v GroupView)> {
    let serves = |group: &GroupView| group.spec.database == database;
    view.groups.iter().map(|(name, group)| (name, &**group)).find(|(_, group)| serves(group))
}

/// The owner of a group.
///
/// # Errors
/// Why there is none now.
pub fn owner_of(view: &View, group: &GroupView) -> Result<OwnerRoute, NotRunReason> {
    let name = group.owner.as_ref().ok_or(NotRunReason::OwnerUnreachable)?;
    let proxy = view.proxies.get(name).ok_or(NotRunReason::OwnerUnreachable)?;
    if proxy.state == ProxyState::Down {
        return Err(NotRunReason::OwnerUnreachable);
    }
    let owner = OwnerIncarnation { proxy: name.clone(), incarnation: proxy.incarnation };
    Ok(OwnerRoute { owner, address: proxy.address })
}
