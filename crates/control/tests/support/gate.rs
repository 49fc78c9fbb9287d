//! A way to a listener that can be cut or frozen.

use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a gate does with connections, old and new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// Passes everything on.
    Open,
    /// Ends every connection.
    Cut,
    /// Keeps connections and passes nothing on, as a stopped process would.
    Frozen,
}

/// A way to a listener.
pub struct Gate {
    pub address: SocketAddr,
    state: watch::Sender<GateState>,
}

impl Gate {
    pub fn to(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        listener.set_nonblocking(true).expect("the listener is ours");
        let listener = TcpListener::from_std(listener).expect("inside the runtime");
        let (state, seen) = watch::channel(GateState::Open);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(pass_on(stream, target, seen.clone()));
            }
        });
        Self { address, state }
    }

    pub fn set(&self, state: GateState) {
        self.state.send_replace(state);
    }
}

async fn pass_on(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<GateState>) {
    let passing = state.clone();
    let both = async {
        let Ok(far) = TcpStream::connect(target).await else { return };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::select! {
            () = copy(near_read, far_write, passing.clone()) => (),
            () = copy(far_read, near_write, passing) => (),
        }
    };
    tokio::select! {
        biased;
        _ = state.wait_for(|state| *state == GateState::Cut) => (),
        () = both => (),
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<GateState>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let open = state.wait_for(|state| *state != GateState::Frozen).await.is_ok();
        if !open || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
