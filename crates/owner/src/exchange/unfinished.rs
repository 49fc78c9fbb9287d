//! A batch of the extended protocol between its first Flush and its Sync.
//!
//! What it runs is committed by the Sync. Some statements (`CREATE DATABASE`,
//! `VACUUM`) and some back ends commit each statement as it runs, so anything that
//! ran counts as possibly committed when the connection is lost.

use crate::batch::{self, BatchFacts};
use corktack_protocol::peer::{Access, OpenRequest};

/// What an unfinished batch has done.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unfinished {
    /// A Flush was sent, and no Sync was answered since.
    open: bool,
    /// A part that ran a statement was answered.
    ran: bool,
    /// The part in flight runs a statement.
    runs: bool,
}

impl Unfinished {
    /// Notes a part that is sent.
    pub fn sent(&mut self, facts: &BatchFacts) {
        self.open |= facts.flushes;
        self.runs = facts.executes;
    }

    /// Notes that the part in flight is answered; one without a Flush ends the batch.
    pub fn answered(&mut self, facts: &BatchFacts) {
        if facts.flushes {
            self.ran |= facts.executes;
        } else {
            *self = Self::default();
        }
    }

    /// Whether the back end waits for a Sync.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Whether something of it may be committed, if so many bytes of the part in
    /// flight were sent.
    pub fn may_have_committed(&self, sent: usize) -> bool {
        self.open && (self.ran || (self.runs && sent > 0))
    }
}

/// Whether a stream may leave a batch unfinished. The later parts are not known yet
/// and may write, so a replica cannot serve them; and the answer under a key is kept
/// with the commit, so none of it can be given before.
pub(super) fn may_flush(request: &OpenRequest) -> bool {
    let keyed = request.idempotency_key.is_some() && batch::runs_something(&request.batch);
    request.access == Access::Write && !keyed
}
