//! Combines the effects of a batch's statements from the profiles of their texts.

use crate::error::Rejection;
use corktack_core::classify::{BlockEffect, Classification, StatementProfile};

/// Combined effects of the messages of a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Effects {
    /// Whether some message has to go to the owner.
    pub(super) uses_owner: bool,
    /// Whether some statement is answered by the edge.
    pub(super) uses_edge: bool,
    /// Whether the batch may write.
    pub(super) writes: bool,
    /// Whether the batch may commit an open transaction.
    pub(super) may_commit: bool,
    /// Whether the batch's statements only start a transaction, so that the batch may run twice.
    pub(super) repeatable: bool,
    /// Whether the batch executes statements and does not only prepare or describe them.
    pub(super) executes: bool,
    /// Effect of the batch on a transaction block.
    pub(super) block: BlockEffect,
}

impl Effects {
    /// Returns the effects of an empty batch.
    pub(super) fn of_empty_batch() -> Self {
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

    /// Adds an SQL text that the batch prepares or runs.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the statement is not supported through the proxy.
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

    /// Adds the execution of a portal from an earlier batch, whose statement is unknown and may do
    /// anything.
    pub(super) fn add_unknown_portal(&mut self) {
        self.uses_owner = true;
        self.writes = true;
        self.may_commit = true;
        self.repeatable = false;
    }

    /// Adds the effect that running a text has on a transaction block.
    pub(super) fn add_block(&mut self, block: BlockEffect) {
        self.block = self.block.then(block);
    }
}
