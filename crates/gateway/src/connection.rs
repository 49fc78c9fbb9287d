//! A connection to a member, which carries one exchange at a time.
//!
//! The connection keeps its buffers, its profile (the session values and prepared statements that the member
//! holds for it), and whether an answer is outstanding. [`transport`](crate::transport) carries the bytes,
//! [`answer`](crate::answer) assembles whole answers.

use crate::answer::{Answer, AnswerReader, Failure};
use crate::byte_budget::ByteBudget;
use crate::error::LinkError;
use crate::transport::Transport;
use crate::tunnel::TunnelClient;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::{ConnectionProfile, SessionProfile};
use corktack_core::statement::{MemberRequest, OwnStatement, PreparedShape, Reply};
use corktack_core::tenancy::Principal;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Initial size of the buffers, in bytes; they grow with the messages. A smaller size costs allocations, a
/// larger one memory for each connection.
const INITIAL_BUFFER_BYTES: usize = 2 * 1024;

/// Size up to which a buffer is kept for the next exchange, and a profile on a connection that is not in use, in
/// bytes. Larger ones take memory on each connection of a pool; smaller ones are allocated or set again more
/// often.
const MAX_IDLE_BYTES: usize = 64 * 1024;

/// Outcome of statements that the gateway runs for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnOutcome {
    /// All statements were completed.
    Done,
    /// The member refused a statement; the first failure.
    Refused(Failure),
}

/// A connection to a member, with the session values and prepared statements that the member holds for it.
#[derive(Debug)]
pub(crate) struct MemberConnection<W: Wire> {
    wire: W,
    transport: Transport,
    input: BytesMut,
    output: BytesMut,
    profile: ConnectionProfile,
    /// Principal for which the connection was opened.
    principal: Principal,
    /// Memory that the profile takes, in bytes.
    profile_bytes: usize,
    /// Budget of the answers that arrive.
    answers: Rc<ByteBudget>,
    /// Set while an answer is outstanding: the connection may not be returned to the pool.
    awaits_answer: bool,
    /// Time of the member's last answer.
    answered_at: Instant,
}

impl<W: Wire> MemberConnection<W> {
    pub(crate) fn new(
        wire: W,
        transport: Transport,
        principal: Principal,
        answers: Rc<ByteBudget>,
    ) -> Self {
        Self {
            wire,
            transport,
            input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            output: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            profile: ConnectionProfile::default(),
            profile_bytes: 0,
            principal,
            answers,
            awaits_answer: false,
            answered_at: Instant::now(),
        }
    }

    /// Returns the principal for which the connection was opened: statements of other principals don't run
    /// on it.
    pub(crate) const fn principal(&self) -> &Principal {
        &self.principal
    }

    /// Returns the session values and prepared statements that the member holds for the connection.
    pub(crate) const fn profile(&self) -> &ConnectionProfile {
        &self.profile
    }

    /// Sets the profile of a connection that another gateway has used.
    pub(crate) fn set_profile(&mut self, profile: ConnectionProfile) {
        self.profile_bytes = profile.bytes();
        self.profile = profile;
    }

    /// Marks the state at the member as unknown.
    pub(crate) fn mark_unknown(&mut self) {
        self.profile.mark_unknown();
    }

    /// Records the effect of one of the gateway's own statements that the member completed.
    fn apply_completed(&mut self, statement: &OwnStatement) {
        self.profile.apply_completed(statement);
        self.profile_bytes = match statement {
            OwnStatement::Set { .. } | OwnStatement::Prepare { .. } | OwnStatement::Reset => {
                self.profile.bytes()
            }
            _ => self.profile_bytes,
        };
    }

    /// Frees what the buffers no longer need, and reports whether the connection takes little enough memory to
    /// be kept while it is not in use.
    pub(crate) fn shrink(&mut self) -> bool {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BYTES {
                *buffer = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
            }
        }
        self.profile_bytes <= MAX_IDLE_BYTES
    }

    /// Reports whether every request has been answered.
    pub(crate) const fn has_no_pending_answer(&self) -> bool {
        !self.awaits_answer
    }

    /// Returns the time of the member's last answer; on a new connection, the time of its creation.
    pub(crate) const fn answered_at(&self) -> Instant {
        self.answered_at
    }

    /// Reports whether the member closed the idle connection, or sent an unexpected message on it.
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
        self.awaits_answer = true;
        let answer = timeout_at(deadline, self.flush_and_read()).await;
        let answer = answer.map_err(|_| LinkError::TimedOut)??;
        self.awaits_answer = false;
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
        let mut reader = AnswerReader::new(&self.answers);
        loop {
            let reply = self.read_reply().await?;
            if let Some(answer) = reader.add(reply)? {
                self.answered_at = Instant::now();
                return Ok(answer);
            }
        }
    }

    /// Reads the next message of the member.
    pub(crate) async fn read_reply(&mut self) -> Result<Reply, LinkError> {
        let mut searched = 0;
        loop {
            if self.wire.is_decodable(&self.input, searched)
                && let Some(reply) = self.wire.decode_reply(&mut self.input)?
            {
                return Ok(reply);
            }
            searched = self.input.len();
            self.transport.read(&mut self.input).await?;
        }
    }

    /// Sends a message for which no whole answer is expected.
    pub(crate) async fn send(&mut self, request: &MemberRequest<'_>) -> Result<(), LinkError> {
        self.wire.encode_request(request, &mut self.output);
        self.flush().await
    }

    /// Runs one of the gateway's own statements and records its effect in the profile.
    pub(crate) async fn run_own(
        &mut self,
        statement: &OwnStatement,
        deadline: Instant,
    ) -> Result<Answer, LinkError> {
        let answer = self.exchange(&MemberRequest::Own(statement), deadline).await?;
        if answer.outcome.is_ok() {
            self.apply_completed(statement);
        }
        Ok(answer)
    }

    /// Sets exactly the session's values on the connection. The statements for this are sent together; the
    /// caller's statement is sent only after all of them were completed.
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
        self.awaits_answer = true;
        let aligned = timeout_at(deadline, self.read_alignment(&statements)).await;
        let refused = aligned.map_err(|_| LinkError::TimedOut)??;
        self.awaits_answer = false;
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
                Ok(_) => self.apply_completed(statement),
                Err(failure) => {
                    self.profile.mark_unknown();
                    refused = refused.or(Some(failure));
                }
            }
        }
        Ok(refused)
    }

    /// Prepares a shape at the member if it isn't prepared yet; returns the connection's name for it.
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

    /// Forwards bytes from another gateway without decoding them.
    pub(crate) async fn write_bytes(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        self.transport.write(bytes).await
    }

    /// Appends bytes from the member to `buffer` without decoding them.
    pub(crate) async fn read_bytes(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        self.transport.read(buffer).await
    }

    /// Returns the tunnel that the connection uses, with the connection's profile; none for a direct
    /// connection.
    pub(crate) fn into_tunnel(self) -> Option<(Box<TunnelClient>, ConnectionProfile)> {
        match self.transport {
            Transport::Tunnel(tunnel) => Some((tunnel, self.profile)),
            Transport::Direct(_) => None,
        }
    }

    /// Sends the message that ends the connection, as far as the socket takes it without waiting.
    pub(crate) fn terminate(mut self) {
        self.output.clear();
        self.wire.encode_request(&MemberRequest::Terminate, &mut self.output);
        self.transport.try_write(&self.output);
    }
}
