//! A batch of the extended protocol between its first Flush and its Sync.
//!
//! The Sync commits the statements of the batch. But some statements (`CREATE DATABASE`, `VACUUM`) commit as
//! they run, and some back ends commit every statement as it runs, so each statement that ran counts as
//! possibly committed when the connection is lost.

use crate::batch::{self, BatchProperties};
use corktack_protocol::peer::{Access, OpenRequest};

/// State of an unfinished batch. Each message sequence up to a Flush or the Sync is one part of the batch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unfinished {
    /// Whether a Flush was sent, and no Sync answered since.
    open: bool,
    /// Whether a part that ran a statement was answered.
    has_executed: bool,
    /// Whether the part in flight runs a statement.
    part_executes: bool,
}

impl Unfinished {
    /// Records a part that is about to be sent.
    pub fn record_sent(&mut self, properties: &BatchProperties) {
        self.open |= properties.flushes;
        self.part_executes = properties.executes;
    }

    /// Records that the part in flight is answered; a part without a Flush ends the batch.
    pub fn record_answered(&mut self, properties: &BatchProperties) {
        if properties.flushes {
            self.has_executed |= properties.executes;
        } else {
            *self = Self::default();
        }
    }

    /// Reports whether the back end waits for a Sync.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Reports whether a statement of the batch may be committed, given the number of bytes of the part in
    /// flight that were sent.
    pub fn may_have_committed(&self, sent_bytes: usize) -> bool {
        self.open && (self.has_executed || (self.part_executes && sent_bytes > 0))
    }
}

/// Reports whether a stream may leave a batch unfinished. A read may not: the later parts are unknown and may
/// write, so a replica cannot serve them. A keyed write may not: its answer is stored with the commit, so no
/// part of the answer can be given before.
pub(super) fn may_flush(request: &OpenRequest) -> bool {
    let keyed = request.idempotency_key.is_some() && batch::runs_statement(&request.batch);
    request.access == Access::Write && !keyed
}
