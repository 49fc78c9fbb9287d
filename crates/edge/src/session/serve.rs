//! Takes a caller's messages until a batch is whole, has it answered, and notes how it ended.
//!
//! The module owns the session's loop and the order of its steps; it relies on `plan` for where a batch is
//! answered. An error that the edge finds ends an unfinished batch and fails an open transaction.

use super::local;
use super::plan::{self, Known, Place, Plan};
use super::state::{BatchOutcome, Session};
use super::unfinished::until;
use crate::answer;
use crate::batch::{BatchEnd, CallerBatch, Gathered};
use crate::context::DrainPhase;
use crate::error::{Rejection, SessionEnd};
use crate::metrics::Outcome;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::PgWireFrontendMessage as Message;
use tokio::time::Instant;

impl Session {
    /// Serves the caller until one side ends the session.
    pub async fn run(mut self) {
        let end = self.serve().await;
        // The owner learns at once; the caller may take its time.
        self.transaction = None;
        self.unfinished = None;
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
                // The answers to both come together, and the batch stays in one piece.
                if matches!(message, Message::Flush(_)) && self.caller.next_is_sync() {
                    continue;
                }
                match self.collector.push(message, bytes)? {
                    Gathered::More => {}
                    Gathered::Batch(batch) => return Ok(Some(batch)),
                    Gathered::Terminate => return Ok(None),
                }
            }
            self.wait_for_input().await?;
        }
    }

    /// Waits for the caller; an idle caller hears when the edge drains, and one that
    /// does not end its batch in time that the batch is over.
    async fn wait_for_input(&mut self) -> Result<(), SessionEnd> {
        let in_flight = self.transaction.is_some() || self.unfinished.is_some();
        let idle = !in_flight && self.collector.is_empty() && self.caller.input_is_empty();
        let deadline = self.unfinished.as_ref().map(|unfinished| unfinished.deadline);
        let last = if idle { DrainPhase::Draining } else { DrainPhase::Ending };
        let mut drain = self.context.drain.clone();
        tokio::select! {
            biased;
            result = self.caller.read_more() => return result,
            _ = drain.wait_for(|phase| *phase >= last) => return Err(Rejection::Stopping.into()),
            () = until(deadline) => {}
        }
        self.end_late_batch().await
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
            BatchEnd::Ready => {
                self.portals.clear();
                answer::put_ready(&mut self.caller.output, self.status);
            }
            BatchEnd::Flush if failed => self.collector.discard_until_sync(),
            BatchEnd::Flush => {}
        }
        self.caller.flush().await
    }

    /// How a batch ended, and whether its answer holds an error.
    async fn run_batch(&mut self, batch: CallerBatch) -> Result<BatchOutcome, SessionEnd> {
        let outcome = match self.plan(batch) {
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
        self.drop_unfinished();
        // An error fails an open transaction, whoever found it.
        if self.status == TransactionStatus::Open {
            self.abandon_transaction();
        }
        Ok((outcome, true))
    }

    fn plan(&mut self, batch: CallerBatch) -> Result<Plan, Rejection> {
        if self.abandoned {
            return batch.rejection.map_or(Ok(Plan::Local(batch.messages)), Err);
        }
        self.check_unfinished(batch.bytes)?;
        let place = Place {
            in_transaction: self.transaction.is_some(),
            unfinished: self.unfinished.is_some(),
            keyed: self.idempotency_key.is_some(),
        };
        let known = Known {
            statements: &mut self.statements,
            portals: &mut self.portals,
            cache: &mut self.context.profiles.borrow_mut(),
        };
        plan::plan(batch, place, known)
    }

    /// Refuses a further part of so many bytes that comes too late or is too much.
    fn check_unfinished(&mut self, bytes: usize) -> Result<(), Rejection> {
        let limit = self.context.settings.message_limit;
        let late = self.too_long();
        match &mut self.unfinished {
            Some(unfinished) if unfinished.is_late(Instant::now()) => Err(late),
            Some(unfinished) => unfinished.add_part(bytes, limit),
            None => Ok(()),
        }
    }

    fn too_long(&self) -> Rejection {
        Rejection::UnfinishedTooLong(self.context.settings.unfinished_batch_timeout)
    }

    /// Ends a batch whose `Sync` did not come in time; the rest of it is skipped.
    async fn end_late_batch(&mut self) -> Result<(), SessionEnd> {
        self.reject(&self.too_long());
        self.drop_unfinished();
        self.collector.discard_until_sync();
        self.caller.flush().await
    }
}
