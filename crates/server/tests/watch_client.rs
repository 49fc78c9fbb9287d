//! The watch over sockets, against control replicas played by the test.

use corktack_core::identity::Incarnation;
use corktack_core::resources::PriorityClassSpec;
use corktack_core::view::{Delta, Revision, View, ViewChange};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use corktack_server::watch_client::{
    self, NotKept, ViewFile, ViewStore, WatchHandle, WatchInputs, WatchSettings,
};
use corktack_storage::{DataFolder, StorageError};
use futures_util::{FutureExt, SinkExt, StreamExt};
use prometheus_client::registry::Registry;
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Bound on every wait of these tests.
const LIMIT: Duration = Duration::from_secs(20);

type Proxy = Framed<TcpStream, FrameCodec<ControlMessage, ProxyMessage>>;

fn start(folder: &Path, replicas: Vec<SocketAddr>) -> WatchHandle {
    start_with(Box::new(open(folder)), replicas)
}

fn start_with(store: Box<dyn ViewStore>, replicas: Vec<SocketAddr>) -> WatchHandle {
    start_settings(store, settings(replicas))
}

fn settings(replicas: Vec<SocketAddr>) -> WatchSettings {
    WatchSettings {
        proxy: "proxy-1".parse().expect("valid literal"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:7001".parse().expect("valid literal"),
        zone: "amba.a".parse().expect("valid literal"),
        replicas,
        heartbeat_interval: Duration::from_millis(20),
        silence_timeout: Duration::from_millis(100),
        retry_minimum: Duration::from_millis(5),
        retry_maximum: Duration::from_millis(20),
        follows_cell: false,
        seed: 1,
    }
}

fn start_settings(store: Box<dyn ViewStore>, settings: WatchSettings) -> WatchHandle {
    let (_, observations) = mpsc::unbounded_channel();
    let mut registry = Registry::default();
    let inputs = WatchInputs::without_limits(observations);
    watch_client::start(settings, LIMIT, store, inputs, &mut registry).expect("watch started")
}

/// Opens the view's file; the lock goes with the folder's last user.
fn open(folder: &Path) -> ViewFile {
    ViewFile::open(&DataFolder::open(folder).expect("free folder")).expect("view file opened")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound address");
    (listener, address)
}

/// Takes a connection; returns it with the revision of its hello.
async fn accept(listener: &TcpListener) -> (Proxy, Revision) {
    let (stream, _) =
        timeout(LIMIT, listener.accept()).await.expect("a connection in time").expect("accepted");
    let mut proxy = Framed::new(stream, FrameCodec::default());
    let hello = timeout(LIMIT, proxy.next())
        .await
        .expect("a hello in time")
        .expect("open connection")
        .expect("whole frame");
    let ProxyMessage::Hello { revision, .. } = hello else { panic!("{hello:?}") };
    (proxy, revision)
}

/// Where packets get no answer, as at a machine that lost its power: the queue of connections that
/// nobody accepts is full. The sockets keep it so.
fn dark() -> (Vec<socket2::Socket>, SocketAddr) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("valid literal");
    let socket = || {
        let kind = socket2::Type::STREAM.nonblocking();
        socket2::Socket::new(socket2::Domain::IPV4, kind, None).expect("a socket")
    };
    let listener = socket();
    listener.bind(&any.into()).expect("free port");
    listener.listen(0).expect("listening");
    let address = listener.local_addr().expect("bound address");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let filler = socket();
        // Under way as long as the socket lives.
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (sockets, address.as_socket().expect("an address of the internet"))
}

/// Each dark one costs 50 ms, not the whole time that a connection may take. The seed decides which
/// is tried first.
#[rstest]
#[actix_rt::test]
async fn a_replica_that_is_dark_does_not_hold_the_first_connection_up(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let (_first, dark_first) = dark();
    let (_second, dark_second) = dark();
    let (listener, alive) = listen().await;
    let replicas = vec![dark_first, dark_second, alive];
    let settings = WatchSettings { silence_timeout: LIMIT, seed, ..settings(replicas) };
    let _watch = start_settings(Box::new(NotKept), settings);
    let accepted = timeout(LIMIT / 4, accept(&listener)).await;
    assert_eq!(accepted.expect("long before a dark one is given up").1, Revision(0));
}

/// Answers heartbeats until one reports the revision.
async fn acknowledge_until(proxy: &mut Proxy, expected: Revision) {
    let answer = async {
        loop {
            let message = proxy.next().await.expect("open connection").expect("whole frame");
            let ProxyMessage::Heartbeat { sequence, revision, .. } = message else { panic!() };
            let acknowledgement = ControlMessage::HeartbeatAck { sequence, current: true };
            proxy.send(acknowledgement).await.expect("sent to the proxy");
            if revision == expected {
                return;
            }
        }
    };
    timeout(LIMIT, answer).await.expect("the revision is reported in time");
}

async fn wait_for_revision(watch: &WatchHandle, revision: Revision) {
    let mut views = watch.views();
    timeout(LIMIT, views.wait_for(|view| view.revision == revision))
        .await
        .expect("in time")
        .expect("the watch runs");
}

/// Reads the file once the watch that was dropped has let go of the folder.
async fn wait_for_file(folder: &Path) -> View {
    let read = async {
        loop {
            if let Ok(folder) = DataFolder::open(folder) {
                return ViewFile::open(&folder)
                    .expect("view file opened")
                    .load()
                    .expect("view read")
                    .expect("a stored view");
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(LIMIT, read).await.expect("the folder is free in time")
}

fn delta(revision: u64) -> ControlMessage {
    let class = PriorityClassSpec { priority: 1, guaranteed_percent: 0 };
    let name = format!("class-{revision}").parse().expect("valid literal");
    let changes = vec![ViewChange::PutClass(name, class)];
    ControlMessage::Delta(Delta { revision: Revision(revision), changes })
}

#[actix_rt::test]
async fn a_configuration_is_published_and_reported_once_on_disk() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (listener, address) = listen().await;
    let watch = start(folder.path(), vec![address]);
    let (mut proxy, revision) = accept(&listener).await;
    assert_eq!(revision, Revision(0));
    for revision in 1..=500 {
        proxy.send(delta(revision)).await.expect("sent to the proxy");
    }
    wait_for_revision(&watch, Revision(500)).await;
    acknowledge_until(&mut proxy, Revision(500)).await;
    let in_force = watch.views().borrow().clone();
    timeout(LIMIT, watch.proved().wait_for(Option::is_some))
        .await
        .expect("in time")
        .expect("the watch runs");
    drop(watch);
    let stored = wait_for_file(folder.path()).await;
    assert_eq!(stored, *in_force);
    assert_eq!(stored.classes.len(), 500);
}

#[actix_rt::test]
async fn a_restarted_proxy_goes_on_from_the_stored_configuration() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let stored = View { revision: Revision(7), ..View::default() };
    open(folder.path()).save(&stored).expect("view stored");
    let (listener, address) = listen().await;
    let watch = start(folder.path(), vec![address]);
    assert_eq!(watch.views().borrow().revision, Revision(7));
    assert_eq!(*watch.proved().borrow(), None);
    let (_, revision) = accept(&listener).await;
    assert_eq!(revision, Revision(7));
}

#[rstest]
#[case::cut(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() / 2))]
#[case::changed(|bytes: &mut Vec<u8>| bytes[6] ^= 1)]
#[case::empty(|bytes: &mut Vec<u8>| bytes.clear())]
fn a_damaged_file_is_not_used(#[case] damage: fn(&mut Vec<u8>)) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let mut file = open(folder.path());
    file.save(&View { revision: Revision(7), ..View::default() }).expect("view stored");
    let path = folder.path().join("view");
    let mut bytes = std::fs::read(&path).expect("file read");
    damage(&mut bytes);
    std::fs::write(&path, bytes).expect("file written");
    assert_eq!(file.load().expect("view read"), None);
}

#[actix_rt::test]
async fn a_silent_replica_is_left_for_another_one_and_nothing_reverts() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (first, first_address) = listen().await;
    let (second, second_address) = listen().await;
    let watch = start(folder.path(), vec![first_address, second_address]);
    let (silent, other) = tokio::select! {
        accepted = accept(&first) => (accepted, &second),
        accepted = accept(&second) => (accepted, &first),
    };
    let mut silent = silent.0;
    silent.send(delta(3)).await.expect("sent to the proxy");
    wait_for_revision(&watch, Revision(3)).await;
    // The silent one keeps its connection open and proves nothing.
    let (mut proxy, revision) = accept(other).await;
    assert_eq!(revision, Revision(3));
    let old = View { revision: Revision(2), ..View::default() };
    proxy.send(ControlMessage::Snapshot(Box::new(old))).await.expect("sent to the proxy");
    proxy.send(delta(4)).await.expect("sent to the proxy");
    wait_for_revision(&watch, Revision(4)).await;
    assert_eq!(watch.views().borrow().classes.len(), 2);
}

/// A store that is let go of only once the test says so.
struct HeldStore {
    release: Receiver<()>,
    released: Arc<AtomicBool>,
}

impl ViewStore for HeldStore {
    fn load(&self) -> Result<Option<View>, StorageError> {
        Ok(None)
    }

    fn save(&mut self, _: &View) -> Result<(), StorageError> {
        Ok(())
    }
}

impl Drop for HeldStore {
    fn drop(&mut self) {
        self.release.recv().expect("the test releases it");
        self.released.store(true, Ordering::SeqCst);
    }
}

#[actix_rt::test]
async fn a_stop_returns_once_the_data_folder_is_let_go_of() {
    let (release, held) = channel();
    let released = Arc::new(AtomicBool::new(false));
    let store = HeldStore { release: held, released: Arc::clone(&released) };
    let (_listener, address) = listen().await;
    let watch = start_with(Box::new(store), vec![address]);
    let mut stop = Box::pin(watch.stop());
    assert!(stop.as_mut().now_or_never().is_none(), "the store is still held");
    release.send(()).expect("the store waits");
    stop.await;
    assert!(released.load(Ordering::SeqCst));
}
