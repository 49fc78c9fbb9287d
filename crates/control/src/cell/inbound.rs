//! Incoming connections of other replicas.
//!
//! Owns nothing between connections. Relies on the disks' book for whether a replica may still be believed,
//! and passes everything that was read on to the consensus thread.
//!
//! A replica is refused that names another cell, another receiver or another disk than before; a refused
//! one is not answered.

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

/// Longest wait for the first message. Chosen, not measured; a lower value refuses replicas behind slow
/// links, a higher one keeps silent connections for longer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept (out of file descriptors, most likely). Chosen, not measured; a lower value
/// spins while none is free, a higher one lets replicas wait for longer.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What incoming connections are checked against.
#[derive(Clone)]
pub(crate) struct InboundSettings {
    pub(crate) cell: CellName,
    pub(crate) replica: ReplicaId,
    pub(crate) disks: Disks,
    pub(crate) metrics: Metrics,
}

impl InboundSettings {
    /// Whether the replica still has the disk that it is known by.
    fn knows(&self, replica: ReplicaId, disk: Incarnation) -> bool {
        match self.disks.check(replica, disk) {
            Ok(DiskCheck::Accepted { known }) => {
                self.metrics.cell_disks_known.set(i64::try_from(known).unwrap_or(i64::MAX));
                true
            }
            Ok(DiskCheck::Refused { first_time }) => {
                self.metrics.cell_disks_refused.inc();
                if first_time {
                    log::error!(
                        replica = replica.0;
                        "replica refused: it has another disk than before and needs a new id"
                    );
                }
                false
            }
            Err(error) => {
                log::error!(replica = replica.0, error:% = error; "disk of a replica not noted");
                false
            }
        }
    }
}

/// Accepts replicas until the stop.
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
                actix_rt::spawn(until_stopped(serving, stop.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn until_stopped(serving: impl Future<Output = ()>, stop: StopSignal) {
    tokio::select! {
        () = serving => (),
        () = stop.stopped() => (),
    }
}

type Connection = FramedRead<OwnedReadHalf, FrameCodec<PeerMessage, PeerMessage>>;

/// Shortest time between two answers to what was read: the sender waits four times as long. Chosen, not
/// measured; a lower value sends more bytes, a higher one leaves less of the sender's patience.
const ANSWER_INTERVAL: Duration = Duration::from_millis(500);
/// What is answered. Its value means nothing: that something comes back is the answer.
const ANSWER: &[u8] = &[1];

/// Answers what was read, from time to time.
struct Answers {
    write_half: OwnedWriteHalf,
    due: Instant,
}

impl Answers {
    fn note_read(&mut self) {
        if Instant::now() >= self.due {
            // Where nothing can be written now, the next answer does as well.
            let _ = self.write_half.try_write(ANSWER);
            self.due = Instant::now() + ANSWER_INTERVAL;
        }
    }
}

async fn serve_replica(stream: TcpStream, settings: InboundSettings, consensus: ConsensusHandle) {
    // The options only save time: a connection without them still works.
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let (read_half, write_half) = stream.into_split();
    let mut connection = FramedRead::new(read_half, FrameCodec::default());
    let mut answers = Answers { write_half, due: Instant::now() };
    let Some(from) = receive_hello(&mut connection, &settings).await else { return };
    if consensus.send(ConsensusInput::Connected(from)).is_err() {
        return;
    }
    loop {
        match connection.next().await {
            Some(Ok(message)) => {
                answers.note_read();
                if consensus.send(ConsensusInput::Cell { from, message }).is_err() {
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

/// The sender, when it belongs to this cell.
async fn receive_hello(
    connection: &mut Connection,
    settings: &InboundSettings,
) -> Option<ReplicaId> {
    let message = timeout(HELLO_TIMEOUT, connection.next()).await.ok()??;
    match message {
        Ok(PeerMessage::Hello { replica, receiver, .. }) if receiver != settings.replica => {
            log::debug!(
                replica = replica.0, receiver = receiver.0;
                "connection for another replica refused: this one has taken its place"
            );
            None
        }
        Ok(PeerMessage::Hello { cell, replica, incarnation, .. })
            if cell == settings.cell && replica != settings.replica =>
        {
            settings.knows(replica, incarnation).then_some(replica)
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
