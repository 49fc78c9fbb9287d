//! TCP relays between the replicas of a cell, whose links can be cut or silenced.
//!
//! The replicas connect to each other through listeners of this module. A relay reads the identity of the
//! connecting replica from the first message, and then forwards all bytes.

use bytes::BytesMut;
use corktack_core::consensus::Message;
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellMessage;
use corktack_protocol::frame::{FrameCodec, HEADER_BYTES};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::codec::Decoder;

type PeerMessage = CellMessage<Message>;

/// Control of the links: which replicas are cut off, and which connections are silenced.
#[derive(Clone)]
pub struct Links {
    cut: watch::Sender<BTreeSet<ReplicaId>>,
    /// The last call of [`Links::silence_connection`]; it applies to the connections that existed before the
    /// call.
    silenced: watch::Sender<Silence>,
    /// Number of forwarded frames with a compressed payload.
    compressed: Arc<AtomicU64>,
}

/// The pair of replicas whose connection was silenced last; `number` counts the silences.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    number: u64,
    between: Option<(ReplicaId, ReplicaId)>,
}

impl Links {
    pub fn new() -> Self {
        let (cut, silenced) =
            (watch::channel(BTreeSet::new()).0, watch::channel(Silence::default()).0);
        Self { cut, silenced, compressed: Arc::default() }
    }

    /// Returns the number of forwarded frames with a compressed payload.
    pub fn compressed_frames(&self) -> u64 {
        self.compressed.load(Ordering::SeqCst)
    }

    /// Starts a relay to a replica; returns the address that the other replicas must use.
    pub fn open(&self, to: ReplicaId, target: SocketAddr) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("the listener is ours");
        let listener = TcpListener::from_std(listener).expect("inside the runtime");
        let (cut, silenced) = (self.cut.subscribe(), self.silenced.subscribe());
        let compressed = Arc::clone(&self.compressed);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (cut, silenced, compressed) =
                    (cut.clone(), silenced.clone(), Arc::clone(&compressed));
                actix_rt::spawn(relay(stream, to, target, cut, silenced, compressed));
            }
        });
        address
    }

    /// Closes all connections to and from a replica, and refuses new ones.
    pub fn cut_off(&self, replica: ReplicaId) {
        self.cut.send_modify(|cut| cut.extend([replica]));
    }

    /// Discards everything that one replica sends to another on its current connection, without closing the
    /// connection; new connections work.
    pub fn silence_connection(&self, from: ReplicaId, to: ReplicaId) {
        self.silenced.send_modify(|silence| {
            *silence = Silence { number: silence.number + 1, between: Some((from, to)) };
        });
    }

    /// Lets the replicas that were cut off connect again.
    pub fn heal(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }
}

async fn relay(
    mut client: TcpStream,
    to: ReplicaId,
    target: SocketAddr,
    mut cut: watch::Receiver<BTreeSet<ReplicaId>>,
    mut silenced: watch::Receiver<Silence>,
    compressed: Arc<AtomicU64>,
) {
    let Some((from, first)) = first_message(&mut client).await else { return };
    let silences_at_start = silenced.borrow().number;
    let is_silenced = |silence: &Silence| {
        silence.number > silences_at_start && silence.between == Some((from, to))
    };
    let forwarding = async {
        let Ok(mut server) = TcpStream::connect(target).await else { return };
        if server.write_all(&first).await.is_ok() {
            let (client_read, mut client_write) = client.split();
            let (mut server_read, server_write) = server.split();
            // Either side may close the connection at any time.
            tokio::select! {
                () = forward_frames(client_read, server_write, &compressed) => (),
                _ = copy(&mut server_read, &mut client_write) => (),
            }
        }
    };
    tokio::select! {
        // The cut is polled first, so that a cut link forwards nothing.
        biased;
        _ = cut.wait_for(|cut| cut.contains(&from) || cut.contains(&to)) => return,
        _ = silenced.wait_for(is_silenced) => (),
        () = forwarding => return,
    }
    // On a silenced connection the sent data is read, as a kernel would do, and discarded.
    let mut discarded = [0; 4_096];
    while let Ok(1..) = client.read(&mut discarded).await {}
}

/// Forwards all bytes, and counts the frames whose header says that the payload is compressed.
async fn forward_frames(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, compressed: &AtomicU64) {
    let mut header = Vec::new();
    let mut payload_left = 0;
    let mut bytes = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        for byte in &bytes[..count] {
            if payload_left > 0 {
                payload_left -= 1;
                continue;
            }
            header.push(*byte);
            if header.len() == HEADER_BYTES {
                compressed.fetch_add(u64::from(header[3]), Ordering::SeqCst);
                payload_left = u32::from_be_bytes([header[4], header[5], header[6], header[7]]);
                header.clear();
            }
        }
    }
}

/// Returns the connecting replica, from its first message, and the bytes read so far.
async fn first_message(client: &mut TcpStream) -> Option<(ReplicaId, BytesMut)> {
    let mut bytes = BytesMut::new();
    loop {
        if client.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let mut codec = FrameCodec::<PeerMessage, PeerMessage>::default();
        match codec.decode(&mut bytes.clone()).ok()? {
            Some(PeerMessage::Hello { replica, .. }) => return Some((replica, bytes)),
            Some(_) => return None,
            None => (),
        }
    }
}
