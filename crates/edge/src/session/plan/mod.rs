//! Decides where a batch is answered, and rewrites it for the owner.
//!
//! The decision does no I/O. Its inputs are the batch, its place in the session ([`BatchPlace`]) and
//! the session's statements and portals ([`PlanContext`]); its result is a [`Plan`], or the reason why
//! no message of the batch may run. `effects` combines the effects of the batch's statements, and
//! `rewrite` replaces statement names by the names that all sessions share.

mod effects;
mod rewrite;

pub use rewrite::{PlanContext, Portals};

use crate::batch::{BatchEnd, CallerBatch};
use crate::error::Rejection;
use corktack_core::classify::BlockEffect;
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Access, Batch};
use effects::Effects;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{Flush, Sync};
use rewrite::Rewriter;

/// Largest batch that fits into a frame to the owner, in bytes. 64 KiB are reserved for the rest of the
/// frame: the names of the group and class, the idempotency key and the lengths of the fields.
const MAX_BATCH_BYTES: usize = PAYLOAD_LIMIT - 64 * 1024;
/// Upper bound of the size of an encoded parameter type.
const MAX_TYPE_BYTES: usize = 5;
/// Upper bound of the size of the length fields of an encoded prepared statement.
const MAX_STATEMENT_LENGTHS_BYTES: usize = 16;

/// Where a batch is answered.
#[derive(Debug)]
pub enum Plan {
    /// The edge answers these messages.
    Local(Vec<Message>),
    /// The owner answers the rewritten batch.
    Forward(ForwardPlan),
}

/// A batch for the owner, and the effects that decide how it is handled.
#[derive(Debug)]
pub struct ForwardPlan {
    /// The rewritten messages with the prepared statements that they use.
    pub batch: Batch,
    /// Whether the batch may write.
    pub access: Access,
    /// Whether the batch may commit an open transaction.
    pub may_commit: bool,
    /// Whether the batch may run twice without harm, as one that only starts a transaction or only
    /// prepares statements.
    pub repeatable: bool,
    /// Whether the batch executes statements; otherwise it only prepares or describes them.
    pub executes: bool,
    /// Effect of the batch on a transaction block.
    pub block: BlockEffect,
    /// Whether the batch is sent with a `Flush`, which leaves it unfinished.
    pub flushes: bool,
}

impl ForwardPlan {
    fn new(effects: Effects, batch: Batch, flushes: bool) -> Self {
        Self {
            batch,
            access: if effects.writes { Access::Write } else { Access::Read },
            may_commit: effects.may_commit,
            repeatable: effects.repeatable || !effects.executes,
            executes: effects.executes,
            block: effects.block,
            flushes,
        }
    }

    /// Reports whether the batch may run a write, and does not only prepare one.
    #[must_use]
    pub fn runs_write(&self) -> bool {
        self.access == Access::Write && self.executes
    }

    /// Reports whether the batch may run a write that goes beyond starting a transaction.
    #[must_use]
    pub fn may_leave_write(&self) -> bool {
        self.runs_write() && !self.repeatable
    }
}

/// Place of a batch in its session.
#[derive(Clone, Copy, Debug)]
pub struct BatchPlace {
    /// Whether a transaction block is open.
    pub in_transaction: bool,
    /// Whether the batch continues an unfinished batch, whose `Sync` has not arrived.
    pub unfinished: bool,
    /// Whether the next write runs under an idempotency key.
    pub keyed: bool,
}

/// Plans a batch. Its changes of the session's statements stay pending until the back end confirms
/// them.
///
/// # Errors
/// Returns a [`Rejection`] if no message of the batch may run.
pub fn plan(
    batch: CallerBatch,
    place: BatchPlace,
    context: PlanContext<'_>,
) -> Result<Plan, Rejection> {
    if let Some(rejection) = batch.rejection {
        return Err(rejection);
    }
    let ends_with_sync = place.in_transaction || (batch.only_prepares() && !place.unfinished);
    let flushes = batch.end == BatchEnd::Flush && !ends_with_sync;
    let mut rewriter = Rewriter::new(context);
    for message in &batch.messages {
        rewriter.add_message(message, place.in_transaction)?;
    }
    // Even an empty part of an unfinished batch goes to the owner, because it carries the `Sync` that
    // ends the batch.
    rewriter.effects.uses_owner |= place.unfinished;
    if !rewriter.effects.uses_owner {
        rewriter.discard_pending();
        return Ok(Plan::Local(batch.messages));
    }
    if rewriter.effects.uses_edge {
        return Err(Rejection::MixedBatch);
    }
    if flushes && place.keyed && rewriter.effects.writes {
        return Err(Rejection::FlushOfKeyedWrite);
    }
    let is_query = matches!(batch.messages.last(), Some(Message::Query(_)));
    if flushes {
        rewriter.put_message(&Message::Flush(Flush::new()))?;
    } else if !is_query {
        rewriter.put_message(&Message::Sync(Sync::new()))?;
    }
    let plan = ForwardPlan::new(rewriter.effects, rewriter.finish(), flushes);
    if encoded_size_bound(&plan.batch) > MAX_BATCH_BYTES {
        return Err(Rejection::RequestTooLarge(MAX_BATCH_BYTES));
    }
    Ok(Plan::Forward(plan))
}

/// Returns an upper bound of the size, in bytes, of the parts of a batch whose length callers control.
fn encoded_size_bound(batch: &Batch) -> usize {
    let prepared = batch.prepared.iter().map(|statement| {
        let text_bytes = statement.name.len() + statement.query.len();
        text_bytes + MAX_TYPE_BYTES * statement.parameter_types.len() + MAX_STATEMENT_LENGTHS_BYTES
    });
    batch.messages.len() + prepared.sum::<usize>()
}
