//! Reads a caller's messages until a batch is complete, has the batch answered, and records its
//! outcome.
//!
//! This module is the session's main loop; `plan` decides where a batch is answered. An error found by
//! the edge ends an unfinished batch and fails an open transaction.

use super::local;
use super::plan::{self, BatchPlace, Plan, PlanContext};
use super::state::{BatchOutcome, Session};
use super::unfinished::sleep_until_deadline;
use crate::answer;
use crate::batch::{BatchEnd, CallerBatch, CollectorState};
use crate::context::DrainPhase;
use crate::error::{Rejection, SessionEnd};
use crate::metrics::Outcome;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::PgWireFrontendMessage as Message;
use tokio::time::Instant;

impl Session {
    /// Serves the caller until either side ends the session.
    pub async fn run(mut self) {
        let end = self.serve().await;
        // The streams are dropped first, so that the owner rolls back at once and does not wait until
        // the caller has closed.
        self.transaction = None;
        self.unfinished = None;
        if let Err(SessionEnd::Fatal(rejection)) = end {
            self.caller.close_with_error(&rejection).await;
        }
    }

    async fn serve(&mut self) -> Result<(), SessionEnd> {
        while let Some(batch) = self.next_batch().await? {
            self.answer_batch(batch).await?;
        }
        Ok(())
    }

    /// Returns the next batch, or nothing when the caller ends the session.
    async fn next_batch(&mut self) -> Result<Option<CallerBatch>, SessionEnd> {
        loop {
            if *self.context.drain_phase.borrow() == DrainPhase::Ending {
                return Err(Rejection::Stopping.into());
            }
            let limit = self.context.settings.message_limit;
            while let Some((message, bytes)) = self.caller.take_buffered_message(limit)? {
                // A `Flush` right before a `Sync` is ignored, so that the batch stays in one piece; its
                // answer arrives with that of the `Sync`.
                if matches!(message, Message::Flush(_)) && self.caller.next_is_sync() {
                    continue;
                }
                match self.collector.push(message, bytes)? {
                    CollectorState::More => {}
                    CollectorState::Batch(batch) => return Ok(Some(batch)),
                    CollectorState::Terminate => return Ok(None),
                }
            }
            self.wait_for_input().await?;
        }
    }

    /// Waits for input. A session with an idle caller ends when the edge drains, and an unfinished
    /// batch ends at its deadline.
    async fn wait_for_input(&mut self) -> Result<(), SessionEnd> {
        let in_flight = self.transaction.is_some() || self.unfinished.is_some();
        let is_idle = !in_flight && self.collector.is_empty() && self.caller.input_is_empty();
        let deadline = self.unfinished.as_ref().map(|unfinished| unfinished.deadline);
        let end_phase = if is_idle { DrainPhase::Draining } else { DrainPhase::Ending };
        let mut drain_phase = self.context.drain_phase.clone();
        tokio::select! {
            biased;
            result = self.caller.read_more() => return result,
            _ = drain_phase.wait_for(|phase| *phase >= end_phase) =>
                return Err(Rejection::Stopping.into()),
            () = sleep_until_deadline(deadline) => {}
        }
        self.end_late_batch().await
    }

    async fn answer_batch(&mut self, batch: CallerBatch) -> Result<(), SessionEnd> {
        let start = Instant::now();
        let end = batch.end;
        let is_counted = !batch.messages.is_empty() || batch.rejection.is_some();
        let (outcome, failed) = self.run_batch(batch).await?;
        self.statements.end_batch();
        if is_counted {
            self.context.metrics.count_request(outcome);
            self.context.metrics.latency.observe(start.elapsed().as_secs_f64());
        }
        match end {
            BatchEnd::Ready => {
                self.portals.clear();
                answer::put_ready_for_query(&mut self.caller.output, self.status);
            }
            BatchEnd::Flush if failed => self.collector.discard_until_sync(),
            BatchEnd::Flush => {}
        }
        self.caller.flush().await
    }

    /// Runs a batch, and returns its outcome and whether its answer contains an error.
    async fn run_batch(&mut self, batch: CallerBatch) -> Result<BatchOutcome, SessionEnd> {
        let outcome = match self.plan(batch) {
            Ok(Plan::Local(messages)) => match local::answer_locally(self, &messages) {
                true => return Ok((Outcome::Local, false)),
                false => Outcome::Local,
            },
            Ok(Plan::Forward(plan)) => {
                let forwarded = self.forward(plan).await;
                return forwarded
                    .inspect_err(|_| self.context.metrics.count_request(Outcome::CallerGone));
            }
            Err(rejection) => {
                self.reject(&rejection);
                Outcome::NotRun
            }
        };
        self.drop_unfinished();
        // An error fails an open transaction, also if the edge found it and not the back end.
        if self.status == TransactionStatus::Open {
            self.abandon_transaction();
        }
        Ok((outcome, true))
    }

    fn plan(&mut self, batch: CallerBatch) -> Result<Plan, Rejection> {
        if self.block_abandoned {
            return batch.rejection.map_or(Ok(Plan::Local(batch.messages)), Err);
        }
        self.count_unfinished_part(batch.bytes)?;
        let place = BatchPlace {
            in_transaction: self.transaction.is_some(),
            unfinished: self.unfinished.is_some(),
            keyed: self.idempotency_key.is_some(),
        };
        let plan_context = PlanContext {
            statements: &mut self.statements,
            portals: &mut self.portals,
            profile_cache: &mut self.context.profiles.borrow_mut(),
        };
        plan::plan(batch, place, plan_context)
    }

    /// Counts a further part of an unfinished batch. Refuses the part if it arrives after the deadline
    /// or the batch becomes too large.
    fn count_unfinished_part(&mut self, bytes: usize) -> Result<(), Rejection> {
        let limit = self.context.settings.message_limit;
        let too_late = self.unfinished_too_long();
        match &mut self.unfinished {
            Some(unfinished) if unfinished.is_late(Instant::now()) => Err(too_late),
            Some(unfinished) => unfinished.add_part(bytes, limit),
            None => Ok(()),
        }
    }

    fn unfinished_too_long(&self) -> Rejection {
        Rejection::UnfinishedTooLong(self.context.settings.unfinished_batch_timeout)
    }

    /// Ends a batch whose `Sync` did not arrive in time; the rest of the batch is skipped.
    async fn end_late_batch(&mut self) -> Result<(), SessionEnd> {
        self.reject(&self.unfinished_too_long());
        self.drop_unfinished();
        self.collector.discard_until_sync();
        self.caller.flush().await
    }
}
