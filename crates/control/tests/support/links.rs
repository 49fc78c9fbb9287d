//! Links between the replicas of a cell that can be cut.
//!
//! Each replica is reached by the others through a listener of this module, which
//! reads from the first message who connects and passes the bytes on.

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

/// The replicas that are cut off from all others, and connections that pass nothing on.
#[derive(Clone)]
pub struct Links {
    cut: watch::Sender<BTreeSet<ReplicaId>>,
    /// Counts up with each silence, which holds for the connections that there are then.
    silenced: watch::Sender<Silence>,
    /// Frames with a packed payload that were passed on.
    packed: Arc<AtomicU64>,
}

/// From whom to whom connections were silenced last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    number: u64,
    between: Option<(ReplicaId, ReplicaId)>,
}

impl Links {
    pub fn new() -> Self {
        let (cut, silenced) =
            (watch::channel(BTreeSet::new()).0, watch::channel(Silence::default()).0);
        Self { cut, silenced, packed: Arc::default() }
    }

    /// How many frames with a packed payload were passed on.
    pub fn packed_frames(&self) -> u64 {
        self.packed.load(Ordering::SeqCst)
    }

    /// Opens the way to a replica; gives the address for the others.
    pub fn open(&self, to: ReplicaId, real: SocketAddr) -> SocketAddr {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("the listener is ours");
        let listener = TcpListener::from_std(listener).expect("inside the runtime");
        let (cut, silenced) = (self.cut.subscribe(), self.silenced.subscribe());
        let packed = Arc::clone(&self.packed);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (cut, silenced, packed) = (cut.clone(), silenced.clone(), Arc::clone(&packed));
                actix_rt::spawn(pass_on(stream, to, real, cut, silenced, packed));
            }
        });
        address
    }

    pub fn cut_off(&self, replica: ReplicaId) {
        self.cut.send_modify(|cut| cut.extend([replica]));
    }

    /// What one replica sends another on the connection that it has now arrives nowhere, without a reset;
    /// new connections work.
    pub fn silence(&self, from: ReplicaId, to: ReplicaId) {
        self.silenced.send_modify(|silence| {
            *silence = Silence { number: silence.number + 1, between: Some((from, to)) };
        });
    }

    pub fn heal(&self) {
        self.cut.send_modify(BTreeSet::clear);
    }
}

async fn pass_on(
    mut near: TcpStream,
    to: ReplicaId,
    real: SocketAddr,
    mut cut: watch::Receiver<BTreeSet<ReplicaId>>,
    mut silenced: watch::Receiver<Silence>,
    packed: Arc<AtomicU64>,
) {
    let Some((from, first)) = first_message(&mut near).await else { return };
    let opened = silenced.borrow().number;
    let is_silenced = |now: &Silence| now.number > opened && now.between == Some((from, to));
    let passing = async {
        let Ok(mut far) = TcpStream::connect(real).await else { return };
        if far.write_all(&first).await.is_ok() {
            let (near_read, mut near_write) = near.split();
            let (mut far_read, far_write) = far.split();
            // Either side may end the connection at any time.
            tokio::select! {
                () = pass_frames(near_read, far_write, &packed) => (),
                _ = copy(&mut far_read, &mut near_write) => (),
            }
        }
    };
    tokio::select! {
        // The cut is looked at first, so that a cut link passes nothing.
        biased;
        _ = cut.wait_for(|cut| cut.contains(&from) || cut.contains(&to)) => return,
        _ = silenced.wait_for(is_silenced) => (),
        () = passing => return,
    }
    // What was sent is read, as a kernel would, and goes nowhere.
    let mut unread = [0; 4_096];
    while let Ok(1..) = near.read(&mut unread).await {}
}

/// Passes on what comes, and counts the frames whose head says that the payload is packed.
async fn pass_frames(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, packed: &AtomicU64) {
    let mut head = Vec::new();
    let mut payload = 0;
    let mut bytes = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
        for byte in &bytes[..count] {
            if payload > 0 {
                payload -= 1;
                continue;
            }
            head.push(*byte);
            if head.len() == HEADER_BYTES {
                packed.fetch_add(u64::from(head[3]), Ordering::SeqCst);
                payload = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
                head.clear();
            }
        }
    }
}

/// Who connects, and the bytes read to know it.
async fn first_message(near: &mut TcpStream) -> Option<(ReplicaId, BytesMut)> {
    let mut bytes = BytesMut::new();
    loop {
        if near.read_buf(&mut bytes).await.ok()? == 0 {
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
