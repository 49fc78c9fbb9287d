//! Connection of a caller: reads its messages, has the session answer them in order, and closes the
//! connection.
//!
//! Idle transactions are rolled back here, and sessions end at a planned stop, whose progress
//! [`drain`](crate::drain) signals: between two statements, so that no statement that was read stays without an
//! answer.

use super::Session;
use super::caller::{CLOSE_TIMEOUT, CallerConnection, CallerError, Received};
use super::response::Response;
use super::transaction::Transaction;
use crate::drain::StopPhase;
use crate::retry_after::{self, not_run};
use crate::shared::GatewayContext;
use crate::wire::Wire;
use corktack_clients::{Client, CloseReason};
use corktack_core::clients::ClientPhase;
use corktack_core::statement::TransactionState;
use corktack_core::statement::{CallerMessage, ErrorCode, ReadyState, Reply, Request};
use corktack_core::text::shortened;
use corktack_protocol::liveness::Liveness;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Longest wait for the first message of a connection. Bounds how long a connection without messages occupies
/// a socket.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a statement after which an idle session is closed at a planned stop. A shorter time cuts off
/// statements in transit; a longer one lengthens the stop.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(30);

/// Pause after the refusal of a statement whose caller has sent further ones without waiting for the answer. A
/// shorter pause spends more time on refusals; a longer one leaves capacity unused that such callers might have.
const SENT_AHEAD_PAUSE: Duration = Duration::from_millis(100);

/// Reason why a caller's connection ends; none is a fault of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// The connection can't be used further.
    Connection(CallerError),
    /// The gateway stops.
    Stopping,
    /// The caller's key is no longer valid; the caller has got the error.
    Unauthenticated,
}

impl From<CallerError> for EndReason {
    fn from(error: CallerError) -> Self {
        Self::Connection(error)
    }
}

/// Serves a caller until it disconnects or the gateway stops, or its connection is closed to make room.
pub(crate) async fn serve_caller<W: Wire>(
    stream: TcpStream,
    client: Client,
    shared: Rc<GatewayContext<W>>,
) {
    // The socket options lower latency and detect a lost caller sooner; the connection works without them.
    drop(Liveness::TO_CALLERS.apply(&stream));
    let client = Rc::new(client);
    let connection = CallerConnection::new(stream, shared.wire.clone(), Rc::clone(&client));
    let mut caller = Caller { connection, client: Rc::clone(&client), shared: Rc::clone(&shared) };
    let _session = shared.stop.count_session();
    let ended = tokio::select! {
        // A caller whose connection is to be closed begins no more statements.
        biased;
        reason = client.closed() => return caller.end_disconnected(reason).await,
        ended = caller.run() => ended,
    };
    match ended {
        Err(EndReason::Connection(CallerError::Wire)) => {
            // The connection ends whether or not the caller reads the error.
            let _ = caller.refuse(ErrorCode::Malformed, "no message of the wire").await;
            caller.connection.close().await;
        }
        Err(EndReason::Connection(CallerError::MemoryShort)) => {
            caller.end_disconnected(CloseReason::MemoryShort).await;
        }
        Err(EndReason::Stopping) => caller.connection.close().await,
        _ => (),
    }
}

/// A caller's connection, and what serves it.
struct Caller<W: Wire> {
    connection: CallerConnection<W>,
    client: Rc<Client>,
    shared: Rc<GatewayContext<W>>,
}

impl<W: Wire> Caller<W> {
    async fn run(&mut self) -> Result<(), EndReason> {
        let receiving = self.connection.receive(ClientPhase::Connecting);
        let first = timeout_at(Instant::now() + START_TIMEOUT, receiving).await;
        let first = first.map_err(|_| CallerError::Gone)??;
        let Received { message, has_memory } = first;
        if !has_memory {
            return Err(CallerError::MemoryShort.into());
        }
        let CallerMessage::Start { database, key } = message else {
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
        self.connection.queue(&Reply::Ready(ready));
        self.connection.send().await?;
        let mut session = Session::new(Rc::clone(&self.shared), database, key);
        self.serve(&mut session).await
    }

    async fn serve(&mut self, session: &mut Session<W>) -> Result<(), EndReason> {
        loop {
            self.client.enter(resting_phase(session));
            let Received { message, has_memory } = self.next_message(session).await?;
            match message {
                CallerMessage::Query(_) if self.refuses_statements(session) => {
                    return self.refuse_at_stop().await;
                }
                CallerMessage::Query(request) => {
                    self.answer(session, request, has_memory).await?;
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
        if self.connection.has_input() || !self.shared.stop.has_reached(last_phase) {
            return Ok(());
        }
        session.transaction.fail();
        Err(EndReason::Stopping)
    }

    async fn answer(
        &mut self,
        session: &mut Session<W>,
        request: Request,
        has_memory: bool,
    ) -> Result<(), EndReason> {
        let started_at = Instant::now();
        let id = request.id.clone();
        session.sends_ahead = self.connection.sends_ahead();
        let response =
            if has_memory { session.handle(request).await } else { session.refuse_for_memory() };
        let elapsed = started_at.elapsed();
        let is_authenticated = response.code() != Some(ErrorCode::Unauthenticated);
        let is_refused = response.refusal().is_some();
        self.shared.metrics.record_statement(response.code(), elapsed);
        if let Some(reason) = response.refusal() {
            self.shared.metrics.record_refusal(reason, session.decision.borrow().priority());
        }
        self.log_statement(session, &id, &response, elapsed);
        self.connection.end_work(session.bytes()).await?;
        self.connection.queue_with(|wire, output| response.encode(wire, output));
        self.connection.send().await?;
        self.connection.record_answered();
        if is_refused && session.sends_ahead {
            self.client.enter(resting_phase(session));
            sleep(SENT_AHEAD_PAUSE).await;
        }
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
        let (id, database) = (shortened(id), session.database.as_str());
        if let Some(code) = response.code() {
            let outcome = format!("{code:?}");
            let refusal = response.refusal();
            decision.log(id, database, &outcome, shortened(response.text()), refusal, elapsed);
        } else if self.shared.metrics.is_sample() {
            decision.log(id, database, "Done", "sampled", None, elapsed);
        }
    }

    /// Waits for the next message. Rolls back a transaction that is idle for too long; at a planned stop,
    /// ends a session that is outside a transaction.
    async fn next_message(&mut self, session: &mut Session<W>) -> Result<Received, EndReason> {
        let shared = Rc::clone(&self.shared);
        loop {
            let idle_deadline =
                session.transaction.idle_limit().map(|limit| Instant::now() + limit);
            let is_stopping = shared.stop.has_reached(StopPhase::EndingIdleSessions);
            let is_outside = session.transaction.is_none();
            let receiving = receiving_phase(session);
            if is_stopping && is_outside && !self.connection.has_input() {
                let received = self.connection.receive(receiving);
                match timeout_at(Instant::now() + IDLE_BEFORE_CLOSE, received).await {
                    Ok(received) => return Ok(received?),
                    Err(_) if !self.connection.has_input() => return Err(EndReason::Stopping),
                    // A part of a statement has arrived.
                    Err(_) => (),
                }
            }
            // After a pause of the process, messages and timers are due at once: messages are handled first.
            tokio::select! {
                biased;
                message = self.connection.receive(receiving) => return Ok(message?),
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

    /// Refuses the start of a session or a statement, which a planned stop would cut short.
    async fn refuse_at_stop(&mut self) -> Result<(), EndReason> {
        let text = not_run("the gateway stops", retry_after::GATEWAY_STOPS);
        self.refuse(ErrorCode::Busy, &text).await?;
        Err(EndReason::Stopping)
    }

    /// Sends an error after which the connection ends.
    async fn refuse(&mut self, code: ErrorCode, text: &str) -> Result<(), EndReason> {
        self.connection.queue(&Reply::Error { code, text: text.to_owned() });
        Ok(self.connection.send().await?)
    }

    /// Ends a connection that is closed to keep a limit. A caller that has sent a part of a message is told
    /// that nothing of it was run.
    async fn end_disconnected(&mut self, reason: CloseReason) {
        // A new caller waits for the descriptor of one whose place it has taken.
        let is_told = reason != CloseReason::ConnectionsShort
            && self.connection.has_input()
            && !self.connection.is_sending();
        self.connection.discard_input();
        if !is_told {
            return;
        }
        let text = not_run(reason.text(), retry_after::CLIENT_LIMITS);
        // The connection ends whether or not the caller reads the error.
        let refused = self.refuse(ErrorCode::Busy, &text);
        drop(timeout_at(Instant::now() + CLOSE_TIMEOUT, refused).await);
        self.connection.close().await;
    }
}

/// Returns the phase of a caller whose session waits for the next statement.
fn resting_phase<W: Wire>(session: &Session<W>) -> ClientPhase {
    if session.transaction.is_open() { ClientPhase::Working } else { ClientPhase::Idle }
}

/// Returns the phase of a caller that has sent a part of a statement.
fn receiving_phase<W: Wire>(session: &Session<W>) -> ClientPhase {
    if session.transaction.is_open() {
        ClientPhase::ReceivingInTransaction
    } else {
        ClientPhase::Receiving
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
