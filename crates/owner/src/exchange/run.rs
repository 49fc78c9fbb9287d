//! Main loop of a transaction, from its first batch to its end. Between two batches the loop watches for
//! input of the caller, loss of the connection, an unresponsive member and a change of primary.

use super::state::{BatchOutcome, Exchange, Exit};
use super::unfinished;
use crate::batch;
use crate::connection::ConnectionError;
use crate::stream_input::InputEvent;
use corktack_protocol::peer::TransactionStatus;

impl Exchange<'_> {
    /// Runs the transaction to its end and returns its result.
    pub async fn run(mut self) -> Exit {
        let mut outcome = self.run_first_batch().await;
        loop {
            match outcome {
                BatchOutcome::Ready(TransactionStatus::Idle) => return self.finish().await,
                BatchOutcome::Ready(status) => {
                    self.answer_ready(status);
                    outcome = self.next_batch().await;
                }
                BatchOutcome::Lost(error) => return self.finish_lost(&error),
                BatchOutcome::CallerGone => {
                    self.abandon().await;
                    return Exit::Ended;
                }
                BatchOutcome::Retry(cause) => return self.retry_exit(cause),
                BatchOutcome::Failed(failure) => return Exit::Failed(failure),
                BatchOutcome::Violation => return Exit::Failed(self.failure_of_violation()),
            }
        }
    }

    async fn run_first_batch(&mut self) -> BatchOutcome {
        let batch = &self.request.batch;
        if self.breaks_flush_rules() {
            return BatchOutcome::Violation;
        }
        match self.keyed {
            Some(_) => self.open_keyed(batch).await,
            None => self.run_batch(batch).await,
        }
    }

    async fn next_batch(&mut self) -> BatchOutcome {
        loop {
            if let Some(batch) = self.input.take_batch() {
                let Ok(properties) = batch::analyze(&batch) else {
                    return BatchOutcome::Violation;
                };
                self.properties = properties;
                if self.breaks_flush_rules() {
                    return BatchOutcome::Violation;
                }
                return match self.keyed {
                    Some(_) => self.continue_keyed(&batch).await,
                    None => self.run_batch(&batch).await,
                };
            }
            let (replaced, unresponsive) =
                (self.lease.wait_until_replaced(), self.lease.wait_until_silent());
            let Ok(connection) = self.lease.connection() else {
                return BatchOutcome::Lost(ConnectionError::Closed);
            };
            connection.sent_bytes = 0;
            // No request is pending: a message that arrives now is read below and found unexpected.
            let progress = connection.progress(true);
            tokio::select! {
                () = replaced => return BatchOutcome::Lost(ConnectionError::Closed),
                () = unresponsive => return BatchOutcome::Lost(ConnectionError::TimedOut),
                event = self.input.next_event() => if event == InputEvent::CallerGone {
                    return BatchOutcome::CallerGone;
                },
                result = progress => if let Err(error) = result {
                    return BatchOutcome::Lost(error);
                },
            }
            if let Err(error) = self.read_replies() {
                return BatchOutcome::Lost(error);
            }
        }
    }

    fn breaks_flush_rules(&self) -> bool {
        self.properties.flushes && !unfinished::may_flush(self.request)
    }
}
