//! A relay in front of a member, which can lose the answer to one statement, hold back all traffic, or go
//! down.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the relay handles traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes.
    Open,
    /// Holds bytes back; connections stay open.
    Silent,
    /// Closes all connections and refuses new ones.
    Down,
}

/// Text of the next statement whose answer is lost, and the mode after that.
type Marker = Option<(String, Mode)>;

/// Forwards bytes between owners and one member.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: SocketAddr,
    marker: watch::Sender<Marker>,
    mode: watch::Sender<Mode>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let (marker, mode) = (watch::Sender::new(None), watch::Sender::new(Mode::Open));
        let state = Arc::new(State { target, marker, mode });
        let shared = Arc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                actix_rt::spawn(async move { serve(socket, &state).await });
            }
        });
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.mode.send_replace(mode);
    }

    /// Loses the answer to the next statement that contains the text, and closes its connection.
    pub fn lose_answer_to(&self, text: &str) {
        self.lose_answer_and_switch(text, Mode::Open);
    }

    /// Acts as [`Relay::lose_answer_to`] and then switches to another mode.
    pub fn lose_answer_and_switch(&self, text: &str, mode: Mode) {
        self.state.marker.send_replace(Some((text.to_owned(), mode)));
    }

    /// Reports whether the answer to the marked statement was lost.
    pub fn has_lost(&self) -> bool {
        self.state.marker.borrow().is_none()
    }
}

async fn serve(owner: TcpStream, state: &State) {
    let mut mode = state.mode.subscribe();
    tokio::select! {
        _ = mode.wait_for(|mode| *mode == Mode::Down) => {}
        // A failure on either side closes both connections.
        _ = forward(owner, state) => {}
    }
}

async fn forward(owner: TcpStream, state: &State) -> std::io::Result<()> {
    let member = TcpStream::connect(state.target).await?;
    let (mut owner_in, mut owner_out) = owner.into_split();
    let (mut member_in, mut member_out) = member.into_split();
    let mut request = vec![0; 64 * 1024];
    let mut answer = vec![0; 64 * 1024];
    let mut mode = state.mode.subscribe();
    loop {
        tokio::select! {
            count = owner_in.read(&mut request) => {
                let count = count?;
                if count == 0 {
                    return Ok(());
                }
                let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
                member_out.write_all(&request[..count]).await?;
                if let Some(next_mode) = marked_mode(state, &request[..count]) {
                    // The member's answer shows that the statement ran.
                    if member_in.read(&mut answer).await? == 0 {
                        return Ok(());
                    }
                    state.mode.send_replace(next_mode);
                    state.marker.send_replace(None);
                    return Ok(());
                }
            }
            count = member_in.read(&mut answer) => {
                let count = count?;
                if count == 0 {
                    return Ok(());
                }
                let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
                owner_out.write_all(&answer[..count]).await?;
            }
        }
    }
}

fn marked_mode(state: &State, bytes: &[u8]) -> Option<Mode> {
    let text = String::from_utf8_lossy(bytes);
    let marker = state.marker.borrow();
    marker.as_ref().filter(|(wanted, _)| text.contains(wanted.as_str())).map(|(_, mode)| *mode)
}
