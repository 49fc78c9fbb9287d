//! Tests that a link relays bytes, holds them back during a cut and resets connections.

use corktack_lab::link::{Link, LinkState};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Round trips over another link while the first link is cut.
const OTHER_ANSWERS: u8 = 100;

/// Starts a server that answers every byte with the same byte.
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

async fn start_link() -> (Link, TcpStream) {
    let link = Link::start(echo_server().await, LinkState::default()).await.expect("starts");
    let mut stream = TcpStream::connect(link.address()).await.expect("connects");
    assert_eq!(send_and_receive(&mut stream, 1).await, Some(1));
    (link, stream)
}

async fn send_and_receive(stream: &mut TcpStream, byte: u8) -> Option<u8> {
    stream.write_all(&[byte]).await.ok()?;
    let mut answer = [0];
    stream.read_exact(&mut answer).await.ok()?;
    Some(answer[0])
}

#[rstest]
#[tokio::test]
async fn bytes_held_back_by_a_cut_arrive_when_the_link_is_restored(
    #[values((true, false), (false, true), (true, true))] cut: (bool, bool),
) {
    let (link, mut stream) = start_link().await;
    link.set_cut(cut.0, cut.1);
    let pending_request = tokio::spawn(async move { send_and_receive(&mut stream, 2).await });
    // The round trips over another link run through the same relay code. An answer that passed the
    // cut would have arrived by the end of them.
    let (_other, mut other_stream) = start_link().await;
    for byte in 0..OTHER_ANSWERS {
        assert_eq!(send_and_receive(&mut other_stream, byte).await, Some(byte));
    }
    assert!(!pending_request.is_finished(), "an answer passed a cut link");
    link.set_cut(false, false);
    assert_eq!(pending_request.await.expect("no panic"), Some(2));
}

#[rstest]
#[tokio::test]
async fn a_reset_closes_open_connections_only() {
    let (link, mut stream) = start_link().await;
    link.reset();
    assert_eq!(stream.read(&mut [0]).await.unwrap_or(0), 0);
    let mut new_stream = TcpStream::connect(link.address()).await.expect("connects");
    assert_eq!(send_and_receive(&mut new_stream, 3).await, Some(3));
}
