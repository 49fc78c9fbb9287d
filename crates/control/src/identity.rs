//! Who a control replica is, where settings give replicas no numbers.
//!
//! The first voters of a cell are the seeds of its first start: their numbers follow from their
//! addresses, so that all of them begin with the same cell. Every other disk, one that took the
//! place of a lost one included, draws a number of its own and requests to join: a replica whose disk
//! was lost broke its promises and must never vote under its old number.

use crate::error::ControlError;
use crate::settings::CellStart;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::ReplicaId;
use corktack_storage::{DataFolder, SyncedFile};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

const FILE_NAME: &str = "identity";
/// Set in drawn numbers, so that none of them is that of an address.
const DRAWN: u64 = 1 << 63;

/// Who a replica is, and how it finds its cell while its disk is empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its number.
    pub replica: ReplicaId,
    /// The first cell, for one of its voters; empty for a replica that joins.
    first_cell: CellConfig,
}

impl Identity {
    /// How the replica finds its cell while its disk is empty.
    #[must_use]
    pub fn start(&self) -> CellStart {
        if self.first_cell.voters.is_empty() {
            return CellStart::Join(Vec::new());
        }
        CellStart::Bootstrap(self.first_cell.clone())
    }
}

/// Reads who the replica of a data folder is, or settles it at the first start.
///
/// `own` is where other replicas reach this one, `seeds` where they reach the first voters.
/// `bootstrap` says that the whole system starts for the first time.
///
/// # Errors
/// [`ControlError::Storage`].
pub fn find_identity(
    data_folder: &Path,
    own: SocketAddr,
    seeds: &[SocketAddr],
    bootstrap: bool,
) -> Result<Identity, ControlError> {
    let folder = DataFolder::open(data_folder)?;
    let mut file = SyncedFile::new(&folder, FILE_NAME)?;
    if let Some(known) = file.load()? {
        return Ok(known);
    }
    let first_voter = bootstrap && seeds.contains(&own);
    let identity = if first_voter { first_voter_of(own, seeds) } else { draw() };
    file.store(&identity)?;
    Ok(identity)
}

fn first_voter_of(own: SocketAddr, seeds: &[SocketAddr]) -> Identity {
    let mut voters: Vec<CellMember> = seeds.iter().map(|seed| member_at(*seed)).collect();
    voters.sort_by_key(|voter| voter.id);
    voters.dedup_by_key(|voter| voter.id);
    let first_cell = CellConfig { voters, learners: Vec::new() };
    Identity { replica: member_at(own).id, first_cell }
}

fn draw() -> Identity {
    Identity {
        replica: ReplicaId(rand::random::<u64>() | DRAWN),
        first_cell: CellConfig::default(),
    }
}

fn member_at(address: SocketAddr) -> CellMember {
    let number = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => (ip.to_bits() as u64) & !DRAWN,
    };
    CellMember { id: ReplicaId(number), address }
}
