//! A link: a TCP relay between two processes that can delay, cut and reset.
//!
//! A cut keeps connections open and passes nothing, as a network does that loses
//! every packet: neither side is told. Bytes that were held back pass on when the
//! link heals, as retransmission would deliver them.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Bytes read at once from one side.
const READ_BYTES: usize = 64 * 1024;
/// Pieces held on the way in one direction before reading stops.
const PIECES_ON_THE_WAY: usize = 256;

/// Why a link could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The listening socket failed.
    #[error("link cannot listen")]
    Listen(#[from] std::io::Error),
}

/// What a link does to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionState {
    /// One-way latency.
    pub delay: Duration,
    /// Nothing passes while set.
    pub cut: bool,
}

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// From the side that connects to the target.
    pub forward: DirectionState,
    /// From the target back.
    pub backward: DirectionState,
    /// Connections opened under a lower number are closed.
    resets: u64,
}

impl LinkState {
    /// A link with the same one-way latency both ways.
    #[must_use]
    pub fn delayed(delay: Duration) -> Self {
        let direction = DirectionState { delay, cut: false };
        Self { forward: direction, backward: direction, resets: 0 }
    }

    /// Closes every connection that is open now.
    pub fn reset(&mut self) {
        self.resets += 1;
    }
}

/// A running link. Dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Link {
    /// Listens on a free loopback port and relays to `target`.
    ///
    /// # Errors
    /// [`LinkError::Listen`] when no port can be had.
    pub async fn start(target: SocketAddr, initial: LinkState) -> Result<Self, LinkError> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (state, receiver) = watch::channel(initial);
        let accepting = tokio::spawn(accept(listener, target, receiver));
        Ok(Self { address, state, accepting })
    }

    /// Address to connect to in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or heals each direction.
    pub fn set_cut(&self, forward: bool, backward: bool) {
        self.state.send_modify(|state| {
            state.forward.cut = forward;
            state.backward.cut = backward;
        });
    }

    /// Closes every open connection.
    pub fn reset(&self) {
        self.state.send_modify(LinkState::reset);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<LinkState>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(relay_connection(near, target, state.clone()));
    }
}

/// Relays one accepted connection to `target` for as long as both sides keep it, by a state that
/// may change meanwhile.
pub async fn relay_connection(
    near: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let resets = state.borrow().resets;
    // A new connection is not made across a cut: its handshake would be lost.
    if state.wait_for(|state| !state.forward.cut && !state.backward.cut).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pass(near_read, far_write, state.clone(), |state| state.forward);
    let backward = pass(far_read, near_write, state.clone(), |state| state.backward);
    let reset = state.wait_for(|state| state.resets != resets);
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        _ = reset => {}
    }
}

/// A piece of bytes and when it arrives at the other end; no bytes stand for the end of the stream.
struct Piece {
    bytes: Vec<u8>,
    arrives: Instant,
}

async fn pass(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    let (sender, receiver) = mpsc::channel(PIECES_ON_THE_WAY);
    let writing = write_pieces(to, receiver, state.clone(), direction);
    let reading = read_pieces(from, sender, state, direction);
    tokio::join!(reading, writing);
}

async fn read_pieces(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Piece>,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let delay = direction(&state.borrow()).delay;
        let arrives = Instant::now() + delay;
        let piece = Piece { bytes: buffer[..length].to_vec(), arrives };
        if sender.send(piece).await.is_err() || length == 0 {
            return;
        }
    }
}

async fn write_pieces(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Piece>,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    while let Some(piece) = receiver.recv().await {
        tokio::time::sleep_until(piece.arrives).await;
        if state.wait_for(|state| !direction(state).cut).await.is_err() {
            return;
        }
        if piece.bytes.is_empty() || to.write_all(&piece.bytes).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
