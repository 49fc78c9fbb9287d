//! A whole stand-in group of three members in one process.
//!
//! Owns the members, their ports and folders; a member that was stopped starts again on the same ports.

use crate::error::MemberError;
use crate::member::{Member, MemberHandle, MemberSettings, Peer, bind_loopback};
use corktack_core::identity::{GroupName, MemberName};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

/// Members of a group.
pub const GROUP_SIZE: usize = 3;

/// How a group runs.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// The group's name; members are named after it.
    pub name: GroupName,
    /// Folder that holds one data folder for each member.
    pub data_folder: PathBuf,
    /// Most connections of callers at each member.
    pub connection_limit: usize,
    /// What a new connection costs before it is answered.
    pub connection_cost: Duration,
    /// How long replicas wait before they apply a committed entry.
    pub replication_lag: Duration,
}

impl GroupSettings {
    /// Settings with defaults for all that is not given.
    #[must_use]
    pub fn new(name: GroupName, data_folder: PathBuf) -> Self {
        Self {
            name,
            data_folder,
            connection_limit: crate::member::DEFAULT_CONNECTION_LIMIT,
            connection_cost: crate::member::DEFAULT_CONNECTION_COST,
            replication_lag: Duration::ZERO,
        }
    }
}

/// A running group; its members end when it is dropped.
pub struct Group {
    settings: GroupSettings,
    peers: Vec<Peer>,
    postgres: Vec<SocketAddr>,
    members: Vec<Option<MemberHandle>>,
}

impl Group {
    /// Starts the members on free loopback ports; the first is the initial primary.
    ///
    /// # Errors
    /// A member cannot start.
    pub fn start(settings: GroupSettings) -> Result<Self, MemberError> {
        let mut listeners = Vec::new();
        let mut peers = Vec::new();
        let mut postgres_addresses = Vec::new();
        for number in 1..=GROUP_SIZE {
            let (postgres, replication) = (bind_loopback(0)?, bind_loopback(0)?);
            let address = replication.local_addr().map_err(MemberError::Listener)?;
            postgres_addresses.push(postgres.local_addr().map_err(MemberError::Listener)?);
            peers.push(Peer { name: member_name(&settings.name, number)?, replication: address });
            listeners.push((postgres, replication));
        }
        let members = Vec::new();
        let mut group = Self { settings, peers, postgres: postgres_addresses, members };
        for (place, (postgres, replication)) in listeners.into_iter().enumerate() {
            let member = group.start_member(place, postgres, replication)?;
            group.members.push(Some(member));
        }
        Ok(group)
    }

    /// The running member at a place, counted from 0.
    #[must_use]
    pub fn member(&self, place: usize) -> Option<&MemberHandle> {
        self.members.get(place).and_then(Option::as_ref)
    }

    /// Addresses of the PostgreSQL listeners, in the order of the members.
    #[must_use]
    pub fn postgres_addresses(&self) -> &[SocketAddr] {
        &self.postgres
    }

    /// Names and replication addresses of the members, in order.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The data folder of a member.
    #[must_use]
    pub fn member_folder(&self, place: usize) -> Option<PathBuf> {
        self.peers.get(place).map(|peer| self.settings.data_folder.join(peer.name.as_str()))
    }

    /// Ends one member without finishing what is in flight.
    pub fn stop_member(&mut self, place: usize) {
        if let Some(slot) = self.members.get_mut(place) {
            drop(slot.take());
        }
    }

    /// Starts a stopped member again on its old ports.
    ///
    /// # Errors
    /// The member cannot start.
    pub fn restart_member(&mut self, place: usize) -> Result<(), MemberError> {
        self.stop_member(place);
        let (Some(address), Some(peer)) = (self.postgres.get(place), self.peers.get(place)) else {
            return Err(MemberError::NoSuchMember(place));
        };
        let postgres = bind_loopback(address.port())?;
        let replication = bind_loopback(peer.replication.port())?;
        let member = self.start_member(place, postgres, replication)?;
        self.members[place] = Some(member);
        Ok(())
    }

    fn start_member(
        &self,
        place: usize,
        postgres: TcpListener,
        replication: TcpListener,
    ) -> Result<MemberHandle, MemberError> {
        let own = &self.peers[place];
        let folder = self.settings.data_folder.join(own.name.as_str());
        let mut settings = MemberSettings::new(own.name.clone(), folder, postgres, replication);
        settings.peers = self.peers.iter().filter(|peer| peer.name != own.name).cloned().collect();
        settings.initial_primary = place == 0;
        settings.connection_limit = self.settings.connection_limit;
        settings.connection_cost = self.settings.connection_cost;
        settings.replication_lag = self.settings.replication_lag;
        Member::start(settings)
    }
}

fn member_name(group: &GroupName, number: usize) -> Result<MemberName, MemberError> {
    Ok(MemberName::new(format!("{group}-{number}"))?)
}
