//! Connection of a caller: its buffers, and the memory that they take.
//!
//! Buffers above [`FREE_BUFFER_BYTES`] are accounted for with the caller's [`Client`], before they grow and for
//! as long as they are kept. When memory runs short, the clients decide whose connection is closed.

use crate::wire::Wire;
use bytes::{Buf, BytesMut};
use corktack_clients::{Client, OutOfMemory};
use corktack_core::clients::ClientPhase;
use corktack_core::statement::{CallerMessage, Reply};
use futures_util::FutureExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Initial size of the buffers, in bytes; they grow with the messages. A smaller size costs allocations, a
/// larger one memory for each session.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// Size up to which a buffer is kept for the next message and not accounted for, in bytes: the number of
/// connections bounds the memory of small buffers. A larger size takes more memory for each session; a smaller
/// one accounts for ordinary messages.
const FREE_BUFFER_BYTES: usize = 4 * 1024;
/// Sizes of a buffer that grows, in bytes; larger ones are doubled.
const BUFFER_STEPS: [usize; 4] = [INITIAL_BUFFER_BYTES, FREE_BUFFER_BYTES, 16 * 1024, 128 * 1024];
/// Most bytes that are read at once: what a caller has to wait for by the pace follows from it.
const MAX_READ_BYTES: u64 = 64 * 1024;
/// Number of reads up to which a message is not paced: one for each of its parts, and some.
const MAX_FREE_PIECES: u32 = 16;
/// Number of messages in a row that a caller may send without waiting for answers, and be served like others:
/// more than a transaction has statements.
const MAX_SENT_AHEAD: u32 = 16;
/// Copies of a message and of the session's values that exist at the same time while a statement is run: as
/// parts of the statement, and encoded for a member or another gateway, in buffers that grow by doubling.
const WORK_COPIES: usize = 6;
/// Longest time in which a caller reads nothing of an answer. Bounds how long a caller that reads nothing keeps
/// its session.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait, after the end of a session, until the caller closes its side. A shorter one resets the
/// connection of a distant caller before it has read its last answer; a longer one lengthens a planned stop.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Most bytes that are read and dropped after the end of a session, so that the caller gets the last answer.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Reason why no message of a caller can be received, or no answer sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerError {
    /// The caller closed the connection, or it failed or timed out.
    Gone,
    /// The caller sent bytes that are no message of the protocol.
    Wire,
    /// There is no memory for the message that the caller has begun.
    MemoryShort,
}

/// A message of a caller.
pub(super) struct Received {
    pub(super) message: CallerMessage,
    /// Whether there is memory to run the message.
    pub(super) has_memory: bool,
}

/// Connection of a caller, with its buffers.
pub(super) struct CallerConnection<W: Wire> {
    stream: TcpStream,
    wire: W,
    client: Rc<Client>,
    input: BytesMut,
    /// Number of bytes at the start of `input` that hold no whole message.
    searched: usize,
    output: BytesMut,
    /// Number of reads since the last message.
    pieces: u32,
    /// Memory that the session's state takes, in bytes.
    session_bytes: usize,
    /// Number of messages in a row that had arrived before the answer to the one before was sent.
    sent_ahead: u32,
}

impl<W: Wire> CallerConnection<W> {
    pub(super) fn new(stream: TcpStream, wire: W, client: Rc<Client>) -> Self {
        Self {
            stream,
            wire,
            client,
            input: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            searched: 0,
            output: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            pieces: 0,
            session_bytes: 0,
            sent_ahead: 0,
        }
    }

    /// Reports whether a part of the next message has arrived, or the whole of it.
    pub(super) fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Records that an answer was sent, and whether the next message is there already.
    pub(super) fn record_answered(&mut self) {
        if !self.has_input() {
            self.sent_ahead = 0;
        } else if self.wire.is_decodable(&self.input, self.searched) {
            self.sent_ahead += 1;
        }
    }

    /// Reports whether the caller sends many messages without waiting for answers.
    pub(super) const fn sends_ahead(&self) -> bool {
        self.sent_ahead > MAX_SENT_AHEAD
    }

    /// Waits for the next message. Dropping the future loses no bytes.
    pub(super) async fn receive(
        &mut self,
        receiving: ClientPhase,
    ) -> Result<Received, CallerError> {
        while !self.wire.is_decodable(&self.input, self.searched) {
            self.searched = self.input.len();
            if self.has_input() {
                self.client.enter(receiving);
            }
            self.make_room().await?;
            self.read().await?;
        }
        let has_memory = self.begin_work().await.is_ok();
        Ok(Received { message: self.decode()?, has_memory })
    }

    /// Reads some bytes, and pauses if they belong to a large message or come in many pieces.
    async fn read(&mut self) -> Result<(), CallerError> {
        let read = (&mut self.stream).take(MAX_READ_BYTES).read_buf(&mut self.input).await;
        let bytes = read.ok().filter(|bytes| *bytes > 0).ok_or(CallerError::Gone)?;
        self.pieces += 1;
        if self.input.len() > FREE_BUFFER_BYTES || self.pieces > MAX_FREE_PIECES {
            self.client.pace(bytes).await;
        }
        Ok(())
    }

    /// Removes the next message, which is whole, from the input.
    fn decode(&mut self) -> Result<CallerMessage, CallerError> {
        self.searched = 0;
        self.pieces = 0;
        let message = self.wire.decode_caller(&mut self.input).map_err(|error| {
            log::info!(error:% = error; "cannot decode a caller's message");
            CallerError::Wire
        })?;
        free_unused(&mut self.input);
        message.ok_or(CallerError::Wire)
    }

    /// Enlarges the input buffer if it is full, once there is memory for it.
    async fn make_room(&mut self) -> Result<(), CallerError> {
        let length = self.input.len();
        if length < self.input.capacity() {
            return Ok(());
        }
        let enlarged = next_buffer_size(length);
        let held = self.client.hold(accounted(enlarged) + self.session_memory()).await;
        held.map_err(|OutOfMemory| CallerError::MemoryShort)?;
        self.input.reserve(enlarged - length);
        Ok(())
    }

    /// Holds memory for an answer. Without it the connection ends, as nothing may be sent in place of the answer
    /// to a statement that may have run.
    async fn hold_for_answer(&self, bytes: usize) -> Result<(), CallerError> {
        self.client.hold(bytes).await.map_err(|OutOfMemory| CallerError::Gone)
    }

    /// Returns the memory for the session's state at rest: in the session, and on a connection to a member.
    const fn session_memory(&self) -> usize {
        accounted(2 * self.session_bytes)
    }

    /// Returns the memory for the buffers and the session's state at rest.
    fn memory_at_rest(&self) -> usize {
        let buffers = accounted(self.input.capacity()) + accounted(self.output.capacity());
        buffers + self.session_memory()
    }

    /// Accounts for the message at the start of the input, which is whole, while the gateway works on it.
    ///
    /// # Errors
    /// [`OutOfMemory`] if there is no memory for the message, which is not to be run then.
    async fn begin_work(&self) -> Result<(), OutOfMemory> {
        self.client.enter(ClientPhase::Working);
        let work = accounted(self.input.len() + self.session_bytes) * WORK_COPIES;
        self.client.hold(self.memory_at_rest() + work).await
    }

    /// Accounts for the session's state from now on, and no longer for the last message.
    pub(super) async fn end_work(&mut self, session_bytes: usize) -> Result<(), CallerError> {
        self.session_bytes = session_bytes;
        self.hold_for_answer(self.memory_at_rest()).await
    }

    /// Appends a message to those that [`CallerConnection::send`] sends.
    pub(super) fn queue(&mut self, reply: &Reply) {
        self.wire.encode_reply(reply, &mut self.output);
    }

    /// Appends messages to those that [`CallerConnection::send`] sends.
    pub(super) fn queue_with(&mut self, encode: impl FnOnce(&W, &mut BytesMut)) {
        encode(&self.wire, &mut self.output);
    }

    /// Sends the queued messages.
    pub(super) async fn send(&mut self) -> Result<(), CallerError> {
        let memory = self.memory_at_rest();
        while !self.output.is_empty() {
            let sent = match self.stream.write(&self.output).now_or_never() {
                Some(sent) => sent,
                None => self.send_when_read(memory).await?,
            };
            match sent {
                Ok(0) | Err(_) => return Err(CallerError::Gone),
                Ok(sent) => self.output.advance(sent),
            }
        }
        free_unused(&mut self.output);
        if self.client.held() > self.session_memory() {
            self.hold_for_answer(self.memory_at_rest()).await?;
        }
        Ok(())
    }

    /// Sends some of the queued messages once the caller has read earlier ones.
    async fn send_when_read(
        &mut self,
        memory: usize,
    ) -> Result<std::io::Result<usize>, CallerError> {
        self.client.enter(ClientPhase::Sending);
        self.hold_for_answer(memory).await?;
        let sending = self.stream.write(&self.output);
        timeout_at(Instant::now() + SEND_TIMEOUT, sending).await.map_err(|_| CallerError::Gone)
    }

    /// Reports whether a message was sent in part: no other one may follow.
    pub(super) fn is_sending(&self) -> bool {
        !self.output.is_empty()
    }

    /// Drops what was received and not decoded, and the memory for it.
    pub(super) fn discard_input(&mut self) {
        self.input = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
        self.searched = 0;
        self.client.release();
    }

    /// Closes the connection once the caller has closed its side, or after [`CLOSE_TIMEOUT`]. Closing with
    /// unread bytes would reset the connection, and the caller could lose its last answer.
    pub(super) async fn close(&mut self) {
        self.discard_input();
        let closing = async {
            self.stream.shutdown().await?;
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                self.input.clear();
                match self.stream.read_buf(&mut self.input).await? {
                    0 => break,
                    bytes => discarded += bytes,
                }
            }
            std::io::Result::Ok(())
        };
        // The connection ends in any case.
        drop(timeout_at(Instant::now() + CLOSE_TIMEOUT, closing).await);
    }
}

/// Returns the size of a buffer that is to hold more than `length` bytes. From the last step on, the allocator maps
/// a buffer by itself, so that it leaves no gap in the heap.
fn next_buffer_size(length: usize) -> usize {
    let step = BUFFER_STEPS.into_iter().find(|step| *step > length);
    step.unwrap_or(2 * length)
}

/// Replaces an empty buffer that has grown.
fn free_unused(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > FREE_BUFFER_BYTES {
        *buffer = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
    }
}

/// Returns the bytes that a buffer of this capacity is accounted for with.
const fn accounted(capacity: usize) -> usize {
    if capacity > FREE_BUFFER_BYTES { capacity } else { 0 }
}
