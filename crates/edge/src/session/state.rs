//! What a session keeps between its batches, and the changes of it that several steps make.
//!
//! The module owns the fields and the rule that a lost transaction block is kept until the caller ends it; it
//! does no I/O.

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

/// Most prepared statements of one session. Chosen, not measured: a lower limit refuses callers that prepare
/// much, a higher one lets a caller hold more of the edge's memory; the texts have a bound of their own.
const STATEMENT_LIMIT: usize = 10_000;

/// How a batch ended, and whether its answer held an error.
pub(super) type BatchOutcome = (Outcome, bool);

/// An open transaction.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub(super) stream: OwnerStream,
    pub(super) group: GroupName,
    pub(super) access: Access,
}

/// A caller's session after its startup.
#[derive(Debug)]
pub struct Session {
    pub(super) context: Rc<ArbiterContext>,
    pub(super) caller: CallerSocket,
    pub(super) identity: CallerIdentity,
    pub(super) registration: Registration,
    pub(super) token: SessionToken,
    pub(super) statements: SessionStatements,
    /// Key of the next write.
    pub(super) idempotency_key: Option<String>,
    pub(super) transaction: Option<OpenTransaction>,
    /// A batch of which a part is answered and whose `Sync` has not come.
    pub(super) unfinished: Option<UnfinishedBatch>,
    /// The portals bound since the last `Sync`.
    pub(super) portals: Portals,
    /// What the next `ReadyForQuery` says.
    pub(super) status: TransactionStatus,
    /// Whether the caller's transaction block is lost and the caller has not ended it.
    pub(super) abandoned: bool,
    pub(super) collector: BatchCollector,
}

impl Session {
    /// A session of a caller that has been let in.
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
            statements: SessionStatements::new(STATEMENT_LIMIT),
            idempotency_key: None,
            transaction: None,
            unfinished: None,
            portals: Portals::new(),
            status: TransactionStatus::Idle,
            abandoned: false,
            collector,
        }
    }

    /// A batch is answered. Its stream is kept while a transaction is open.
    pub(super) fn end_of_batch(
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

    /// Answers a batch that got no whole answer of a back end.
    pub(super) fn give_up(&mut self, rejection: &Rejection) -> BatchOutcome {
        self.status = TransactionStatus::Idle;
        self.reject(rejection);
        (Outcome::of(rejection), true)
    }

    /// Has the owner roll an unfinished batch back, if there is one.
    pub(super) fn drop_unfinished(&mut self) {
        if let Some(unfinished) = self.unfinished.take() {
            self.leave_block(unfinished.block == BlockEffect::Opens);
        }
    }

    /// Nothing of a lost batch is open; a block that it began waits for the caller's end.
    pub(super) fn leave_block(&mut self, began: bool) {
        if began {
            self.abandon_transaction();
        }
    }

    /// Has the owner roll back; nothing of the caller's transaction block runs any more.
    pub(super) fn abandon_transaction(&mut self) {
        self.transaction = None;
        self.abandoned = true;
        self.status = TransactionStatus::Failed;
    }

    /// The caller has ended its lost transaction block.
    pub(super) fn end_abandoned(&mut self) {
        self.abandoned = false;
        self.status = TransactionStatus::Idle;
    }

    /// Answers with an error, after which the session goes on.
    pub(super) fn reject(&mut self, rejection: &Rejection) {
        answer::put_rejection(&mut self.caller.output, rejection, Severity::Error);
    }
}
