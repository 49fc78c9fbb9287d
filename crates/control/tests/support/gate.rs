//! A TCP relay in front of a listener, whose connections can be cut or frozen.

use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a gate does with its existing and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// Forwards all data.
    Open,
    /// Closes every connection.
    Cut,
    /// Keeps connections open and forwards nothing, as a stopped process would.
    Frozen,
}

/// A TCP relay to one listener; clients connect to `address`.
pub struct Gate {
    pub address: SocketAddr,
    state: watch::Sender<GateState>,
}

impl Gate {
    /// Starts an open relay to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("the listener is ours");
        let listener = TcpListener::from_std(listener).expect("inside the runtime");
        let (state, receiver) = watch::channel(GateState::Open);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(relay(stream, target, receiver.clone()));
            }
        });
        Self { address, state }
    }

    /// Changes the state of existing and future connections.
    pub fn set(&self, state: GateState) {
        self.state.send_replace(state);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut state: watch::Receiver<GateState>) {
    let copy_state = state.clone();
    let both_directions = async {
        let Ok(server) = TcpStream::connect(target).await else { return };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = copy(client_read, server_write, copy_state.clone()) => (),
            () = copy(server_read, client_write, copy_state) => (),
        }
    };
    tokio::select! {
        biased;
        _ = state.wait_for(|state| *state == GateState::Cut) => (),
        () = both_directions => (),
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<GateState>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let is_running = state.wait_for(|state| *state != GateState::Frozen).await.is_ok();
        if !is_running || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
