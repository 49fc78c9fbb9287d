//! Connection of one proxy: sends the view, deltas, acknowledgements of heartbeats, the cell and grants.
//!
//! The connection holds the proxy's position in the feed. The table records which connection of a proxy is
//! the newest.
//!
//! [`Connection::confirm_and_catch_up`] decides whether the replica serves the proxy at all: the replica must
//! belong to a cell, must know a leader within [`LEADERLESS_GRACE`] of losing the last one, and must confirm
//! that it is current. A connection ends when the proxy sends nothing for `heartbeat_timeout`, or accepts no
//! data for [`SEND_TIMEOUT`].

use super::connection_error::ConnectionError;
use super::hello::{FirstMessage, MessageReader, answer_join_request, receive_hello};
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

/// How long a replica without a leader keeps a connecting proxy waiting: enough for one or two elections. A
/// replica that has been without a leader for longer is probably cut off and refuses the proxy at once. When
/// the replicas of a minority kept a gateway waiting for 1.5 s each, the gateway served an old configuration
/// for 3.8 s in a simulated network cut.
const LEADERLESS_GRACE: Duration = Duration::from_millis(800);
/// Largest number of unacknowledged heartbeats of a proxy; one more is a protocol error. A lower limit
/// disconnects proxies that report many observations while a confirmation is slow; a higher limit keeps more
/// pending acknowledgements in memory.
const MAX_UNACKNOWLEDGED_HEARTBEATS: usize = 64;

/// Serves a proxy until the connection closes or fails, or the replica stops.
pub(crate) async fn serve_proxy(stream: TcpStream, id: ConnectionId, server: ProxyServer) {
    // Without the socket options the connection works, but is slower and notices a lost peer later.
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let (read_half, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read_half, FrameCodec::default());
    let (identity, revision) = match receive_hello(&mut reader).await {
        Ok(FirstMessage::Hello(identity, revision)) => (identity, revision),
        Ok(FirstMessage::JoinRequest(member)) => {
            return answer_join_request(member, write_half, &server).await;
        }
        Err(_) => return,
    };
    let proxy = identity.proxy.clone();
    let (grant_sender, grants) = mpsc::unbounded_channel();
    server.table.connect(id, identity, revision, grant_sender);
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

/// The cell and the leader's term, as last sent to a proxy.
#[derive(Default)]
struct SentStatus {
    cell: CellConfig,
    /// Term of the leader, if one is known.
    leader_term: Option<Term>,
}

impl SentStatus {
    fn from_status(status: &ReplicaStatus) -> Self {
        Self { cell: status.cell.clone(), leader_term: status.leader.map(|_| status.term) }
    }
}

/// Waits for the confirmation that the replica is current and builds the acknowledgement of a heartbeat. If
/// the confirmation is dropped, the acknowledgement says that the replica is not current.
async fn acknowledge_heartbeat(
    sequence: u64,
    confirmed: oneshot::Receiver<bool>,
) -> ControlMessage {
    ControlMessage::HeartbeatAck { sequence, current: confirmed.await.unwrap_or(false) }
}

struct Connection {
    id: ConnectionId,
    proxy: ProxyName,
    reader: MessageReader,
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
        self.confirm_and_catch_up().await?;
        let mut sent = self.send_status(&mut status, SentStatus::default()).await?;
        let mut acknowledgements = FuturesOrdered::new();
        loop {
            tokio::select! {
                message = timeout(self.server.heartbeat_timeout, self.reader.next()) => {
                    let message = message.map_err(|_| ConnectionError::ReceiveTimeout)?;
                    let Some(sequence) = self.apply_message(message)? else { continue };
                    if acknowledgements.len() >= MAX_UNACKNOWLEDGED_HEARTBEATS {
                        return Err(ConnectionError::TooManyHeartbeats);
                    }
                    let confirmed = self.server.currency_checks.request();
                    acknowledgements.push_back(acknowledge_heartbeat(sequence, confirmed));
                }
                Some(acknowledgement) = acknowledgements.next() => {
                    // The confirmation covers everything committed before it. The deltas are sent first,
                    // so that a proxy has received all of it before the acknowledgement.
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

    /// Confirms that the replica is current and then sends what the proxy lacks. Nothing is sent before the
    /// confirmation: a replica that was cut off must not send an old configuration to a proxy that has none.
    async fn confirm_and_catch_up(&mut self) -> Result<(), ConnectionError> {
        // A replica that waits to be added to a cell cannot confirm anything: another replica serves sooner.
        if self.server.status.borrow().cell.voters.is_empty() {
            return Err(ConnectionError::NoCell);
        }
        self.wait_for_leader().await?;
        let from = self.cursor.sent();
        // One confirmed read returns both: a second read would cost another round trip between regions.
        let (newest, snapshot) = self
            .server
            .consensus
            .read(move |reader| (reader.feed.newest(), reader.snapshot_for(from)))
            .await?;
        if from > newest {
            return Err(ConnectionError::UnknownRevision(from));
        }
        if let Some(snapshot) = snapshot {
            self.send_snapshot_frame(&snapshot?).await?;
        }
        self.send_deltas().await
    }

    /// Waits while the cell elects a leader. A confirmation requested during the election would be refused,
    /// and the back-off before the next request would grow.
    async fn wait_for_leader(&self) -> Result<(), ConnectionError> {
        let mut status = self.server.status.clone();
        let leaderless_since = status.borrow().leaderless_since;
        let Some(since) = leaderless_since else { return Ok(()) };
        let elected = status.wait_for(|status| status.leader.is_some());
        match timeout_at((since + LEADERLESS_GRACE).into(), elected).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(ConnectionError::Closed),
            Err(_) => Err(ConnectionError::NoLeader),
        }
    }

    /// Applies a message; returns the sequence of a heartbeat, which the caller must acknowledge.
    fn apply_message(
        &self,
        message: Option<Result<ProxyMessage, FrameError>>,
    ) -> Result<Option<u64>, ConnectionError> {
        match message.ok_or(ConnectionError::Closed)?? {
            ProxyMessage::Heartbeat { sequence, revision, draining, observations } => {
                let report = HeartbeatReport { revision, draining, observations };
                self.record_heartbeat(report)?;
                Ok(Some(sequence))
            }
            ProxyMessage::Allowances(report) if report.gateway == self.proxy => {
                self.server.consensus.send(ConsensusInput::AllowanceReport(report))?;
                Ok(None)
            }
            _ => Err(ConnectionError::UnexpectedMessage),
        }
    }

    fn record_heartbeat(&self, report: HeartbeatReport) -> Result<(), ConnectionError> {
        match self.server.table.record_heartbeat(self.id, &self.proxy, report) {
            true => Ok(()),
            false => Err(ConnectionError::Replaced),
        }
    }

    /// Sends the cell and the term of the leader to the proxy if they differ from `sent`. Returns what the
    /// proxy now has; a leader's term stays sent while no leader is known.
    async fn send_status(
        &mut self,
        status: &mut watch::Receiver<ReplicaStatus>,
        sent: SentStatus,
    ) -> Result<SentStatus, ConnectionError> {
        let current = SentStatus::from_status(&status.borrow_and_update());
        if current.cell != sent.cell {
            self.send(&encode_frame(ControlMessage::Cell(current.cell.clone()))?).await?;
        }
        let Some(term) = current.leader_term else {
            return Ok(SentStatus { leader_term: sent.leader_term, ..current });
        };
        if sent.leader_term != current.leader_term {
            self.send(&encode_frame(ControlMessage::LeaderElected { term })?).await?;
        }
        Ok(current)
    }

    /// Sends all changes after the proxy's position, in order and without gaps, or a snapshot if the feed no
    /// longer has these changes.
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
        self.send_snapshot_frame(&snapshot).await
    }

    async fn send_snapshot_frame(
        &mut self,
        snapshot: &SnapshotFrame,
    ) -> Result<(), ConnectionError> {
        self.send(&snapshot.frame).await?;
        self.server.metrics.proxy_snapshots.inc();
        self.cursor.snapshot_sent(snapshot.revision);
        Ok(())
    }

    async fn send(&mut self, frame: &Bytes) -> Result<(), ConnectionError> {
        let written = timeout(SEND_TIMEOUT, self.write_half.write_all(frame)).await;
        written.map_err(|_| ConnectionError::SendTimeout)?.map_err(FrameError::Io)?;
        self.server.metrics.proxy_bytes_sent.inc_by(frame.len() as u64);
        Ok(())
    }
}
