//! A caller's session: batches in, answers out, one after another.

mod answer_stream;
mod forward;
mod local;
mod outcome;
mod owner_wait;
mod plan;

pub use outcome::{Loss, Progress, Verdict, judge};

use crate::answer;
use crate::batch::{BatchCollector, BatchEnd, CallerBatch, Gathered};
use crate::caller::CallerSocket;
use crate::context::{ArbiterContext, DrainPhase};
use crate::error::{Rejection, SessionEnd, Severity};
use crate::link::OwnerStream;
use crate::metrics::Outcome;
use crate::sessions::Registration;
use corktack_core::binding::CallerIdentity;
use corktack_core::identity::GroupName;
use corktack_core::session::{SessionStatements, SessionToken};
use corktack_protocol::peer::{Access, TransactionStatus};
use plan::Plan;
use std::rc::Rc;
use tokio::time::Instant;

/// Most prepared statements of one session.
const STATEMENT_LIMIT: usize = 10_000;

/// An open transaction.
#[derive(Debug)]
struct OpenTransaction {
    stream: OwnerStream,
    group: GroupName,
    access: Access,
}

/// A caller's session after its startup.
#[derive(Debug)]
pub struct Session {
    context: Rc<ArbiterContext>,
    caller: CallerSocket,
    identity: CallerIdentity,
    registration: Registration,
    token: SessionToken,
    statements: SessionStatements,
    idempotency_key: Option<String>,
    transaction: Option<OpenTransaction>,
    status: TransactionStatus,
    /// Whether the caller's transaction block is lost and the caller has not ended it.
    abandoned: bool,
    collector: BatchCollector,
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
            status: TransactionStatus::Idle,
            abandoned: false,
            collector,
        }
    }

    /// Serves the caller until one side ends the session.
    pub async fn run(mut self) {
        let end = self.serve().await;
        // The owner learns at once; the caller may take its time.
        self.transaction = None;
        if let Err(SessionEnd::Fatal(rejection)) = end {
            self.caller.finish(&rejection).await;
        }
    }

    async fn serve(&mut self) -> Result<(), SessionEnd> {
        while let Some(batch) = self.next_batch().await? {
            self.answer_batch(batch).await?;
        }
        Ok(())
    }

    /// The next batch, or nothing when the caller ends the session.
    async fn next_batch(&mut self) -> Result<Option<CallerBatch>, SessionEnd> {
        loop {
            if *self.context.drain.borrow() == DrainPhase::Ending {
                return Err(Rejection::Stopping.into());
            }
            let limit = self.context.settings.message_limit;
            while let Some((message, bytes)) = self.caller.buffered_message(limit)? {
                match self.collector.push(message, bytes)? {
                    Gathered::More => {}
                    Gathered::Batch(batch) => return Ok(Some(batch)),
                    Gathered::Terminate => return Ok(None),
                }
            }
            self.wait_for_input().await?;
        }
    }

    /// Waits for the caller; an idle caller is told when the edge drains.
    async fn wait_for_input(&mut self) -> Result<(), SessionEnd> {
        let idle =
            self.transaction.is_none() && self.collector.is_empty() && self.caller.input_is_empty();
        let last = if idle { DrainPhase::Draining } else { DrainPhase::Ending };
        let mut drain = self.context.drain.clone();
        tokio::select! {
            biased;
            result = self.caller.read_more() => result,
            _ = drain.wait_for(|phase| *phase >= last) => Err(Rejection::Stopping.into()),
        }
    }

    async fn answer_batch(&mut self, batch: CallerBatch) -> Result<(), SessionEnd> {
        let start = Instant::now();
        let end = batch.end;
        let counts = !batch.messages.is_empty() || batch.rejection.is_some();
        let (outcome, failed) = self.run_batch(batch).await?;
        self.statements.end_batch();
        if counts {
            self.context.metrics.count(outcome);
            self.context.metrics.latency.observe(start.elapsed().as_secs_f64());
        }
        match end {
            BatchEnd::Ready => answer::put_ready(&mut self.caller.output, self.status),
            BatchEnd::Flush if failed => self.collector.discard_until_sync(),
            BatchEnd::Flush => {}
        }
        self.caller.flush().await
    }

    /// How a batch ended, and whether its answer holds an error.
    async fn run_batch(&mut self, batch: CallerBatch) -> Result<(Outcome, bool), SessionEnd> {
        let plan = {
            let mut profiles = self.context.profiles.borrow_mut();
            let in_transaction = self.transaction.is_some();
            if self.abandoned {
                batch.rejection.map_or(Ok(Plan::Local(batch.messages)), Err)
            } else {
                plan::plan(batch, in_transaction, &mut self.statements, &mut profiles)
            }
        };
        let outcome = match plan {
            Ok(Plan::Local(messages)) => match local::answer_locally(self, &messages) {
                true => return Ok((Outcome::Local, false)),
                false => Outcome::Local,
            },
            Ok(Plan::Forward(plan)) => {
                let forwarded = self.forward(plan).await;
                return forwarded.inspect_err(|_| self.context.metrics.count(Outcome::CallerGone));
            }
            Err(rejection) => {
                self.reject(&rejection);
                Outcome::NotRun
            }
        };
        // An error fails an open transaction, whoever found it.
        if self.status == TransactionStatus::Open {
            self.abandon_transaction();
        }
        Ok((outcome, true))
    }

    /// Has the owner roll back; nothing of the caller's transaction block runs any more.
    fn abandon_transaction(&mut self) {
        self.transaction = None;
        self.abandoned = true;
        self.status = TransactionStatus::Failed;
    }

    /// The caller has ended its lost transaction block.
    fn end_abandoned(&mut self) {
        self.abandoned = false;
        self.status = TransactionStatus::Idle;
    }

    fn reject(&mut self, rejection: &Rejection) {
        answer::put_rejection(&mut self.caller.output, rejection, Severity::Error);
    }
}
