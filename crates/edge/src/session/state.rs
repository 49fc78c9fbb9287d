//! State that a session keeps between its batches, and its transitions. No I/O is done here.

use super::plan::Portals;
use super::unfinished::UnfinishedBatch;
use crate::answer;
use crate::batch::BatchCollector;
use crate::caller::CallerSocket;
use crate::context::ArbiterContext;
use crate::error::{Rejection, Severity};
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::sessions::Registration;
use corktack_core::binding::CallerIdentity;
use corktack_core::classify::BlockEffect;
use corktack_core::identity::GroupName;
use corktack_core::session::{SessionStatements, SessionToken};
use corktack_protocol::peer::{Access, ServedBy, TransactionStatus};
use std::rc::Rc;

/// Most prepared statements of one session. A lower limit refuses callers that prepare many statements;
/// a higher one lets a caller use more of the edge's memory. The statements' texts have a limit of
/// their own.
const MAX_STATEMENTS: usize = 10_000;

/// A batch's outcome, and whether its answer contains an error.
pub(super) type BatchOutcome = (Outcome, bool);

/// An open transaction and its stream to the owner.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) stream: OwnerStream,
    pub(super) group: GroupName,
    pub(super) access: Access,
}

/// A caller's session after startup.
#[derive(Debug)]
pub struct Session {
    pub(super) context: Rc<ArbiterContext>,
    pub(super) caller: CallerSocket,
    pub(super) identity: CallerIdentity,
    pub(super) registration: Registration,
    pub(super) token: SessionToken,
    pub(super) statements: SessionStatements,
    /// Idempotency key of the next write.
    pub(super) idempotency_key: Option<String>,
    pub(super) transaction: Option<OpenTransaction>,
    /// A batch of which a part was answered and whose `Sync` has not arrived.
    pub(super) unfinished: Option<UnfinishedBatch>,
    /// Portals bound since the last `Sync`.
    pub(super) portals: Portals,
    /// Transaction status that the next `ReadyForQuery` reports.
    pub(super) status: TransactionStatus,
    /// Whether the caller's transaction block is lost, and the caller has not ended the block yet.
    /// Until then the edge refuses all statements but the one that ends the block.
    pub(super) block_abandoned: bool,
    pub(super) collector: BatchCollector,
}

impl Session {
    /// Creates the session of an admitted caller.
    #[must_use]
    pub fn new(
        context: Rc<ArbiterContext>,
        caller: CallerSocket,
        identity: CallerIdentity,
        registration: Registration,
        token: SessionToken,
    ) -> Self {
        let collector = BatchCollector::new(context.settings.message_limit);
        Self {
            context,
            caller,
            identity,
            registration,
            token,
            statements: SessionStatements::new(MAX_STATEMENTS),
            idempotency_key: None,
            transaction: None,
            unfinished: None,
            portals: Portals::new(),
            status: TransactionStatus::Idle,
            block_abandoned: false,
            collector,
        }
    }

    /// Updates the state after a complete answer. The stream is kept if a transaction is open.
    pub(super) fn finish_batch(
        &mut self,
        stream: OwnerStream,
        group: &GroupName,
        access: Access,
        status: TransactionStatus,
        served_by: ServedBy,
    ) {
        self.status = status;
        if access == Access::Read {
            self.context.metrics.count_read(group, served_by);
        }
        if status != TransactionStatus::Idle {
            self.transaction = Some(OpenTransaction { stream, group: group.clone(), access });
        }
    }

    /// Answers a batch that got no complete answer from a back end.
    pub(super) fn reject_batch(&mut self, rejection: &Rejection) -> BatchOutcome {
        self.status = TransactionStatus::Idle;
        self.reject(rejection);
        (Outcome::for_rejection(rejection), true)
    }

    /// Drops the unfinished batch, if there is one; the owner rolls it back.
    pub(super) fn drop_unfinished(&mut self) {
        if let Some(unfinished) = self.unfinished.take() {
            self.abandon_block_if(unfinished.block == BlockEffect::Opens);
        }
    }

    /// Abandons the caller's transaction block if a lost batch had opened one.
    pub(super) fn abandon_block_if(&mut self, opened_block: bool) {
        if opened_block {
            self.abandon_transaction();
        }
    }

    /// Drops the transaction, which the owner rolls back, and refuses statements until the caller ends
    /// the transaction block.
    pub(super) fn abandon_transaction(&mut self) {
        self.transaction = None;
        self.block_abandoned = true;
        self.status = TransactionStatus::Failed;
    }

    /// Leaves the lost transaction block after the caller ended it.
    pub(super) fn end_abandoned_block(&mut self) {
        self.block_abandoned = false;
        self.status = TransactionStatus::Idle;
    }

    /// Answers with an error, after which the session continues.
    pub(super) fn reject(&mut self, rejection: &Rejection) {
        answer::put_error_response(&mut self.caller.output, rejection, Severity::Error);
    }
}
