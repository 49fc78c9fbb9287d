//! Assigns replica ids in deployments whose settings name none.
//!
//! The seeds of a cell's bootstrap are its first voters. Their ids derive from their addresses, so that
//! all of them start with the same cell. Every other replica draws a random id at its first start and
//! requests to join, also if its disk replaces a lost one: a replica that lost its disk has lost its
//! votes and must never vote under its old id again.

use crate::error::ControlError;
use crate::settings::CellStart;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::ReplicaId;
use corktack_storage::{DataFolder, SyncedFile};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

const FILE_NAME: &str = "identity";
/// Set in random ids and clear in ids from addresses, so that the two never collide.
const RANDOM_ID_BIT: u64 = 1 << 63;

/// A replica's id, and the cell that the replica starts with while its disk is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The replica's id in its cell.
    pub replica: ReplicaId,
    /// The bootstrap cell if this replica is one of its voters; empty for a replica that joins.
    first_cell: CellConfig,
}

impl Identity {
    /// Returns how the replica finds its cell while its disk is empty.
    #[must_use]
    pub fn start(&self) -> CellStart {
        if self.first_cell.voters.is_empty() {
            return CellStart::Join(Vec::new());
        }
        CellStart::Bootstrap(self.first_cell.clone())
    }
}

/// Loads the identity from the data folder, or creates and stores it at the first start.
///
/// `own` is this replica's address for other replicas, `seeds` are those of the first voters. With
/// `bootstrap`, the whole system starts for the first time.
///
/// # Errors
/// [`ControlError::Storage`] if the folder is in use, or the identity cannot be read or stored.
pub fn find_identity(
    data_folder: &Path,
    own: SocketAddr,
    seeds: &[SocketAddr],
    bootstrap: bool,
) -> Result<Identity, ControlError> {
    let folder = DataFolder::open(data_folder)?;
    let mut file = SyncedFile::new(&folder, FILE_NAME)?;
    if let Some(stored) = file.load()? {
        return Ok(stored);
    }
    let is_first_voter = bootstrap && seeds.contains(&own);
    let identity =
        if is_first_voter { first_voter_identity(own, seeds) } else { random_identity() };
    file.store(&identity)?;
    Ok(identity)
}

fn first_voter_identity(own: SocketAddr, seeds: &[SocketAddr]) -> Identity {
    let mut voters: Vec<CellMember> = seeds.iter().map(|seed| member_for_address(*seed)).collect();
    voters.sort_by_key(|voter| voter.id);
    voters.dedup_by_key(|voter| voter.id);
    let first_cell = CellConfig { voters, learners: Vec::new() };
    Identity { replica: member_for_address(own).id, first_cell }
}

fn random_identity() -> Identity {
    Identity {
        replica: ReplicaId(rand::random::<u64>() | RANDOM_ID_BIT),
        first_cell: CellConfig::default(),
    }
}

fn member_for_address(address: SocketAddr) -> CellMember {
    let id = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() as u64) & !RANDOM_ID_BIT,
    };
    CellMember { id: ReplicaId(id), address }
}
