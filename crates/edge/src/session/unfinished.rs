//! A batch outside a transaction block between its first `Flush` and its `Sync`: what is known of it.

use crate::error::Rejection;
use crate::link::OwnerStream;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::Access;
use tokio::time::Instant;

/// A batch of which a part is answered and whose `Sync` has not come.
#[derive(Debug)]
pub(super) struct UnfinishedBatch {
    pub(super) stream: OwnerStream,
    pub(super) group: GroupName,
    /// When its `Sync` must have come.
    pub(super) deadline: Instant,
    /// Bytes of its parts so far.
    pub(super) bytes: usize,
    /// Whether a part may have run a write.
    pub(super) ran_write: bool,
    /// Whether a part so far may write at all.
    pub(super) access: Access,
    /// What its parts leave behind of a transaction block.
    pub(super) block: BlockEffect,
}

impl UnfinishedBatch {
    /// Whether its `Sync` has not come in time.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Counts a further part of so many bytes; the parts may have `limit` together.
    ///
    /// # Errors
    /// [`Rejection::UnfinishedTooLarge`] when they are too much.
    pub(super) fn add_part(&mut self, bytes: usize, limit: usize) -> Result<(), Rejection> {
        self.bytes += bytes;
        if self.bytes > limit { Err(Rejection::UnfinishedTooLarge(limit)) } else { Ok(()) }
    }
}

/// Ends at the deadline, and never without one.
pub(super) async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
