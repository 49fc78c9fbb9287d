//! Connection of a caller: reads its messages, has the session answer them in order, and closes the
//! connection.
//!
//! Idle transactions are rolled back here, and sessions end at a planned stop, whose progress
//! [`drain`](crate::drain) signals: between two statements, so that no statement that was read stays without an
//! answer.

use super::Session;
use super::response::Response;
use super::transaction::Transaction;
use crate::drain::StopPhase;
use crate::retry_after::{self, not_run};
use crate::shared::GatewayContext;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::statement::TransactionState;
use corktack_core::statement::{CallerMessage, ErrorCode, ReadyState, Reply, Request};
use corktack_protocol::liveness::Liveness;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Initial size of the buffers, in bytes; they grow with the messages. A smaller size costs allocations, a
/// larger one memory for each session.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// Longest wait for the first message of a connection. Bounds how long a connection without messages occupies
/// a socket.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for sending an answer. Bounds how long a caller that reads nothing keeps its session.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a statement after which an idle session is closed at a planned stop. A shorter time cuts off
/// statements in transit; a longer one lengthens the stop.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(30);
/// Longest wait, after the end of a session at a planned stop, until the caller closes its side. A shorter
/// one resets the connection of a distant caller before it has read its last answer; a longer one lengthens
/// the stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a caller's connection ends; none is a fault of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// The caller closed the connection, or it failed or timed out.
    CallerGone,
    /// The caller sent bytes that are no message of the protocol.
    Wire,
    /// The gateway stops.
    Stopping,
    /// The caller's key is no longer valid; the caller has got the error.
    Unauthenticated,
}

/// Serves a caller until it disconnects or the gateway stops.
pub(crate) async fn serve_caller<W: Wire>(stream: TcpStream, shared: Rc<GatewayContext<W>>) {
    // The socket options lower latency and detect a lost caller sooner; the connection works without them.
    drop(Liveness::TO_CALLERS.apply(&stream));
    let mut caller = Caller {
        stream,
        input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
        output: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
        shared: Rc::clone(&shared),
    };
    let _session = shared.stop.count_session();
    match caller.run().await {
        Err(EndReason::Wire) => {
            // The connection ends whether or not the caller reads the error.
            let _ = caller.refuse(ErrorCode::Malformed, "no message of the wire").await;
        }
        Err(EndReason::Stopping) => caller.close().await,
        _ => (),
    }
}

/// A caller's connection with its buffers.
struct Caller<W: Wire> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    shared: Rc<GatewayContext<W>>,
}

impl<W: Wire> Caller<W> {
    async fn run(&mut self) -> Result<(), EndReason> {
        let first = timeout_at(Instant::now() + START_TIMEOUT, self.receive()).await;
        let first = first.map_err(|_| EndReason::CallerGone)??;
        let CallerMessage::Start { database, key } = first else {
            return self.refuse(ErrorCode::Malformed, "a session begins with its start").await;
        };
        if self.shared.stop.has_reached(StopPhase::Closing) {
            return self.refuse_at_stop().await;
        }
        if !self.shared.wait_for_document().await {
            let text = not_run("no configuration yet", retry_after::NO_CONFIGURATION);
            return self.refuse(ErrorCode::Busy, &text).await;
        }
        match self.shared.routes.admit(&database, &key) {
            Ok(admission) => self.shared.limits.mark_active(&admission.principal),
            Err(refused) => return self.refuse(refused.code(), &refused.to_string()).await,
        }
        let ready = ReadyState { state: TransactionState::Idle, position: None };
        self.shared.wire.encode_reply(&Reply::Ready(ready), &mut self.output);
        self.send().await?;
        let mut session = Session::new(Rc::clone(&self.shared), database, key);
        self.serve(&mut session).await
    }

    async fn serve(&mut self, session: &mut Session<W>) -> Result<(), EndReason> {
        loop {
            match self.next_message(session).await? {
                CallerMessage::Query(_) if self.refuses_statements(session) => {
                    return self.refuse_at_stop().await;
                }
                CallerMessage::Query(request) => {
                    self.answer(session, request).await?;
                    self.end_if_stopping(session)?;
                }
                CallerMessage::Terminate => return Ok(()),
                CallerMessage::Start { .. } => {
                    return self.refuse(ErrorCode::Malformed, "the session has begun").await;
                }
            }
        }
    }

    /// Reports whether a planned stop is so far that no statement outside a transaction is begun.
    fn refuses_statements(&self, session: &Session<W>) -> bool {
        self.shared.stop.has_reached(StopPhase::Closing) && session.transaction.is_none()
    }

    /// Ends the session after an answer at a planned stop, if it is outside a transaction or transactions are
    /// rolled back already. Statements that were received are served or refused before.
    fn end_if_stopping(&self, session: &mut Session<W>) -> Result<(), EndReason> {
        let last_phase = if session.transaction.is_none() {
            StopPhase::EndingSessions
        } else {
            StopPhase::Closing
        };
        if !self.input.is_empty() || !self.shared.stop.has_reached(last_phase) {
            return Ok(());
        }
        session.transaction.fail();
        Err(EndReason::Stopping)
    }

    async fn answer(
        &mut self,
        session: &mut Session<W>,
        request: Request,
    ) -> Result<(), EndReason> {
        let started_at = Instant::now();
        let id = request.id.clone();
        let response = session.handle(request).await;
        let elapsed = started_at.elapsed();
        let is_authenticated = response.code() != Some(ErrorCode::Unauthenticated);
        self.shared.metrics.record_statement(response.code(), elapsed);
        if let Some(reason) = response.refusal() {
            self.shared.metrics.record_refusal(reason, session.decision.borrow().priority());
        }
        self.log_statement(session, &id, &response, elapsed);
        response.encode(&self.shared.wire, &mut self.output);
        self.send().await?;
        if is_authenticated { Ok(()) } else { Err(EndReason::Unauthenticated) }
    }

    /// Logs a statement with the decisions made for it: each one that failed, and a sample of the others.
    fn log_statement(
        &self,
        session: &Session<W>,
        id: &str,
        response: &Response,
        elapsed: Duration,
    ) {
        let decision = session.decision.borrow();
        let database = session.database.as_str();
        if let Some(code) = response.code() {
            let outcome = format!("{code:?}");
            let refusal = response.refusal();
            decision.log(id, database, &outcome, response.text(), refusal, elapsed);
        } else if self.shared.metrics.is_sample() {
            decision.log(id, database, "Done", "sampled", None, elapsed);
        }
    }

    /// Waits for the next message. Rolls back a transaction that is idle for too long; at a planned stop,
    /// ends a session that is outside a transaction.
    async fn next_message(&mut self, session: &mut Session<W>) -> Result<CallerMessage, EndReason> {
        let shared = Rc::clone(&self.shared);
        loop {
            let idle_deadline =
                session.transaction.idle_limit().map(|limit| Instant::now() + limit);
            let is_stopping = shared.stop.has_reached(StopPhase::EndingIdleSessions);
            let is_outside = session.transaction.is_none();
            if is_stopping && is_outside && self.input.is_empty() {
                let received = timeout_at(Instant::now() + IDLE_BEFORE_CLOSE, self.receive()).await;
                match received {
                    Ok(received) => return received,
                    Err(_) if self.input.is_empty() => return Err(EndReason::Stopping),
                    // A part of a statement has arrived.
                    Err(_) => (),
                }
            }
            // After a pause of the process, messages and timers are due at once: messages are handled first.
            tokio::select! {
                biased;
                message = self.receive() => return message,
                () = sleep_until_deadline(idle_deadline) => {
                    log::info!(database = session.database.as_str(); "idle transaction rolled back");
                    session.transaction.fail();
                }
                () = shared.stop.reached(StopPhase::EndingIdleSessions), if !is_stopping && is_outside => (),
                () = shared.stop.reached(StopPhase::Closing), if is_stopping || !is_outside => {
                    session.transaction.fail();
                    return Err(EndReason::Stopping);
                }
            }
        }
    }

    async fn receive(&mut self) -> Result<CallerMessage, EndReason> {
        loop {
            match self.shared.wire.decode_caller(&mut self.input) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => (),
                Err(error) => {
                    log::info!(error:% = error; "cannot decode a caller's message");
                    return Err(EndReason::Wire);
                }
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return Err(EndReason::CallerGone),
                Ok(_) => (),
            }
        }
    }

    /// Refuses the start of a session or a statement, which a planned stop would cut short.
    async fn refuse_at_stop(&mut self) -> Result<(), EndReason> {
        let text = not_run("the gateway stops", retry_after::GATEWAY_STOPS);
        self.refuse(ErrorCode::Busy, &text).await?;
        Err(EndReason::Stopping)
    }

    /// Closes the connection once the caller has closed its side, or after [`CLOSE_TIMEOUT`]. Closing with
    /// unread bytes would reset the connection, and the caller could lose its last answer.
    async fn close(&mut self) {
        let closing = async {
            self.stream.shutdown().await?;
            loop {
                self.input.clear();
                if self.stream.read_buf(&mut self.input).await? == 0 {
                    return std::io::Result::Ok(());
                }
            }
        };
        // The connection ends in any case.
        drop(timeout_at(Instant::now() + CLOSE_TIMEOUT, closing).await);
    }

    /// Sends an error after which the connection ends.
    async fn refuse(&mut self, code: ErrorCode, text: &str) -> Result<(), EndReason> {
        let error = Reply::Error { code, text: text.to_owned() };
        self.shared.wire.encode_reply(&error, &mut self.output);
        self.send().await
    }

    /// Sends the contents of the output buffer.
    async fn send(&mut self) -> Result<(), EndReason> {
        let sending = self.stream.write_all(&self.output);
        let sent = timeout_at(Instant::now() + SEND_TIMEOUT, sending).await;
        self.output.clear();
        sent.map_err(|_| EndReason::CallerGone)?.map_err(|_| EndReason::CallerGone)
    }
}

/// Sleeps until the deadline; without one, forever.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

impl<W: Wire> Drop for Session<W> {
    fn drop(&mut self) {
        if let Transaction::Open(_) = self.transaction {
            self.transaction.fail();
        }
    }
}
