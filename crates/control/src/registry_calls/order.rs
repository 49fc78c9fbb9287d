//! Order of the calls that hold and release a member.
//!
//! Each call is made on a connection of its own, so that calls in flight together may reach the member in
//! either order: a release that overtakes the next hold, or a hold that overtakes its release, would leave the
//! member in a state that the leader doesn't know of. A call therefore waits for the end of the earlier one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Mutex as TurnMutex, OwnedMutexGuard};

/// Lets calls to one address take turns, in the order in which they ask.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallOrder {
    turns: Arc<Mutex<HashMap<SocketAddr, Arc<TurnMutex<()>>>>>,
}

impl CallOrder {
    /// Waits until the earlier calls to the address have ended. The turn lasts until the guard is dropped.
    pub(crate) async fn turn(&self, address: SocketAddr) -> OwnedMutexGuard<()> {
        let turn = {
            // The map is whole whenever the lock is free.
            let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
            turns.retain(|_, turn| Arc::strong_count(turn) > 1);
            Arc::clone(turns.entry(address).or_default())
        };
        turn.lock_owned().await
    }
}
