//! Incoming connections of other replicas.
//!
//! Each connection begins with a hello message. The connection is closed without an answer if the hello
//! names another cell, another receiver, or a disk id that differs from the stored one (see
//! [`Disks`]). Every later message goes to the consensus thread.

use super::disks::{DiskCheck, Disks};
use super::message::PeerMessage;
use crate::consensus::{ConsensusHandle, ConsensusInput};
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_protocol::cell::CellName;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::liveness::Liveness;
use futures_util::StreamExt;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;

/// Longest wait for the hello message. A shorter timeout refuses replicas behind slow links; a longer one
/// keeps silent connections for longer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, most likely because no file descriptor is free. A shorter pause spins
/// until one is free; a longer one delays replicas that connect.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The identity of this replica and the records that incoming connections are checked against.
#[derive(Clone)]
pub(crate) struct InboundSettings {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    pub(crate) disks: Disks,
    pub(crate) metrics: Metrics,
}

impl InboundSettings {
    /// Checks a replica's disk id against the stored one and updates the metrics.
    fn accepts_disk(&self, replica: ReplicaId, disk: Incarnation) -> bool {
        match self.disks.check(replica, disk) {
            Ok(DiskCheck::Accepted { stored_count }) => {
                self.metrics.cell_disks_known.set(i64::try_from(stored_count).unwrap_or(i64::MAX));
                true
            }
            Ok(DiskCheck::Refused { first_time }) => {
                self.metrics.cell_disks_refused.inc();
                if first_time {
                    log::error!(
                        replica = replica.0;
                        "replica refused: its disk id has changed, so it needs a new replica id"
                    );
                }
                false
            }
            Err(error) => {
                log::error!(
                    replica = replica.0, error:% = error;
                    "replica refused: its disk id cannot be stored"
                );
                false
            }
        }
    }
}

/// Accepts connections of other replicas until the stop signal.
pub(crate) async fn accept_replicas(
    listener: TcpListener,
    settings: InboundSettings,
    consensus: ConsensusHandle,
    stop: StopSignal,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_replica(stream, settings.clone(), consensus.clone());
                actix_rt::spawn(run_until_stopped(serving, stop.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn run_until_stopped(serving: impl Future<Output = ()>, stop: StopSignal) {
    tokio::select! {
        () = serving => (),
        () = stop.stopped() => (),
    }
}

type Connection = FramedRead<OwnedReadHalf, FrameCodec<PeerMessage, PeerMessage>>;

/// Shortest time between two acknowledgements on a connection. The sender's timeout is four times as long.
/// A shorter interval sends more bytes; a longer one leaves less of the sender's timeout.
const ACK_INTERVAL: Duration = Duration::from_millis(500);
/// The acknowledgement. The sender ignores the value of the byte.
const ACK: &[u8] = &[1];

/// Sends an acknowledgement for messages that were read, at most once per [`ACK_INTERVAL`].
struct Acknowledger {
    write_half: OwnedWriteHalf,
    next_due: Instant,
}

impl Acknowledger {
    fn acknowledge_read(&mut self) {
        if Instant::now() >= self.next_due {
            // If the socket takes no byte now, the next acknowledgement serves as well.
            let _ = self.write_half.try_write(ACK);
            self.next_due = Instant::now() + ACK_INTERVAL;
        }
    }
}

async fn serve_replica(stream: TcpStream, settings: InboundSettings, consensus: ConsensusHandle) {
    // Ignored on failure: the options only detect dead connections sooner.
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let (read_half, write_half) = stream.into_split();
    let mut connection = FramedRead::new(read_half, FrameCodec::default());
    let mut acknowledger = Acknowledger { write_half, next_due: Instant::now() };
    let Some(from) = receive_hello(&mut connection, &settings).await else { return };
    if consensus.send(ConsensusInput::PeerConnected(from)).is_err() {
        return;
    }
    loop {
        match connection.next().await {
            Some(Ok(message)) => {
                acknowledger.acknowledge_read();
                if consensus.send(ConsensusInput::PeerMessage { from, message }).is_err() {
                    return;
                }
            }
            Some(Err(error)) => {
                log::warn!(replica = from.0, error:% = error; "connection of a replica failed");
                return;
            }
            None => return,
        }
    }
}

/// Reads the hello message and returns the sender if it belongs to this cell and its disk is accepted.
async fn receive_hello(
    connection: &mut Connection,
    settings: &InboundSettings,
) -> Option<ReplicaId> {
    let message = timeout(HELLO_TIMEOUT, connection.next()).await.ok()??;
    match message {
        Ok(PeerMessage::Hello { replica, receiver, .. }) if receiver != settings.replica => {
            log::debug!(
                replica = replica.0, receiver = receiver.0;
                "connection refused: its receiver is another replica id at this address"
            );
            None
        }
        Ok(PeerMessage::Hello { cell, replica, incarnation, .. })
            if cell == settings.cell && replica != settings.replica =>
        {
            settings.accepts_disk(replica, incarnation).then_some(replica)
        }
        Ok(_) => {
            log::warn!(cell = settings.cell.0.as_str(); "connection of another cell refused");
            None
        }
        Err(error) => {
            log::warn!(error:% = error; "connection without a valid first message refused");
            None
        }
    }
}
