//! Sums up what the statements of a batch do, from the profiles of their texts.
//!
//! The module owns no texts; it relies on the profiles that `corktack_core` makes of them.

use crate::error::Rejection;
use corktack_core::classify::{BlockEffect, Classification, StatementProfile};

/// What a batch does, as far as its messages so far tell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Effects {
    /// Something of it is for the owner.
    pub(super) uses_owner: bool,
    /// Something of it is for the edge.
    pub(super) uses_edge: bool,
    /// It may write.
    pub(super) writes: bool,
    /// It may commit an open transaction.
    pub(super) may_commit: bool,
    /// Whether everything that runs only starts a transaction.
    pub(super) repeatable: bool,
    /// It runs something, and does not only prepare or describe.
    pub(super) executes: bool,
    /// What it leaves behind of a transaction block.
    pub(super) block: BlockEffect,
}

impl Effects {
    /// Of no message yet.
    pub(super) fn none() -> Self {
        Self {
            uses_owner: false,
            uses_edge: false,
            writes: false,
            may_commit: false,
            repeatable: true,
            executes: false,
            block: BlockEffect::None,
        }
    }

    /// Adds a text that the batch prepares or runs.
    ///
    /// # Errors
    /// A [`Rejection`] when the text cannot work through the proxy.
    pub(super) fn add_text(&mut self, profile: &StatementProfile) -> Result<(), Rejection> {
        match &profile.classification {
            Classification::Refused(unsupported) => return Err((*unsupported).into()),
            Classification::Local(_) => {
                self.uses_edge = true;
                return Ok(());
            }
            Classification::Read => {}
            Classification::Write => self.writes = true,
        }
        self.uses_owner = true;
        self.may_commit |= profile.may_commit;
        self.repeatable &= profile.only_starts_transaction;
        Ok(())
    }

    /// Adds a portal of an earlier batch, which may run anything.
    pub(super) fn add_unknown_portal(&mut self) {
        self.uses_owner = true;
        self.writes = true;
        self.may_commit = true;
        self.repeatable = false;
    }

    /// Adds what a text leaves behind of a transaction block when it runs.
    pub(super) fn add_block(&mut self, block: BlockEffect) {
        self.block = self.block.then(block);
    }
}
