//! Outgoing connections: one to each other replica, with a bounded queue.
//!
//! Messages may be dropped here; the consensus core sends them again. The consensus thread decides which
//! replicas have a link.
//!
//! A link connects at once, retries with a growing delay (see [`Backoff`]), and retries at once when the
//! other replica connects to this one. The link closes its connection when sent messages stay
//! unacknowledged for [`ACK_TIMEOUT`], when a flush takes longer than [`SEND_TIMEOUT`], and when the
//! replica leaves the cell.

use super::message::PeerMessage;
use crate::backoff::Backoff;
use crate::metrics::Metrics;
use actix_rt::ArbiterHandle;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_protocol::cell::CellName;
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::liveness::Liveness;
use corktack_tasks::essential;
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

/// Messages that wait for one replica before further ones are dropped. The consensus core and the callers
/// of forwarded commands send again what stays unanswered. A shorter queue drops more messages behind slow
/// links; a longer one sends more stale messages.
const QUEUE_CAPACITY: usize = 256;
/// Longest wait for a connection. A machine without power does not answer, and the kernel would retransmit
/// the connection request only seconds after the machine came back. A shorter timeout fails on slow
/// links.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most acknowledgements read at once. Each is one byte, and one of them acknowledges all messages sent
/// so far. A smaller buffer reads more often.
const ACK_BUFFER_BYTES: usize = 64;
/// Longest wait for a flush, during which no acknowledgement is read. A shorter timeout cuts off slow
/// links; a longer one keeps a blocked connection for longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Initial and longest delay before a link connects again. Lower values dial unreachable machines more
/// often; higher ones delay the connection to a replica that came back.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The contents of this replica's hello messages, and the seed of the reconnect delays.
#[derive(Clone, Debug)]
pub(crate) struct LinkSettings {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    /// The disk id of this replica's data folder.
    pub(crate) disk: Incarnation,
    pub(crate) seed: u64,
}

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<PeerMessage>,
    /// Ends the back-off delay or hanging attempt, so that the link connects at once.
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

    /// Applies a changed cell: closes the links to replicas that left or changed their address, and
    /// opens links to new ones. Keeps the link to the leader: the cells that a replica passes through while
    /// it catches up may not contain the leader that it must answer.
    pub(crate) fn apply_cell(&mut self, cell: &CellConfig, leader: Option<ReplicaId>) {
        let members: Vec<CellMember> = cell.voters.iter().chain(&cell.learners).cloned().collect();
        self.links.retain(|id, link| match members.iter().find(|member| member.id == *id) {
            Some(member) => member.address == link.address,
            None => Some(*id) == leader,
        });
        self.connect(&members);
    }

    /// Opens a link to each of `members` that has none.
    pub(crate) fn connect(&mut self, members: &[CellMember]) {
        for member in members {
            if member.id != self.settings.replica && !self.links.contains_key(&member.id) {
                let link = self.open(member);
                self.links.insert(member.id, link);
            }
        }
    }

    /// Queues a message and reports whether it was queued: there must be a link, with room in its queue.
    pub(crate) fn send(&self, to: ReplicaId, message: PeerMessage) -> bool {
        let Some(link) = self.links.get(&to) else { return false };
        let queued = link.queue.try_send(message).is_ok();
        if !queued {
            self.metrics.cell_messages_dropped.inc();
        }
        queued
    }

    /// Makes the link to a replica that has just connected to this one connect at once. The next regular
    /// attempt may be more than an election timeout away.
    pub(crate) fn reconnect_now(&self, replica: ReplicaId) {
        if let Some(link) = self.links.get(&replica) {
            link.reachable.notify_one();
        }
    }

    fn open(&self, member: &CellMember) -> Link {
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        let address = member.address;
        let backoff = Backoff::new(
            INITIAL_BACKOFF,
            MAX_BACKOFF,
            self.settings.seed.wrapping_add(member.id.0),
        );
        let hello = self.hello(member.id);
        let reachable = Arc::new(Notify::new());
        let running = run_link(address, hello, messages, backoff, Arc::clone(&reachable));
        self.arbiter.spawn(essential("cell-link", running));
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

/// Keeps a connection to one replica open until the queue is closed.
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
            // An attempt that began before the replica was reachable may hang, so it is started again.
            () = reachable.notified() => connect(address, &hello).await,
            connected = connect(address, &hello) => connected,
        };
        if let Some(connection) = connected {
            backoff.reset();
            match send_all(connection, &mut messages).await {
                Ok(()) => return,
                Err(error) => {
                    log::info!(
                        address:% = address, error:% = error;
                        "connection to a replica lost, reconnecting"
                    );
                }
            }
        }
        let delay = backoff.next_delay();
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

/// Longest time that sent messages may stay unacknowledged. The receiver acknowledges what it reads within
/// a quarter of this time. TCP acknowledgements don't suffice: the kernel sends them for a process that
/// reads nothing, too. A shorter timeout replaces connections that are only slow; a longer one keeps
/// silent ones for longer.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link closes its connection.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the other replica closed the connection")]
    Closed,
    #[error("the other replica does not acknowledge messages")]
    Silent,
}

/// A connection that carries messages one way and one-byte acknowledgements the other way.
struct Connection {
    messages: FramedWrite<OwnedWriteHalf, FrameCodec<PeerMessage, PeerMessage>>,
    acks: OwnedReadHalf,
}

/// Returns a codec that compresses large frames: log entries with configuration documents can be an eighth
/// to a sixth of a deployment's bytes between regions. Every replica reads both forms.
fn link_codec() -> FrameCodec<PeerMessage, PeerMessage> {
    FrameCodec::compressing()
}

async fn connect(address: SocketAddr, hello: &PeerMessage) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    Liveness::WITHIN_DEPLOYMENT.apply(&stream).ok()?;
    let (acks, write_half) = stream.into_split();
    let mut messages = FramedWrite::new(write_half, link_codec());
    timeout(SEND_TIMEOUT, messages.send(hello.clone())).await.ok()?.ok()?;
    Some(Connection { messages, acks })
}

/// Sends the queued messages until the queue is closed (`Ok`) or the connection fails.
async fn send_all(
    mut connection: Connection,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), LinkError> {
    let mut unacked_since: Option<Instant> = None;
    let mut acks = [0; ACK_BUFFER_BYTES];
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                connection.messages.feed(message).await?;
                while let Ok(message) = queue.try_recv() {
                    connection.messages.feed(message).await?;
                }
                connection.flush().await?;
                unacked_since.get_or_insert_with(Instant::now);
            }
            read = connection.acks.read(&mut acks) => match read {
                Ok(1..) => unacked_since = None,
                _ => return Err(LinkError::Closed),
            },
            () = ack_timeout(unacked_since) => return Err(LinkError::Silent),
        }
    }
}

/// Resolves [`ACK_TIMEOUT`] after the oldest unacknowledged message; never if all are acknowledged.
async fn ack_timeout(unacked_since: Option<Instant>) {
    match unacked_since {
        Some(since) => sleep_until(since + ACK_TIMEOUT).await,
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

/// Waits for `delay` and drops the messages queued meanwhile, which would arrive stale.
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
