//! One server connection: its socket, its buffers, the requests without an answer, and the state of its
//! session.
//!
//! `wire` splits messages, and the reply tracker of `corktack_core` matches answers to requests. Leases
//! decide which transaction uses the connection.

use crate::wire::{self, RawMessage, WireError};
use bytes::{Buf, BytesMut};
use corktack_core::pool::replies::{Disposition, Reply, ReplyTracker, Sent, UnexpectedReply, back};
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::{BackendKeyData, Startup};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Longest wait for a new connection to be ready, and for a free place under the group's limit. A shorter
/// timeout treats members behind slow links as unreachable; a longer one delays requests to a member that is
/// gone.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Free buffer space reserved for each read, in bytes. Less means more system calls; more costs memory per
/// connection.
const READ_BYTES: usize = 16 * 1024;

/// Reasons why a server connection cannot be used any more, or could not be obtained.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// The socket failed.
    #[error("server connection failed")]
    Io(#[from] std::io::Error),
    /// The back end closed the connection.
    #[error("server connection closed by the back end")]
    Closed,
    /// The back end sent bytes that are not a valid message.
    #[error("server connection broke the protocol")]
    Wire(#[from] WireError),
    /// The back end sent an answer that no request is waiting for.
    #[error("server connection broke the order of answers")]
    Unexpected(#[from] UnexpectedReply),
    /// The back end answered with an error.
    #[error("back end answered SQLSTATE {sqlstate}")]
    Refused {
        /// The SQLSTATE.
        sqlstate: String,
    },
    /// The back end's status row is malformed.
    #[error("back end with a malformed status")]
    Status(#[from] corktack_core::backend::StatusError),
    /// No connection became free under the group's limit in time.
    #[error("no server connection within the group's limit")]
    NoRoom,
    /// The back end did not answer in time.
    #[error("no answer from the back end in time")]
    TimedOut,
}

/// One server connection and the state of its session.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    socket: TcpStream,
    address: SocketAddr,
    input: BytesMut,
    /// Bytes that wait to be sent.
    pub output: BytesMut,
    /// Tracks the expected answers and the prepared statements.
    pub tracker: ReplyTracker,
    /// Bytes sent since the count was last reset.
    pub sent_bytes: usize,
    /// Whether session state may differ from that of a new connection.
    pub session_changed: bool,
    cancel_key: Option<BackendKeyData>,
}

/// Startup parameters of a server connection.
#[derive(Clone, Debug)]
pub(crate) struct Login {
    pub user: String,
    pub database: String,
    pub application_name: &'static str,
}

impl ServerConnection {
    /// Connects and waits until the back end is ready, for at most [`CONNECT_TIMEOUT`].
    pub async fn connect(address: SocketAddr, login: &Login) -> Result<Self, ConnectionError> {
        let attempt = Self::connect_without_timeout(address, login);
        let result = tokio::time::timeout(CONNECT_TIMEOUT, attempt).await;
        result.unwrap_or(Err(ConnectionError::TimedOut))
    }

    async fn connect_without_timeout(
        address: SocketAddr,
        login: &Login,
    ) -> Result<Self, ConnectionError> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let mut connection = Self {
            socket,
            address,
            input: BytesMut::new(),
            output: BytesMut::new(),
            tracker: ReplyTracker::default(),
            sent_bytes: 0,
            session_changed: false,
            cancel_key: None,
        };
        connection.queue_startup(login)?;
        connection.await_startup().await?;
        Ok(connection)
    }

    fn queue_startup(&mut self, login: &Login) -> Result<(), ConnectionError> {
        let mut startup = Startup::new();
        let parameters = [
            ("user", login.user.as_str()),
            ("database", login.database.as_str()),
            ("application_name", login.application_name),
            ("client_encoding", "UTF8"),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        Ok(wire::encode(&startup, &mut self.output)?)
    }

    async fn await_startup(&mut self) -> Result<(), ConnectionError> {
        loop {
            while let Some(message) = wire::split_message(&mut self.input)? {
                match message.tag {
                    back::READY => return Ok(()),
                    back::KEY_DATA => self.cancel_key = Some(wire::key_data(&message)?),
                    back::ERROR => {
                        return Err(ConnectionError::Refused {
                            sqlstate: wire::sqlstate(&message)?,
                        });
                    }
                    _ => {}
                }
            }
            self.progress(true).await?;
        }
    }

    /// Waits until the socket can send or receive, and does whichever is possible. Never returns when there
    /// is nothing to send and `may_read` is false. Safe to cancel.
    pub async fn progress(&mut self, may_read: bool) -> Result<(), ConnectionError> {
        let interest = match (may_read, !self.output.is_empty()) {
            (true, true) => Interest::READABLE | Interest::WRITABLE,
            (true, false) => Interest::READABLE,
            (false, true) => Interest::WRITABLE,
            (false, false) => return std::future::pending().await,
        };
        let ready = self.socket.ready(interest).await?;
        if ready.is_writable() && !self.output.is_empty() {
            self.send_some()?;
        }
        if ready.is_readable() && may_read {
            self.receive_some()?;
        }
        Ok(())
    }

    fn send_some(&mut self) -> Result<(), ConnectionError> {
        match self.socket.try_write(&self.output) {
            Ok(count) => {
                self.output.advance(count);
                self.sent_bytes += count;
                Ok(())
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    fn receive_some(&mut self) -> Result<(), ConnectionError> {
        self.input.reserve(READ_BYTES);
        match self.socket.try_read_buf(&mut self.input) {
            Ok(0) => Err(ConnectionError::Closed),
            Ok(_) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Returns the next complete message received, matched to the request that it answers.
    pub fn next_reply(&mut self) -> Result<Option<(RawMessage, Reply)>, ConnectionError> {
        let Some(message) = wire::split_message(&mut self.input)? else {
            return Ok(None);
        };
        let reply = self.tracker.match_reply(message.tag)?;
        Ok(Some((message, reply)))
    }

    /// Reports whether an idle connection is still open and has neither pending answers nor unexpected input.
    pub fn is_reusable(&mut self) -> bool {
        let has_no_pending =
            self.input.is_empty() && self.output.is_empty() && self.tracker.is_idle();
        has_no_pending && self.receive_some().is_ok() && self.input.is_empty()
    }

    /// Queues a simple query.
    pub fn queue_query(&mut self, text: &str) -> Result<(), ConnectionError> {
        wire::encode(&Query::new(text.to_owned()), &mut self.output)?;
        self.tracker.record_sent(Sent::Query);
        Ok(())
    }

    /// Runs a simple query of the owner itself and returns its rows as text.
    pub async fn query(
        &mut self,
        text: &str,
        timeout: Duration,
    ) -> Result<Vec<Vec<Option<String>>>, ConnectionError> {
        self.queue_query(text)?;
        let result = tokio::time::timeout(timeout, self.query_answer()).await;
        result.unwrap_or(Err(ConnectionError::TimedOut))
    }

    async fn query_answer(&mut self) -> Result<Vec<Vec<Option<String>>>, ConnectionError> {
        let mut rows = Vec::new();
        let mut error_sqlstate = None;
        loop {
            while let Some((message, reply)) = self.next_reply()? {
                match message.tag {
                    back::DATA_ROW => rows.push(wire::row_columns(&message)?),
                    back::ERROR => error_sqlstate = Some(wire::sqlstate(&message)?),
                    _ => {}
                }
                if reply.disposition == Disposition::Ready {
                    return error_sqlstate
                        .map_or(Ok(rows), |sqlstate| Err(ConnectionError::Refused { sqlstate }));
                }
            }
            self.progress(true).await?;
        }
    }

    /// Waits until every request sent is answered, and drops the answers. Returns whether the session is
    /// outside a transaction.
    pub async fn drain_replies(&mut self) -> Result<bool, ConnectionError> {
        let mut is_idle = false;
        loop {
            while let Some((message, reply)) = self.next_reply()? {
                if reply.disposition == Disposition::Ready {
                    let status = wire::ready_status(&message)?;
                    is_idle = status == pgwire::messages::response::TransactionStatus::Idle;
                    if self.tracker.is_idle() {
                        return Ok(is_idle);
                    }
                }
            }
            if self.tracker.is_idle() {
                return Ok(is_idle);
            }
            self.progress(true).await?;
        }
    }

    /// Returns the address and key for cancelling the statement that runs on this connection, if the back end
    /// gave a key.
    pub fn cancel_target(&self) -> Option<CancelTarget> {
        let key = self.cancel_key.as_ref()?;
        let request = CancelRequest::new(key.pid, key.secret_key.clone());
        Some(CancelTarget { address: self.address, request })
    }
}

/// Address and key for cancelling a statement.
#[derive(Debug)]
pub(crate) struct CancelTarget {
    address: SocketAddr,
    request: CancelRequest,
}

impl CancelTarget {
    /// Sends the cancel request and waits until the back end closes the connection or [`CONNECT_TIMEOUT`]
    /// passes.
    pub async fn send(self) -> Result<(), ConnectionError> {
        let mut buffer = BytesMut::new();
        self.request.encode(&mut buffer).map_err(WireError::from)?;
        let exchange = async {
            let mut socket = TcpStream::connect(self.address).await?;
            socket.write_all(&buffer).await?;
            // The back end closes the connection without an answer.
            socket.read_u8().await.ok();
            Ok(())
        };
        let result = tokio::time::timeout(CONNECT_TIMEOUT, exchange).await;
        result.unwrap_or(Err(ConnectionError::TimedOut))
    }
}
