//! Decides where a batch is answered, and rewrites it for the owner.
//!
//! A decision without I/O: its inputs are the batch, where in the session it stands ([`Place`]) and what the
//! session knows ([`Known`]); its outcome is a [`Plan`] or the reason why nothing of the batch runs. `effects`
//! sums up what the statements of a batch do, `rewrite` gives them the names that all sessions share.

mod effects;
mod rewrite;

pub use rewrite::{Known, Portals};

use crate::batch::{BatchEnd, CallerBatch};
use crate::error::Rejection;
use corktack_core::classify::BlockEffect;
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Access, Batch};
use effects::Effects;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{Flush, Sync};
use rewrite::Rewriter;

/// Longest batch, in bytes, that fits into a frame to the owner with all that goes with it: the group's and
/// class's names, the idempotency key and the lengths of the parts, for which 64 KiB is far more than enough.
const REQUEST_LIMIT: usize = PAYLOAD_LIMIT - 64 * 1024;
/// Most bytes of an encoded parameter type.
const TYPE_BYTES: usize = 5;
/// Most bytes of the lengths of an encoded prepared statement.
const STATEMENT_BYTES: usize = 16;

/// Where a batch is answered.
#[derive(Debug)]
pub enum Plan {
    /// By the edge.
    Local(Vec<Message>),
    /// By the owner.
    Forward(ForwardPlan),
}

/// A batch for the owner.
#[derive(Debug)]
pub struct ForwardPlan {
    /// The rewritten messages.
    pub batch: Batch,
    /// What it may do.
    pub access: Access,
    /// Whether it may commit an open transaction.
    pub may_commit: bool,
    /// Whether running it twice harms nobody.
    pub repeatable: bool,
    /// Whether anything runs; otherwise it only prepares.
    pub executes: bool,
    /// What it leaves behind of a transaction block.
    pub block: BlockEffect,
    /// Whether it ends with a `Flush`, and leaves the batch unfinished.
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

    /// Whether it may run a write, and does not only prepare one.
    #[must_use]
    pub fn runs_write(&self) -> bool {
        self.access == Access::Write && self.executes
    }

    /// Whether a write may stay of it, and not only a transaction that it started.
    #[must_use]
    pub fn may_leave_write(&self) -> bool {
        self.runs_write() && !self.repeatable
    }
}

/// Where in a session a batch stands.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Inside an open transaction block.
    pub in_transaction: bool,
    /// Behind a `Flush` whose `Sync` has not come.
    pub unfinished: bool,
    /// Whether the next write runs under an idempotency key.
    pub keyed: bool,
}

/// Plans a batch. Its effects on `statements` stay pending.
///
/// # Errors
/// A [`Rejection`] when no message of the batch may run.
pub fn plan(batch: CallerBatch, place: Place, known: Known<'_>) -> Result<Plan, Rejection> {
    if let Some(rejection) = batch.rejection {
        return Err(rejection);
    }
    let syncs = place.in_transaction || (batch.only_prepares() && !place.unfinished);
    let flushes = batch.end == BatchEnd::Flush && !syncs;
    let mut rewriter = Rewriter::new(known);
    for message in &batch.messages {
        rewriter.take(message, place.in_transaction)?;
    }
    // Even an empty part of an unfinished batch has the Sync that ends it.
    rewriter.effects.uses_owner |= place.unfinished;
    if !rewriter.effects.uses_owner {
        rewriter.forget_pending();
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
        rewriter.put(&Message::Flush(Flush::new()))?;
    } else if !is_query {
        rewriter.put(&Message::Sync(Sync::new()))?;
    }
    let plan = ForwardPlan::new(rewriter.effects, rewriter.finish(), flushes);
    if size_of_batch(&plan.batch) > REQUEST_LIMIT {
        return Err(Rejection::RequestTooLarge(REQUEST_LIMIT));
    }
    Ok(Plan::Forward(plan))
}

/// Bytes of the parts of a batch that callers can make long, and a little for each.
fn size_of_batch(batch: &Batch) -> usize {
    let prepared = batch.prepared.iter().map(|statement| {
        let texts = statement.name.len() + statement.query.len();
        texts + TYPE_BYTES * statement.parameter_types.len() + STATEMENT_BYTES
    });
    batch.messages.len() + prepared.sum::<usize>()
}
