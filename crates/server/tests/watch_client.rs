//! Tests of the watch over sockets, against control replicas that the tests simulate.

use corktack_core::identity::Incarnation;
use corktack_core::resources::PriorityClassSpec;
use corktack_core::view::{Delta, Revision, View, ViewChange};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use corktack_server::watch_client::{
    self, NoViewStore, ViewFile, ViewStore, WatchHandle, WatchInputs, WatchSettings,
};
use corktack_storage::{DataFolder, Operation, StorageError};
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

/// Longest duration of every wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(20);

type ProxyConnection = Framed<TcpStream, FrameCodec<ControlMessage, ProxyMessage>>;

fn start(folder: &Path, replicas: Vec<SocketAddr>) -> WatchHandle {
    start_with_store(Box::new(open_view_file(folder)), replicas)
}

fn start_with_store(store: Box<dyn ViewStore>, replicas: Vec<SocketAddr>) -> WatchHandle {
    start_with_settings(store, settings(replicas))
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

fn start_with_settings(store: Box<dyn ViewStore>, settings: WatchSettings) -> WatchHandle {
    let (_, observations) = mpsc::unbounded_channel();
    let mut registry = Registry::default();
    let inputs = WatchInputs::without_limits(observations);
    watch_client::start(settings, TIMEOUT, store, inputs, &mut registry).expect("watch started")
}

/// Opens the view's file; the folder stays locked until its last user is dropped.
fn open_view_file(folder: &Path) -> ViewFile {
    ViewFile::open(&DataFolder::open(folder).expect("free folder")).expect("view file opened")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound address");
    (listener, address)
}

/// Accepts a connection and returns it with the revision in its hello.
async fn accept(listener: &TcpListener) -> (ProxyConnection, Revision) {
    let (stream, _) =
        timeout(TIMEOUT, listener.accept()).await.expect("a connection in time").expect("accepted");
    let mut proxy = Framed::new(stream, FrameCodec::default());
    let hello = timeout(TIMEOUT, proxy.next())
        .await
        .expect("a hello in time")
        .expect("open connection")
        .expect("whole frame");
    let ProxyMessage::Hello { revision, .. } = hello else { panic!("{hello:?}") };
    (proxy, revision)
}

/// Returns an address at which connection attempts get no answer, as at a machine without power: the
/// backlog of its listener is full, as long as the returned sockets are kept.
fn unreachable_replica() -> (Vec<socket2::Socket>, SocketAddr) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("valid literal");
    let socket = || {
        let socket_type = socket2::Type::STREAM.nonblocking();
        socket2::Socket::new(socket2::Domain::IPV4, socket_type, None).expect("a socket")
    };
    let listener = socket();
    listener.bind(&any.into()).expect("free port");
    listener.listen(0).expect("listening");
    let address = listener.local_addr().expect("bound address");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let filler = socket();
        // The connection attempt lasts as long as the socket exists.
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (sockets, address.as_socket().expect("an address of the internet"))
}

/// Guards against waiting for the whole connect timeout of an unreachable replica: each costs only 50 ms.
/// The seed decides which replica is tried first.
#[rstest]
#[actix_rt::test]
async fn an_unreachable_replica_does_not_delay_the_first_connection(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let (_first_sockets, first_unreachable) = unreachable_replica();
    let (_second_sockets, second_unreachable) = unreachable_replica();
    let (listener, reachable) = listen().await;
    let replicas = vec![first_unreachable, second_unreachable, reachable];
    let settings = WatchSettings { silence_timeout: TIMEOUT, seed, ..settings(replicas) };
    let _watch = start_with_settings(Box::new(NoViewStore), settings);
    let accepted = timeout(TIMEOUT / 4, accept(&listener)).await;
    assert_eq!(
        accepted.expect("accepted long before the attempt at an unreachable replica times out").1,
        Revision(0)
    );
}

/// Answers heartbeats until one reports the revision.
async fn acknowledge_until(proxy: &mut ProxyConnection, expected: Revision) {
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
    timeout(TIMEOUT, answer).await.expect("the revision is reported in time");
}

async fn wait_for_revision(watch: &WatchHandle, revision: Revision) {
    let mut views = watch.views();
    timeout(TIMEOUT, views.wait_for(|view| view.revision == revision))
        .await
        .expect("in time")
        .expect("the watch runs");
}

/// Reads the view's file once the dropped watch has released the folder.
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
    timeout(TIMEOUT, read).await.expect("the folder is free in time")
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
    timeout(TIMEOUT, watch.confirmed_current().wait_for(Option::is_some))
        .await
        .expect("in time")
        .expect("the watch runs");
    drop(watch);
    let stored = wait_for_file(folder.path()).await;
    assert_eq!(stored, *in_force);
    assert_eq!(stored.classes.len(), 500);
}

#[actix_rt::test]
async fn a_restarted_proxy_starts_from_the_stored_configuration() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let stored = View { revision: Revision(7), ..View::default() };
    open_view_file(folder.path()).save(&stored).expect("view stored");
    let (listener, address) = listen().await;
    let watch = start(folder.path(), vec![address]);
    assert_eq!(watch.views().borrow().revision, Revision(7));
    assert_eq!(*watch.confirmed_current().borrow(), None);
    let (_, revision) = accept(&listener).await;
    assert_eq!(revision, Revision(7));
}

#[rstest]
#[case::cut(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() / 2))]
#[case::changed(|bytes: &mut Vec<u8>| bytes[6] ^= 1)]
#[case::empty(|bytes: &mut Vec<u8>| bytes.clear())]
fn a_damaged_file_is_not_used(#[case] damage: fn(&mut Vec<u8>)) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let mut file = open_view_file(folder.path());
    file.save(&View { revision: Revision(7), ..View::default() }).expect("view stored");
    let path = folder.path().join("view");
    let mut bytes = std::fs::read(&path).expect("file read");
    damage(&mut bytes);
    std::fs::write(&path, bytes).expect("file written");
    assert_eq!(file.load().expect("view read"), None);
}

#[actix_rt::test]
async fn a_silent_replica_is_replaced_by_another_and_the_configuration_never_reverts() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (first, first_address) = listen().await;
    let (second, second_address) = listen().await;
    let watch = start(folder.path(), vec![first_address, second_address]);
    let (silent, other_listener) = tokio::select! {
        accepted = accept(&first) => (accepted, &second),
        accepted = accept(&second) => (accepted, &first),
    };
    let mut silent = silent.0;
    silent.send(delta(3)).await.expect("sent to the proxy");
    wait_for_revision(&watch, Revision(3)).await;
    // The silent replica keeps its connection open and confirms nothing.
    let (mut proxy, revision) = accept(other_listener).await;
    assert_eq!(revision, Revision(3));
    let old = View { revision: Revision(2), ..View::default() };
    proxy.send(ControlMessage::Snapshot(Box::new(old))).await.expect("sent to the proxy");
    proxy.send(delta(4)).await.expect("sent to the proxy");
    wait_for_revision(&watch, Revision(4)).await;
    assert_eq!(watch.views().borrow().classes.len(), 2);
}

/// A store whose next writes fail.
struct FullStore {
    failures_left: u32,
}

impl ViewStore for FullStore {
    fn load(&self) -> Result<Option<View>, StorageError> {
        Ok(None)
    }

    fn save(&mut self, _view: &View) -> Result<(), StorageError> {
        let Some(failures_left) = self.failures_left.checked_sub(1) else { return Ok(()) };
        self.failures_left = failures_left;
        Err(StorageError::Io {
            operation: Operation::Write,
            path: "view".into(),
            source: std::io::ErrorKind::StorageFull.into(),
        })
    }
}

/// Guards against a proxy that reports an old revision until the next change, because its disk was full when
/// the last one came.
#[actix_rt::test]
async fn a_configuration_that_could_not_be_written_is_written_again() {
    let (listener, address) = listen().await;
    let _watch = start_with_store(Box::new(FullStore { failures_left: 2 }), vec![address]);
    let (mut proxy, _) = accept(&listener).await;
    proxy.send(delta(1)).await.expect("sent to the proxy");
    acknowledge_until(&mut proxy, Revision(1)).await;
}

/// A store whose drop blocks until the test allows it.
struct BlockingStore {
    allow_drop: Receiver<()>,
    dropped: Arc<AtomicBool>,
}

impl ViewStore for BlockingStore {
    fn load(&self) -> Result<Option<View>, StorageError> {
        Ok(None)
    }

    fn save(&mut self, _: &View) -> Result<(), StorageError> {
        Ok(())
    }
}

impl Drop for BlockingStore {
    fn drop(&mut self) {
        self.allow_drop.recv().expect("the test allows the drop");
        self.dropped.store(true, Ordering::SeqCst);
    }
}

#[actix_rt::test]
async fn a_stop_returns_once_the_store_is_dropped() {
    let (allow_drop, drop_allowed) = channel();
    let dropped = Arc::new(AtomicBool::new(false));
    let store = BlockingStore { allow_drop: drop_allowed, dropped: Arc::clone(&dropped) };
    let (_listener, address) = listen().await;
    let watch = start_with_store(Box::new(store), vec![address]);
    let mut stop = Box::pin(watch.stop());
    assert!(stop.as_mut().now_or_never().is_none(), "the store is not dropped yet");
    allow_drop.send(()).expect("the store waits");
    stop.await;
    assert!(dropped.load(Ordering::SeqCst));
}
