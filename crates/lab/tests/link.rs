//! Links pass, hold and reset.

use corktack_lab::link::{Link, LinkState};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Answers over another link that are awaited while a link is cut.
const OTHER_ANSWERS: u8 = 100;

/// Answers every byte with the same byte.
async fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("binds");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn started() -> (Link, TcpStream) {
    let link = Link::start(echo_server().await, LinkState::default()).await.expect("starts");
    let mut stream = TcpStream::connect(link.address()).await.expect("connects");
    assert_eq!(ask(&mut stream, 1).await, Some(1));
    (link, stream)
}

async fn ask(stream: &mut TcpStream, byte: u8) -> Option<u8> {
    stream.write_all(&[byte]).await.ok()?;
    let mut answer = [0];
    stream.read_exact(&mut answer).await.ok()?;
    Some(answer[0])
}

#[rstest]
#[tokio::test]
async fn what_was_held_by_a_cut_passes_when_it_heals(
    #[values((true, false), (false, true), (true, true))] cut: (bool, bool),
) {
    let (link, mut stream) = started().await;
    link.set_cut(cut.0, cut.1);
    let asked = tokio::spawn(async move { ask(&mut stream, 2).await });
    // Answers over another link take the same path, so one across the cut had its chance.
    let (_other, mut other_stream) = started().await;
    for byte in 0..OTHER_ANSWERS {
        assert_eq!(ask(&mut other_stream, byte).await, Some(byte));
    }
    assert!(!asked.is_finished(), "an answer came across a cut");
    link.set_cut(false, false);
    assert_eq!(asked.await.expect("no panic"), Some(2));
}

#[rstest]
#[tokio::test]
async fn a_reset_closes_open_connections_only() {
    let (link, mut stream) = started().await;
    link.reset();
    assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
    let mut again = TcpStream::connect(link.address()).await.expect("connects");
    assert_eq!(ask(&mut again, 3).await, Some(3));
}
