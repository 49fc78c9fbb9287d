//! Main loop of a transaction, from its first batch to its end. Between two batches the loop watches for
//! input of the caller, loss of the connection, an unresponsive member and a change of primary.

use super::state::{Exchange, Exit, Step};
use super::unfinished;
use crate::batch;
use crate::connection::ConnectionError;
use crate::stream_input::InputEvent;
use corktack_protocol::peer::TransactionStatus;

impl Exchange<'_> {
    /// Runs the transaction to its end and returns its result.
    pub async fn run(mut self) -> Exit {
        let mut step = self.run_first_batch().await;
        loop {
            match step {
                Step::Ready(TransactionStatus::Idle) => return self.finish().await,
                Step::Ready(status) => {
                    self.answer_ready(status);
                    step = self.next_batch().await;
                }
                Step::Lost(error) => return self.lost(&error),
                Step::Gone => {
                    self.abandon().await;
                    return Exit::Ended;
                }
                Step::Retry(cause) => return self.retried(cause),
                Step::Failed(failure) => return Exit::Failed(failure),
                Step::Violation => return Exit::Failed(self.failure_of_violation()),
            }
        }
    }

    async fn run_first_batch(&mut self) -> Step {
        let batch = &self.request.batch;
        if self.breaks_flush_rules() {
            return Step::Violation;
        }
        match self.keyed {
            Some(_) => self.open_keyed(batch).await,
            None => self.run_batch(batch).await,
        }
    }

    async fn next_batch(&mut self) -> Step {
        loop {
            if let Some(batch) = self.input.take_batch() {
                let Ok(facts) = batch::facts(&batch) else {
                    return Step::Violation;
                };
                self.facts = facts;
                if self.breaks_flush_rules() {
                    return Step::Violation;
                }
                return match self.keyed {
                    Some(_) => self.continue_keyed(&batch).await,
                    None => self.run_batch(&batch).await,
                };
            }
            let (replaced, silent) = (self.lease.replaced(), self.lease.silent());
            let Ok(connection) = self.lease.connection() else {
                return Step::Lost(ConnectionError::Closed);
            };
            connection.sent_bytes = 0;
            // No request is pending: a message that arrives now is read below and found unexpected.
            let lost = connection.progress(true);
            tokio::select! {
                () = replaced => return Step::Lost(ConnectionError::Closed),
                () = silent => return Step::Lost(ConnectionError::TimedOut),
                event = self.input.next() => if event == InputEvent::Gone {
                    return Step::Gone;
                },
                result = lost => if let Err(error) = result {
                    return Step::Lost(error);
                },
            }
            if let Err(error) = self.read_replies() {
                return Step::Lost(error);
            }
        }
    }

    fn breaks_flush_rules(&self) -> bool {
        self.facts.flushes && !unfinished::may_flush(self.request)
    }
}
