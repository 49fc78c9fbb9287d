//! The connection of a caller.
//!
//! It is for one caller from its first message to its last. It owns the socket, its buffers and the reasons for
//! which it ends. It relies on [`session`](super) to answer and on [`shared`](crate::shared) for the signs of a
//! planned stop.

use super::Session;
use super::response::Response;
use super::transaction::Transaction;
use crate::retry_after::{self, not_run};
use crate::shared::Shared;
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

/// First size of the buffers, in bytes; they grow with what is sent. Chosen, not measured: lower costs
/// allocations, higher memory for each session.
const BUFFER_BYTES: usize = 1024;
/// Longest wait for the first message of a connection. Chosen, not measured: it only bounds how long a
/// connection that says nothing takes a place.
const START_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for a caller to take an answer. Chosen, not measured: it only bounds how long a caller that
/// reads nothing keeps its session.
const SEND_LIMIT: Duration = Duration::from_secs(10);
/// How long a statement must stay away before a session is closed at a planned stop. Chosen, not measured:
/// lower cuts off statements that are on their way, higher lengthens the stop.
const QUIET_BEFORE_CLOSE: Duration = Duration::from_millis(30);

/// Why a caller's connection ends. None of them is a fault of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The caller closed it, or it failed.
    Caller,
    /// The caller speaks something else.
    Wire,
    /// The gateway stops.
    Stopping,
    /// The caller's key stands for nobody any longer; it has been told.
    Unauthenticated,
}

/// Serves a caller until it goes or the gateway stops.
pub(crate) async fn serve_caller<W: Wire>(stream: TcpStream, shared: Rc<Shared<W>>) {
    // The options only save time: a connection without them still works.
    drop(Liveness::TO_CALLERS.apply(&stream));
    let mut caller = Caller {
        stream,
        input: BytesMut::with_capacity(BUFFER_BYTES),
        output: BytesMut::with_capacity(BUFFER_BYTES),
        shared: Rc::clone(&shared),
    };
    shared.sessions.set(shared.sessions.get() + 1);
    let ended = caller.run().await;
    shared.sessions.set(shared.sessions.get() - 1);
    if let Err(Ended::Wire) = ended {
        // Whether the caller takes it or not, the connection ends.
        let _ = caller.refuse(ErrorCode::Malformed, "no message of the wire").await;
    }
    shared.session_ended.notify_waiters();
}

struct Caller<W: Wire> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    shared: Rc<Shared<W>>,
}

impl<W: Wire> Caller<W> {
    async fn run(&mut self) -> Result<(), Ended> {
        let first = timeout_at(Instant::now() + START_LIMIT, self.receive()).await;
        let first = first.map_err(|_| Ended::Caller)??;
        let CallerMessage::Start { database, key } = first else {
            return self.refuse(ErrorCode::Malformed, "a session begins with its start").await;
        };
        if !self.shared.wait_for_document().await {
            let text = not_run("no configuration yet", retry_after::NO_CONFIGURATION);
            return self.refuse(ErrorCode::Busy, &text).await;
        }
        match self.shared.routes.admit(&database, &key) {
            Ok(admitted) => self.shared.limits.mark_active(&admitted.principal),
            Err(refused) => return self.refuse(refused.code(), &refused.to_string()).await,
        }
        let ready = ReadyState { state: TransactionState::Idle, position: None };
        self.shared.wire.encode_reply(&Reply::Ready(ready), &mut self.output);
        self.send().await?;
        let mut session = Session::new(Rc::clone(&self.shared), database, key);
        self.serve(&mut session).await
    }

    async fn serve(&mut self, session: &mut Session<W>) -> Result<(), Ended> {
        loop {
            match self.next_message(session).await? {
                CallerMessage::Query(request) => self.answer(session, request).await?,
                CallerMessage::Terminate => return Ok(()),
                CallerMessage::Start { .. } => {
                    return self.refuse(ErrorCode::Malformed, "the session has begun").await;
                }
            }
        }
    }

    async fn answer(&mut self, session: &mut Session<W>, request: Request) -> Result<(), Ended> {
        let begun = Instant::now();
        let id = request.id.clone();
        let response = session.handle(request).await;
        let taken = begun.elapsed();
        let is_known = response.code() != Some(ErrorCode::Unauthenticated);
        self.shared.metrics.record_statement(response.code(), taken);
        if let Some(reason) = response.refusal() {
            self.shared.metrics.record_refusal(reason, session.decision.borrow().priority());
        }
        self.explain(session, &id, &response, taken);
        response.encode(&self.shared.wire, &mut self.output);
        self.send().await?;
        if is_known { Ok(()) } else { Err(Ended::Unauthenticated) }
    }

    /// Writes the line that explains a statement: of each that failed, and of some others.
    fn explain(&self, session: &Session<W>, id: &str, response: &Response, taken: Duration) {
        let decision = session.decision.borrow();
        let database = session.database.as_str();
        if let Some(code) = response.code() {
            let outcome = format!("{code:?}");
            let refusal = response.refusal();
            decision.explain(id, database, &outcome, response.text(), refusal, taken);
        } else if self.shared.metrics.is_sample() {
            decision.explain(id, database, "Done", "sampled", None, taken);
        }
    }

    /// The next message; a transaction that is idle for too long is rolled back, and a planned stop
    /// ends a session that is outside one.
    async fn next_message(&mut self, session: &mut Session<W>) -> Result<CallerMessage, Ended> {
        let shared = Rc::clone(&self.shared);
        loop {
            let idle_limit = session.transaction.idle_limit().map(|limit| Instant::now() + limit);
            let stopping = shared.stopping.get();
            let outside = session.transaction.is_none();
            if stopping && outside && self.input.is_empty() {
                let quiet = timeout_at(Instant::now() + QUIET_BEFORE_CLOSE, self.receive()).await;
                return quiet.unwrap_or(Err(Ended::Stopping));
            }
            // A process that stood still has messages and timers due at once: messages go first.
            tokio::select! {
                biased;
                message = self.receive() => return message,
                () = sleep_maybe(idle_limit) => {
                    log::info!(database = session.database.as_str(); "idle transaction rolled back");
                    session.transaction.fail();
                }
                () = shared.stop_began.notified(), if !stopping && outside => (),
                () = shared.transaction_grace_ended.notified(), if !outside => {
                    session.transaction.fail();
                    return Err(Ended::Stopping);
                }
            }
        }
    }

    async fn receive(&mut self) -> Result<CallerMessage, Ended> {
        loop {
            match self.shared.wire.decode_caller(&mut self.input) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => (),
                Err(error) => {
                    log::info!(error:% = error; "a caller's message cannot be read");
                    return Err(Ended::Wire);
                }
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return Err(Ended::Caller),
                Ok(_) => (),
            }
        }
    }

    async fn refuse(&mut self, code: ErrorCode, text: &str) -> Result<(), Ended> {
        let error = Reply::Error { code, text: text.to_owned() };
        self.shared.wire.encode_reply(&error, &mut self.output);
        self.send().await
    }

    async fn send(&mut self) -> Result<(), Ended> {
        let sending = self.stream.write_all(&self.output);
        let sent = timeout_at(Instant::now() + SEND_LIMIT, sending).await;
        self.output.clear();
        sent.map_err(|_| Ended::Caller)?.map_err(|_| Ended::Caller)
    }
}

async fn sleep_maybe(until: Option<Instant>) {
    match until {
        Some(until) => sleep_until(until).await,
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
