//! One proxy's connection: proves that the replica is current, then sends deltas, acknowledgements, the
//! cell and grants.
//!
//! Owns the proxy's place in the feed. Relies on the feed for what is sent next, on the proofs for what
//! heartbeats are acknowledged with, and on the table, which knows the proxy's newest connection.
//!
//! Whether a replica serves a proxy at all is decided in [`Connection::prove_and_catch_up`], by the
//! cell that the replica knows, the time since when it knows no leader ([`ELECTION_PATIENCE`]) and the
//! proof. A connection ends when the proxy sends nothing for `heartbeat_timeout`, or takes nothing for
//! [`SEND_TIMEOUT`].

use super::connection_error::ConnectionError;
use super::hello::{First, Reader, answer_joiner, receive_hello};
use super::server::{ProxyServer, SEND_TIMEOUT};
use super::table::{ConnectionId, HeartbeatReport};
use crate::consensus::{ConsensusInput, ReplicaStatus};
use crate::feed::{FeedStep, SnapshotFrame, encode_frame};
use bytes::Bytes;
use corktack_core::consensus::CellConfig;
use corktack_core::identity::ProxyName;
use corktack_core::limits::AllowanceGrant;
use corktack_core::position::Term;
use corktack_core::watch::WatchCursor;
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::liveness::Liveness;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, timeout_at};
use tokio_util::codec::FramedRead;

/// How long a replica without a leader keeps proxies that come: an election or two. One that is cut
/// off from the others is left at once: where replicas of a minority kept a gateway for 1.5 s each, it
/// served an old configuration for 3.8 s in a simulated cut.
const ELECTION_PATIENCE: Duration = Duration::from_millis(800);
/// Heartbeats that may wait for their proof; more of them break the protocol. Chosen, not measured; a lower
/// value cuts off proxies that report many observations while a proof is slow, a higher one keeps more of
/// their acknowledgements in memory.
const WAITING_HEARTBEATS: usize = 64;

/// Serves a proxy until it goes, fails or the replica stops.
pub(crate) async fn serve_proxy(stream: TcpStream, id: ConnectionId, server: ProxyServer) {
    // The options only save time: a connection without them still works.
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let (read_half, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read_half, FrameCodec::default());
    let (identity, revision) = match receive_hello(&mut reader).await {
        Ok(First::Proxy(identity, revision)) => (identity, revision),
        Ok(First::Joiner(member)) => return answer_joiner(member, write_half, &server).await,
        Err(_) => return,
    };
    let proxy = identity.proxy.clone();
    let (outlet, grants) = mpsc::unbounded_channel();
    server.table.connect(id, identity, revision, outlet);
    server.metrics.proxies_connected.inc();
    let cursor = WatchCursor::new(revision);
    let mut connection = Connection { id, proxy, reader, write_half, cursor, grants, server };
    let ended = connection.run_until_stopped().await;
    connection.server.table.disconnect(id, &connection.proxy);
    connection.server.metrics.proxies_connected.dec();
    if let Err(error) = ended {
        log::debug!(proxy = connection.proxy.as_str(), error:% = error; "proxy disconnected");
    }
}

/// What a proxy was sent of the cell.
#[derive(Default)]
struct SentStatus {
    cell: CellConfig,
    /// Term of the leader.
    led: Option<Term>,
}

impl SentStatus {
    fn of(status: &ReplicaStatus) -> Self {
        Self { cell: status.cell.clone(), led: status.leader.map(|_| status.term) }
    }
}

/// The answer to a heartbeat, once its proof is there. Without one the replica does not count as current.
async fn acknowledge(sequence: u64, proof: oneshot::Receiver<bool>) -> ControlMessage {
    ControlMessage::HeartbeatAck { sequence, current: proof.await.unwrap_or(false) }
}

struct Connection {
    id: ConnectionId,
    proxy: ProxyName,
    reader: Reader,
    write_half: OwnedWriteHalf,
    cursor: WatchCursor,
    grants: mpsc::UnboundedReceiver<AllowanceGrant>,
    server: ProxyServer,
}

impl Connection {
    async fn run_until_stopped(&mut self) -> Result<(), ConnectionError> {
        let stop = self.server.stop.clone();
        tokio::select! {
            ended = self.run() => ended,
            () = stop.stopped() => Ok(()),
        }
    }

    async fn run(&mut self) -> Result<(), ConnectionError> {
        let mut feed = self.server.feed.subscribe();
        let mut status = self.server.status.clone();
        self.prove_and_catch_up().await?;
        let mut sent = self.send_status(&mut status, SentStatus::default()).await?;
        let mut acknowledgements = FuturesOrdered::new();
        loop {
            tokio::select! {
                message = timeout(self.server.heartbeat_timeout, self.reader.next()) => {
                    let message = message.map_err(|_| ConnectionError::Silent)?;
                    let Some(sequence) = self.take_message(message)? else { continue };
                    if acknowledgements.len() >= WAITING_HEARTBEATS {
                        return Err(ConnectionError::TooManyHeartbeats);
                    }
                    let proof = self.server.proofs.request();
                    acknowledgements.push_back(acknowledge(sequence, proof));
                }
                Some(acknowledgement) = acknowledgements.next() => {
                    // A proof covers what was committed before it: deltas go first, so
                    // that a proxy which is acknowledged as current has been sent everything.
                    self.send_deltas().await?;
                    self.send(&encode_frame(acknowledgement)?).await?;
                }
                changed = status.changed() => {
                    changed.map_err(|_| ConnectionError::Closed)?;
                    sent = self.send_status(&mut status, sent).await?;
                }
                Some(grant) = self.grants.recv() => {
                    self.send(&encode_frame(ControlMessage::Allowances(grant))?).await?;
                }
                changed = feed.changed() => {
                    changed.map_err(|_| ConnectionError::Closed)?;
                    self.send_deltas().await?;
                }
            }
        }
    }

    /// Nothing is sent before the proof: a replica that was cut off must not hand
    /// an old configuration to a proxy that has none.
    async fn prove_and_catch_up(&mut self) -> Result<(), ConnectionError> {
        // A replica that waits to be added has nothing to prove: another one serves sooner.
        if self.server.status.borrow().cell.voters.is_empty() {
            return Err(ConnectionError::Outside);
        }
        self.until_led().await?;
        let from = self.cursor.sent();
        // One proof serves both: the next one would cost another round trip over regions.
        let (newest, whole) = self
            .server
            .consensus
            .read(move |reader| (reader.feed.newest(), reader.snapshot_for(from)))
            .await?;
        if from > newest {
            return Err(ConnectionError::UnknownRevision(from));
        }
        if let Some(snapshot) = whole {
            self.send_whole(&snapshot?).await?;
        }
        self.send_deltas().await
    }

    /// Waits while the cell elects a leader: a proof requested meanwhile is refused, and the pause
    /// before the next request of it grows.
    async fn until_led(&self) -> Result<(), ConnectionError> {
        let mut status = self.server.status.clone();
        let leaderless_since = status.borrow().leaderless_since;
        let Some(since) = leaderless_since else { return Ok(()) };
        let led = status.wait_for(|status| status.leader.is_some());
        match timeout_at((since + ELECTION_PATIENCE).into(), led).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(ConnectionError::Closed),
            Err(_) => Err(ConnectionError::Leaderless),
        }
    }

    /// Takes a message; gives the sequence of a heartbeat, which is to be acknowledged.
    fn take_message(
        &self,
        message: Option<Result<ProxyMessage, FrameError>>,
    ) -> Result<Option<u64>, ConnectionError> {
        match message.ok_or(ConnectionError::Closed)?? {
            ProxyMessage::Heartbeat { sequence, revision, draining, observations } => {
                let report = HeartbeatReport { revision, draining, observations };
                self.note_heartbeat(report)?;
                Ok(Some(sequence))
            }
            ProxyMessage::Allowances(report) if report.gateway == self.proxy => {
                self.server.consensus.send(ConsensusInput::Allowances(report))?;
                Ok(None)
            }
            _ => Err(ConnectionError::OutOfPlace),
        }
    }

    fn note_heartbeat(&self, report: HeartbeatReport) -> Result<(), ConnectionError> {
        match self.server.table.heartbeat(self.id, &self.proxy, report) {
            true => Ok(()),
            false => Err(ConnectionError::Replaced),
        }
    }

    /// Sends the proxy which replicas there are and in which term one leads, as far as that changed;
    /// returns what it was sent.
    async fn send_status(
        &mut self,
        status: &mut watch::Receiver<ReplicaStatus>,
        sent: SentStatus,
    ) -> Result<SentStatus, ConnectionError> {
        let now = SentStatus::of(&status.borrow_and_update());
        if now.cell != sent.cell {
            self.send(&encode_frame(ControlMessage::Cell(now.cell.clone()))?).await?;
        }
        let Some(term) = now.led else { return Ok(SentStatus { led: sent.led, ..now }) };
        if sent.led != now.led {
            self.send(&encode_frame(ControlMessage::Led { term })?).await?;
        }
        Ok(now)
    }

    /// Sends what was applied since the last time, in order and without gaps.
    async fn send_deltas(&mut self) -> Result<(), ConnectionError> {
        loop {
            match self.server.feed.advance(&mut self.cursor)? {
                FeedStep::UpToDate => return Ok(()),
                FeedStep::Frames(frames) => {
                    for frame in frames {
                        self.send(&frame).await?;
                    }
                }
                FeedStep::Snapshot => self.send_snapshot().await?,
            }
        }
    }

    async fn send_snapshot(&mut self) -> Result<(), ConnectionError> {
        let snapshot = self.server.consensus.read(|reader| reader.snapshot_frame()).await??;
        self.send_whole(&snapshot).await
    }

    async fn send_whole(&mut self, snapshot: &SnapshotFrame) -> Result<(), ConnectionError> {
        self.send(&snapshot.frame).await?;
        self.server.metrics.proxy_snapshots.inc();
        self.cursor.snapshot_sent(snapshot.revision);
        Ok(())
    }

    async fn send(&mut self, frame: &Bytes) -> Result<(), ConnectionError> {
        let written = timeout(SEND_TIMEOUT, self.write_half.write_all(frame)).await;
        written.map_err(|_| ConnectionError::Slow)?.map_err(FrameError::Io)?;
        self.server.metrics.proxy_bytes_sent.inc_by(frame.len() as u64);
        Ok(())
    }
}
