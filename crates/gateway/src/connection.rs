//! A connection to a member.
//!
//! It is for one exchange after the other with a member. It owns the buffers, what the member holds for the
//! connection (its profile) and whether an answer is outstanding. It relies on
//! [`transport`](crate::transport) for the bytes, on [`answer`](crate::answer) to tell when an answer is
//! whole, and on the wire for the messages.

use crate::answer::{Answer, AnswerReader, Failure};
use crate::error::LinkError;
use crate::transport::Transport;
use crate::tunnel::TunnelClient;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::{ConnectionProfile, SessionProfile};
use corktack_core::statement::{MemberRequest, OwnStatement, PreparedShape, Reply};
use corktack_core::tenancy::Principal;
use tokio::time::{Instant, timeout_at};

/// First size of the buffers, in bytes; they grow with what is sent. Chosen, not measured: lower costs
/// allocations, higher memory for each connection.
const BUFFER_BYTES: usize = 2 * 1024;

/// The outcome of statements of the product's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnOutcome {
    /// All were completed.
    Done,
    /// The member refused one.
    Refused(Failure),
}

/// A connection to a member, with what the member holds for it.
#[derive(Debug)]
pub(crate) struct MemberConnection<W: Wire> {
    wire: W,
    transport: Transport,
    input: BytesMut,
    output: BytesMut,
    pub(crate) profile: ConnectionProfile,
    /// On whose behalf it was opened.
    principal: Principal,
    /// Set while an answer is outstanding: the connection may not be used by another.
    unanswered: bool,
    /// When the member last answered.
    answered_at: Instant,
}

impl<W: Wire> MemberConnection<W> {
    pub(crate) fn new(wire: W, transport: Transport, principal: Principal) -> Self {
        Self {
            wire,
            transport,
            input: BytesMut::with_capacity(BUFFER_BYTES),
            output: BytesMut::with_capacity(BUFFER_BYTES),
            profile: ConnectionProfile::default(),
            principal,
            unanswered: false,
            answered_at: Instant::now(),
        }
    }

    /// On whose behalf it was opened: statements of others do not run on it.
    pub(crate) const fn principal(&self) -> &Principal {
        &self.principal
    }

    /// Whether every answer asked for has come.
    pub(crate) const fn is_settled(&self) -> bool {
        !self.unanswered
    }

    /// When the member last answered on it; a new connection was answered when it became ready.
    pub(crate) const fn answered_at(&self) -> Instant {
        self.answered_at
    }

    /// Whether the far end closed the connection, or sent something unasked, while it was idle.
    pub(crate) fn is_broken(&self) -> bool {
        self.transport.is_broken()
    }

    /// Sends a request and waits for the whole answer.
    pub(crate) async fn exchange(
        &mut self,
        request: &MemberRequest<'_>,
        deadline: Instant,
    ) -> Result<Answer, LinkError> {
        self.wire.encode_request(request, &mut self.output);
        self.unanswered = true;
        let answer = timeout_at(deadline, self.flush_and_read()).await;
        let answer = answer.map_err(|_| LinkError::TimedOut)??;
        self.unanswered = false;
        Ok(answer)
    }

    async fn flush_and_read(&mut self) -> Result<Answer, LinkError> {
        self.flush().await?;
        self.read_answer().await
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        let written = self.transport.write(&self.output).await;
        self.output.clear();
        written
    }

    async fn read_answer(&mut self) -> Result<Answer, LinkError> {
        let mut reader = AnswerReader::default();
        loop {
            let reply = self.read_reply().await?;
            if let Some(answer) = reader.take(reply)? {
                self.answered_at = Instant::now();
                return Ok(answer);
            }
        }
    }

    /// The next message of the member.
    pub(crate) async fn read_reply(&mut self) -> Result<Reply, LinkError> {
        loop {
            if let Some(reply) = self.wire.decode_reply(&mut self.input)? {
                return Ok(reply);
            }
            self.transport.read(&mut self.input).await?;
        }
    }

    /// Sends a message that is not answered by a whole answer.
    pub(crate) async fn send(&mut self, request: &MemberRequest<'_>) -> Result<(), LinkError> {
        self.wire.encode_request(request, &mut self.output);
        self.flush().await
    }

    /// Runs one statement of the product's own.
    pub(crate) async fn run_own(
        &mut self,
        statement: &OwnStatement,
        deadline: Instant,
    ) -> Result<Answer, LinkError> {
        let answer = self.exchange(&MemberRequest::Own(statement), deadline).await?;
        if answer.outcome.is_ok() {
            self.profile.completed(statement);
        }
        Ok(answer)
    }

    /// Brings the connection to exactly the session's values. The statements go out together and
    /// the caller's own statement only after all of them were completed.
    pub(crate) async fn align(
        &mut self,
        session: &SessionProfile,
        deadline: Instant,
    ) -> Result<OwnOutcome, LinkError> {
        let statements = self.profile.alignment(session);
        if statements.is_empty() {
            return Ok(OwnOutcome::Done);
        }
        for statement in &statements {
            self.wire.encode_request(&MemberRequest::Own(statement), &mut self.output);
        }
        self.unanswered = true;
        let aligned = timeout_at(deadline, self.read_alignment(&statements)).await;
        let refused = aligned.map_err(|_| LinkError::TimedOut)??;
        self.unanswered = false;
        Ok(refused.map_or(OwnOutcome::Done, OwnOutcome::Refused))
    }

    async fn read_alignment(
        &mut self,
        statements: &[OwnStatement],
    ) -> Result<Option<Failure>, LinkError> {
        self.flush().await?;
        let mut refused = None;
        for statement in statements {
            match self.read_answer().await?.outcome {
                Ok(_) => self.profile.completed(statement),
                Err(failure) => {
                    self.profile.mark_unknown();
                    refused = refused.or(Some(failure));
                }
            }
        }
        Ok(refused)
    }

    /// Makes sure that the member knows a shape; gives the connection's name for it.
    pub(crate) async fn prepare(
        &mut self,
        shape: &PreparedShape,
        deadline: Instant,
    ) -> Result<Result<String, Failure>, LinkError> {
        let (name, statement) = self.profile.name_for(shape);
        let Some(statement) = statement else { return Ok(Ok(name)) };
        let answer = self.run_own(&statement, deadline).await?;
        Ok(answer.outcome.map(|_| name))
    }

    /// Passes bytes of another gateway on, unread.
    pub(crate) async fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        self.transport.write(bytes).await
    }

    /// Appends what the member sends, unread.
    pub(crate) async fn read_bytes(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        self.transport.read(buffer).await
    }

    /// The tunnel that the connection goes through, with what the connection knows.
    pub(crate) fn into_tunnel(self) -> Option<(Box<TunnelClient>, ConnectionProfile)> {
        match self.transport {
            Transport::Tunnel(tunnel) => Some((tunnel, self.profile)),
            Transport::Direct(_) => None,
        }
    }

    /// Tells the member that the connection ends, as far as that works without waiting.
    pub(crate) fn terminate(mut self) {
        self.output.clear();
        self.wire.encode_request(&MemberRequest::Terminate, &mut self.output);
        self.transport.try_write(&self.output);
    }
}
