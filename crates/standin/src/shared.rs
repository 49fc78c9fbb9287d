//! State that the threads and connections of one member share.
//!
//! Owns nothing by itself: it binds replication, the writing connection, the queue of writes and the registry
//! of running statements of one member.

use crate::engine::Engine;
use crate::error::MemberError;
use crate::replication::{Replication, ReplicationStatus, Role};
use crate::session::grouped::WriteQueue;
use crate::wire::cancel::CancelRegistry;
use corktack_core::backend::MemberRole;
use corktack_core::identity::MemberName;
use corktack_core::position::Position;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, watch};

/// What every part of a running member sees.
pub struct Shared {
    /// The member's name.
    pub name: MemberName,
    /// Where its files live.
    pub data_folder: PathBuf,
    /// Log, term and role.
    pub replication: Arc<Replication>,
    /// The one connection that writes; its lock is the right to write.
    pub writer: Arc<Mutex<Engine>>,
    /// Writes that wait for the writing connection.
    pub queue: WriteQueue,
    /// Index of the last entry in the engine.
    pub applied: watch::Sender<u64>,
    /// How long a replica waits before it applies a committed entry.
    pub lag: watch::Sender<Duration>,
    /// Running statements that can be cancelled.
    pub cancels: CancelRegistry,
    /// Most connections of callers.
    pub connection_limit: usize,
    /// What a new connection costs before it is answered.
    pub connection_cost: Duration,
    /// Connections of callers now.
    pub connections: AtomicUsize,
}

impl Shared {
    /// Term now and the applied index, as reads report it.
    #[must_use]
    pub fn applied_position(&self) -> Position {
        let index = *self.applied.borrow();
        Position { term: self.replication.status().promised_term, index }
    }

    /// Publishes that the engine holds everything up to an index.
    pub fn note_applied(&self, index: u64) {
        self.applied.send_if_modified(|applied| {
            let higher = index > *applied;
            *applied = index.max(*applied);
            higher
        });
    }

    /// Takes one of the connections, if one is left.
    #[must_use]
    pub fn take_connection(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let limit = self.connection_limit;
        let take = |count: usize| (count < limit).then_some(count + 1);
        let taken = self.connections.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.ok().map(|_| ConnectionPermit { shared: self.clone() })
    }
}

/// One connection under the limit, given back when dropped.
pub struct ConnectionPermit {
    shared: Arc<Shared>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The role as the contract with back ends names it.
#[must_use]
pub fn public_role(status: &ReplicationStatus) -> MemberRole {
    match status.role {
        Role::Primary => MemberRole::Primary,
        Role::Replica => MemberRole::Replica,
        Role::Fenced | Role::Promoting => MemberRole::Fenced,
    }
}

/// Opens the engine and tells the index it has applied.
///
/// # Errors
/// The engine cannot open its file.
pub fn open_engine(data_folder: &std::path::Path) -> Result<(Engine, u64), MemberError> {
    let engine = Engine::open_writer(data_folder)?;
    let applied = engine.applied_index()?;
    Ok((engine, applied))
}
