//! A relay before a member: it can lose the answer to one statement, fall silent, or go down.

use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Open,
    /// Holds them back; connections stay open.
    Silent,
    /// Closes all connections and refuses new ones.
    Down,
}

/// The statement whose answer is lost next, and the mode after it.
type Marker = Option<(String, Mode)>;

/// Passes bytes between owners and one member.
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

    /// The answer to the next statement that holds the text is lost with its connection.
    pub fn lose_answer_to(&self, text: &str) {
        self.lose_answer_and_turn(text, Mode::Open);
    }

    /// As [`Relay::lose_answer_to`], with another mode from then on.
    pub fn lose_answer_and_turn(&self, text: &str, mode: Mode) {
        self.state.marker.send_replace(Some((text.to_owned(), mode)));
    }

    /// Whether the marked statement came by.
    pub fn has_lost(&self) -> bool {
        self.state.marker.borrow().is_none()
    }
}

async fn serve(near: TcpStream, state: &State) {
    let mut mode = state.mode.subscribe();
    tokio::select! {
        _ = mode.wait_for(|mode| *mode == Mode::Down) => {}
        // Either side's failure ends both.
        _ = pass(near, state) => {}
    }
}

async fn pass(near: TcpStream, state: &State) -> std::io::Result<()> {
    let far = TcpStream::connect(state.target).await?;
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let mut question = vec![0; 64 * 1024];
    let mut answer = vec![0; 64 * 1024];
    let mut mode = state.mode.subscribe();
    loop {
        tokio::select! {
            count = near_in.read(&mut question) => {
                let count = count?;
                if count == 0 {
                    return Ok(());
                }
                let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
                far_out.write_all(&question[..count]).await?;
                if let Some(next) = marked(state, &question[..count]) {
                    // The member has run it once it answers.
                    if far_in.read(&mut answer).await? == 0 {
                        return Ok(());
                    }
                    state.mode.send_replace(next);
                    state.marker.send_replace(None);
                    return Ok(());
                }
            }
            count = far_in.read(&mut answer) => {
                let count = count?;
                if count == 0 {
                    return Ok(());
                }
                let _ = mode.wait_for(|mode| *mode != Mode::Silent).await;
                near_out.write_all(&answer[..count]).await?;
            }
        }
    }
}

fn marked(state: &State, bytes: &[u8]) -> Option<Mode> {
    let text = String::from_utf8_lossy(bytes);
    let marker = state.marker.borrow();
    marker.as_ref().filter(|(wanted, _)| text.contains(wanted.as_str())).map(|(_, mode)| *mode)
}
