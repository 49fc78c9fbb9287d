//! State of an unfinished batch: a batch outside a transaction block between its first `Flush` and its
//! `Sync`.

use crate::error::Rejection;
use crate::link::OwnerStream;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::Access;
use tokio::time::Instant;

/// A batch of which a part was answered and whose `Sync` has not arrived.
#[derive(Debug)]
pub(super) struct UnfinishedBatch {
    pub(super) stream: OwnerStream,
    pub(super) group: GroupName,
    /// Time by which the `Sync` must arrive.
    pub(super) deadline: Instant,
    /// Size of the parts so far, in bytes.
    pub(super) bytes: usize,
    /// Whether a part may have run a write.
    pub(super) ran_write: bool,
    /// [`Access::Write`] if a part so far may write.
    pub(super) access: Access,
    /// Combined effect of the parts on a transaction block.
    pub(super) block: BlockEffect,
}

impl UnfinishedBatch {
    /// Reports whether the deadline for the `Sync` has passed.
    pub(super) fn is_late(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Counts a further part of `bytes`; all parts together may have `limit` bytes.
    ///
    /// # Errors
    /// Returns [`Rejection::UnfinishedTooLarge`] if the parts exceed the limit.
    pub(super) fn add_part(&mut self, bytes: usize, limit: usize) -> Result<(), Rejection> {
        self.bytes += bytes;
        if self.bytes > limit { Err(Rejection::UnfinishedTooLarge(limit)) } else { Ok(()) }
    }
}

/// Waits until the deadline, or forever if there is none.
pub(super) async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
