//! TCP relay between two processes that can delay bytes, cut either direction and reset connections.
//!
//! A cut keeps connections open and passes no bytes, like a network that loses every packet: neither side is
//! notified. The relay delivers the bytes that a cut held back when the link is restored, as TCP
//! retransmission would.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Size of the buffer for one read from either side.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Chunks held in flight in one direction before the relay stops reading.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Error of starting a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The listening socket could not be opened.
    #[error("link cannot listen")]
    Listen(#[from] std::io::Error),
}

/// Latency and cut of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionState {
    /// One-way latency added to each chunk.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub cut: bool,
}

/// State of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Direction from the connecting side to the target.
    pub forward: DirectionState,
    /// Direction from the target to the connecting side.
    pub backward: DirectionState,
    /// Number of resets so far; a connection opened at a lower count is closed.
    reset_count: u64,
}

impl LinkState {
    /// Returns the state of a link with the same one-way latency in both directions.
    #[must_use]
    pub fn delayed(delay: Duration) -> Self {
        let direction = DirectionState { delay, cut: false };
        Self { forward: direction, backward: direction, reset_count: 0 }
    }

    /// Closes every connection that is open now.
    pub fn reset(&mut self) {
        self.reset_count += 1;
    }
}

/// A running link. Dropping the link closes its connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl Link {
    /// Listens on a free loopback port and relays to `target`.
    ///
    /// # Errors
    /// [`LinkError::Listen`] when no loopback port can be bound.
    pub async fn start(target: SocketAddr, initial: LinkState) -> Result<Self, LinkError> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (state, receiver) = watch::channel(initial);
        let accept_task = tokio::spawn(accept_connections(listener, target, receiver));
        Ok(Self { address, state, accept_task })
    }

    /// Returns the address that clients use in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or restores each direction.
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
        self.accept_task.abort();
        self.reset();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay_connection(client, target, state.clone()));
    }
}

/// Relays one accepted connection to `target` until either side closes or the link is reset, and
/// follows changes of `state` meanwhile.
pub async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let initial_resets = state.borrow().reset_count;
    // The relay connects only when no direction is cut, since a cut would lose the TCP handshake.
    if state.wait_for(|state| !state.forward.cut && !state.backward.cut).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = relay_direction(client_read, server_write, state.clone(), |state| state.forward);
    let backward =
        relay_direction(server_read, client_write, state.clone(), |state| state.backward);
    let reset = state.wait_for(|state| state.reset_count != initial_resets);
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        _ = reset => {}
    }
}

/// Bytes of one read and their delivery time; an empty chunk marks the end of the stream.
struct Chunk {
    bytes: Vec<u8>,
    deliver_at: Instant,
}

async fn relay_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let write_loop = write_chunks(to, receiver, state.clone(), direction);
    let read_loop = read_chunks(from, sender, state, direction);
    tokio::join!(read_loop, write_loop);
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let delay = direction(&state.borrow()).delay;
        let deliver_at = Instant::now() + delay;
        let chunk = Chunk { bytes: buffer[..length].to_vec(), deliver_at };
        if sender.send(chunk).await.is_err() || length == 0 {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    mut state: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) {
    while let Some(chunk) = receiver.recv().await {
        tokio::time::sleep_until(chunk.deliver_at).await;
        if state.wait_for(|state| !direction(state).cut).await.is_err() {
            return;
        }
        if chunk.bytes.is_empty() || to.write_all(&chunk.bytes).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}
