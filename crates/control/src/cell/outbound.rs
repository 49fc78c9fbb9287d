//! Outgoing connections: one to each other replica, with a bounded queue.
//!
//! Owns the links. Relies on the consensus thread for which replicas there are, and on the core to send
//! again what is dropped here.
//!
//! A connection is opened at once, then after growing pauses (see [`Backoff`]), and at once again when the
//! other replica connects. It is given up when what was sent stays unanswered for [`SILENCE_LIMIT`], when
//! a flush takes longer than [`SEND_TIMEOUT`], and when the replica leaves the cell.

use super::message::PeerMessage;
use crate::backoff::Backoff;
use crate::metrics::Metrics;
use actix_rt::ArbiterHandle;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_protocol::cell::CellName;
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::liveness::Liveness;
use futures_util::SinkExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedWrite;

/// Messages that wait for one replica before further ones are dropped. The
/// consensus core sends again what it gets no answer to, and so do callers of
/// forwarded commands. Chosen, not measured; a lower value drops more behind slow links, a higher one
/// sends more that is stale.
const QUEUE_MESSAGES: usize = 256;
/// Longest wait for a connection: a machine without power answers nothing, and its first packet
/// after it came back would be sent again only after seconds. Chosen, not measured by itself; a lower value
/// gives up on slow links.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes of answers taken at once: one answer is one byte, and all that wait mean the same. Chosen, not
/// measured; a lower value reads more often.
const ANSWER_BUFFER: usize = 64;
/// Longest wait for a flush; no answer is read meanwhile. Chosen, not measured; a lower value cuts off slow
/// links, a higher one keeps a connection that takes nothing for longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// First and longest pause before a link is opened again. Chosen, not measured; lower values dial machines
/// that are gone more often, higher ones add to the time until a replica that came back is reached.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
const BACKOFF_LAST: Duration = Duration::from_secs(1);

/// Who this replica is, as its connections begin.
#[derive(Clone, Debug)]
pub(crate) struct LinkSettings {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    /// Id of this replica's data folder, which is drawn anew with each disk.
    pub(crate) disk: Incarnation,
    pub(crate) seed: u64,
}

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<PeerMessage>,
    /// Ends the wait before the next attempt to connect.
    reachable: Arc<Notify>,
}

/// The outgoing connections of a replica.
pub(crate) struct Links {
    settings: LinkSettings,
    arbiter: ArbiterHandle,
    metrics: Metrics,
    links: HashMap<ReplicaId, Link>,
}

impl Links {
    pub(crate) fn new(settings: LinkSettings, arbiter: ArbiterHandle, metrics: Metrics) -> Self {
        Self { settings, arbiter, metrics, links: HashMap::new() }
    }

    /// Follows a change of the cell. Replicas that left keep no connection.
    pub(crate) fn follow(&mut self, cell: &CellConfig) {
        let members: Vec<CellMember> = cell.voters.iter().chain(&cell.learners).cloned().collect();
        self.links.retain(|id, link| {
            members.iter().any(|member| member.id == *id && member.address == link.address)
        });
        self.connect(&members);
    }

    /// Opens a connection to each of `members` that has none.
    pub(crate) fn connect(&mut self, members: &[CellMember]) {
        for member in members {
            if member.id != self.settings.replica && !self.links.contains_key(&member.id) {
                let link = self.open(member);
                self.links.insert(member.id, link);
            }
        }
    }

    /// Queues a message; gives whether there was room.
    pub(crate) fn send(&self, to: ReplicaId, message: PeerMessage) -> bool {
        let Some(link) = self.links.get(&to) else { return false };
        let queued = link.queue.try_send(message).is_ok();
        if !queued {
            self.metrics.cell_messages_dropped.inc();
        }
        queued
    }

    /// A replica has connected, so it can be reached: its link need not wait for its
    /// next attempt, which may be longer than an election timeout away.
    pub(crate) fn note_reachable(&self, replica: ReplicaId) {
        if let Some(link) = self.links.get(&replica) {
            link.reachable.notify_one();
        }
    }

    fn open(&self, member: &CellMember) -> Link {
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let address = member.address;
        let backoff =
            Backoff::new(BACKOFF_FIRST, BACKOFF_LAST, self.settings.seed.wrapping_add(member.id.0));
        let hello = self.hello(member.id);
        let reachable = Arc::new(Notify::new());
        self.arbiter.spawn(run_link(address, hello, messages, backoff, Arc::clone(&reachable)));
        Link { address, queue, reachable }
    }

    fn hello(&self, receiver: ReplicaId) -> PeerMessage {
        PeerMessage::Hello {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            incarnation: self.settings.disk,
            receiver,
        }
    }
}

/// Keeps one connection open until the queue is closed.
async fn run_link(
    address: SocketAddr,
    hello: PeerMessage,
    mut messages: mpsc::Receiver<PeerMessage>,
    mut backoff: Backoff,
    reachable: Arc<Notify>,
) {
    loop {
        let connected = tokio::select! {
            biased;
            // An attempt from before the replica could be reached may hang for long.
            () = reachable.notified() => connect(address, &hello).await,
            connected = connect(address, &hello) => connected,
        };
        if let Some(connection) = connected {
            backoff.reset();
            match send_all(connection, &mut messages).await {
                Ok(()) => return,
                Err(error) => {
                    log::info!(address:% = address, error:% = error; "link to a replica lost");
                }
            }
        }
        let delay = backoff.next();
        let closed = tokio::select! {
            biased;
            () = reachable.notified() => false,
            waited = wait_disconnected(&mut messages, delay) => waited.is_err(),
        };
        if closed {
            return;
        }
    }
}

/// How long what was sent may stay unanswered: the far end answers what it reads within
/// a quarter of that, also where its kernel would acknowledge for a process that takes nothing. Chosen, not
/// measured; a lower value opens links anew that are only slow, a higher one keeps silent ones for longer.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Why a connection is given up.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the other replica closed the connection")]
    Closed,
    #[error("the other replica does not answer what it is sent")]
    Silent,
}

/// A connection: messages go one way, and single bytes come back for what was read.
struct Connection {
    messages: FramedWrite<OwnedWriteHalf, FrameCodec<PeerMessage, PeerMessage>>,
    answers: OwnedReadHalf,
}

/// Packs what is large: log entries with documents were an eighth to a sixth of the bytes between the regions of
/// a deployment on days with many documents. Every replica reads both forms.
fn link_codec() -> FrameCodec<PeerMessage, PeerMessage> {
    FrameCodec::compressing()
}

async fn connect(address: SocketAddr, hello: &PeerMessage) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    Liveness::WITHIN_DEPLOYMENT.apply(&stream).ok()?;
    let (answers, write_half) = stream.into_split();
    let mut messages = FramedWrite::new(write_half, link_codec());
    timeout(SEND_TIMEOUT, messages.send(hello.clone())).await.ok()?.ok()?;
    Some(Connection { messages, answers })
}

/// Sends until the queue is closed (`Ok`) or the connection fails.
async fn send_all(
    mut connection: Connection,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), LinkError> {
    let mut unanswered_since: Option<Instant> = None;
    let mut answers = [0; ANSWER_BUFFER];
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                connection.messages.feed(message).await?;
                while let Ok(message) = queue.try_recv() {
                    connection.messages.feed(message).await?;
                }
                connection.flush().await?;
                unanswered_since.get_or_insert_with(Instant::now);
            }
            read = connection.answers.read(&mut answers) => match read {
                Ok(1..) => unanswered_since = None,
                _ => return Err(LinkError::Closed),
            },
            () = silence(unanswered_since) => return Err(LinkError::Silent),
        }
    }
}

/// Ends once something has been unanswered for too long.
async fn silence(unanswered_since: Option<Instant>) {
    match unanswered_since {
        Some(since) => sleep_until(since + SILENCE_LIMIT).await,
        None => std::future::pending().await,
    }
}

impl Connection {
    async fn flush(&mut self) -> Result<(), FrameError> {
        match timeout(SEND_TIMEOUT, self.messages.flush()).await {
            Ok(result) => result,
            Err(_) => Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())),
        }
    }
}

struct QueueClosed;

/// Drops what is queued while there is no connection: it would arrive stale.
async fn wait_disconnected(
    messages: &mut mpsc::Receiver<PeerMessage>,
    delay: Duration,
) -> Result<(), QueueClosed> {
    let drain = async {
        while messages.recv().await.is_some() {}
        QueueClosed
    };
    match timeout(delay, drain).await {
        Ok(closed) => Err(closed),
        Err(_) => Ok(()),
    }
}
