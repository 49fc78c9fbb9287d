//! A hollow node: the real watch of control over a real connection, and nothing else.

use super::loss::{FollowedLoss, Loss};
use super::observe::{Changed, Observer};
use corktack_core::time::Timestamp;
use corktack_core::view::View;
use corktack_protocol::control::{ControlMessage, Observation, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use corktack_server::watch_client::state::{Action, Event, WatchSettings, WatchState};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::io::{InspectReader, InspectWriter};

/// Called with the bytes that passed.
type ByteCounter = Box<dyn FnMut(&[u8]) + Send>;
type Reader =
    FramedRead<InspectReader<OwnedReadHalf, ByteCounter>, FrameCodec<ProxyMessage, ControlMessage>>;
type Writer = FramedWrite<
    InspectWriter<OwnedWriteHalf, ByteCounter>,
    FrameCodec<ProxyMessage, ControlMessage>,
>;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What all hollow nodes of a run count together.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes from control.
    pub bytes_in: AtomicU64,
    /// Bytes to control.
    pub bytes_out: AtomicU64,
    /// Messages from control.
    pub messages_in: AtomicU64,
    /// Messages to control.
    pub messages_out: AtomicU64,
    /// Times a node connected.
    pub connections: AtomicU64,
    /// Snapshots received.
    pub snapshots: AtomicU64,
}

/// What the run may ask of a node.
#[derive(Debug)]
pub enum Request {
    /// Report these observations.
    Observe(Vec<Observation>),
    /// Lose the connection and the configuration, as a restarted process would.
    Restart,
    /// Tell the configuration in force.
    Show(oneshot::Sender<View>),
    /// Tell a loss which replacements are in force here.
    Follow(Arc<Loss>),
}

/// A node as the run sees it.
#[derive(Debug)]
pub struct NodeHandle {
    /// Revision in force.
    pub revision: Arc<AtomicU64>,
    /// Requests to it.
    pub requests: mpsc::UnboundedSender<Request>,
}

struct Node {
    settings: WatchSettings,
    state: WatchState<View>,
    origin: Instant,
    connection: Option<(Reader, Writer)>,
    counters: Arc<Counters>,
    revision: Arc<AtomicU64>,
    observer: Option<Observer>,
    loss: Option<FollowedLoss>,
    changed: Changed,
}

/// Starts a node on the current event loop; it ends when its handle is dropped.
#[must_use]
pub fn start(
    settings: WatchSettings,
    counters: Arc<Counters>,
    observer: Option<Observer>,
) -> NodeHandle {
    let (requests, asked) = mpsc::unbounded_channel();
    let revision = Arc::new(AtomicU64::new(0));
    let origin = Instant::now();
    let state = WatchState::new(settings.clone(), View::default(), Timestamp::ZERO);
    let shared = Arc::clone(&revision);
    let node = Node {
        settings,
        state,
        origin,
        connection: None,
        counters,
        revision: shared,
        observer,
        loss: None,
        changed: Changed::default(),
    };
    tokio::spawn(node.run(asked));
    NodeHandle { revision, requests }
}

impl Node {
    async fn run(mut self, mut asked: mpsc::UnboundedReceiver<Request>) {
        loop {
            let deadline = self.origin + Duration::from_micros(self.state.deadline().as_micros());
            let event = tokio::select! {
                message = receive(&mut self.connection) => match message {
                    Some(message) => self.count_message(message),
                    None => {
                        self.connection = None;
                        Event::Disconnected
                    }
                },
                () = tokio::time::sleep_until(deadline) => Event::Tick,
                now = probe_due(self.observer.as_ref()) => match self.look(now) {
                    Some(event) => event,
                    None => continue,
                },
                request = asked.recv() => match request {
                    Some(Request::Observe(observations)) => Event::Observed(observations),
                    Some(Request::Restart) => self.restart(),
                    Some(Request::Show(asker)) => {
                        // One that asked and went away needs no answer.
                        let _ = asker.send(self.state.in_force().clone());
                        continue;
                    }
                    Some(Request::Follow(loss)) => {
                        let mut followed = FollowedLoss::new(loss);
                        followed.follow(self.state.in_force(), &Changed::everything());
                        self.loss = Some(followed);
                        continue;
                    }
                    None => return,
                },
            };
            self.handle(event).await;
        }
    }

    fn restart(&mut self) -> Event {
        self.connection = None;
        self.settings.incarnation.0 += 1;
        self.state = WatchState::new(self.settings.clone(), View::default(), self.now());
        self.revision.store(0, Ordering::Relaxed);
        self.observer = self.observer.take().map(Observer::restarted);
        Event::Tick
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// What probes that are due saw.
    fn look(&mut self, now: Instant) -> Option<Event> {
        let observations = self.observer.as_mut()?.look(now);
        (!observations.is_empty()).then_some(Event::Observed(observations))
    }

    /// Shows the configuration that is now in force to those who follow it.
    fn publish(&mut self) {
        let view = self.state.in_force();
        if let Some(observer) = &mut self.observer {
            observer.follow(Instant::now(), view, &self.changed);
        }
        if let Some(loss) = &mut self.loss {
            loss.follow(view, &self.changed);
        }
        self.revision.store(view.revision.0, Ordering::Relaxed);
    }

    fn count_message(&mut self, message: ControlMessage) -> Event {
        self.changed = Changed::by(&message);
        self.counters.messages_in.fetch_add(1, Ordering::Relaxed);
        if matches!(message, ControlMessage::Snapshot(_)) {
            self.counters.snapshots.fetch_add(1, Ordering::Relaxed);
        }
        Event::Message(message)
    }

    async fn handle(&mut self, event: Event) {
        let mut actions = self.state.handle(self.now(), event);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                if let Some(event) = self.perform(action).await {
                    next.extend(self.state.handle(self.now(), event));
                }
            }
            actions = next;
        }
    }

    async fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            // Hollow nodes have no tenants.
            Action::Led(_) | Action::Granted(_) => None,
            Action::Connect(addresses) => {
                let first = addresses.first()?;
                self.connection = connect(*first, &self.counters).await;
                Some(if self.connection.is_some() { Event::Connected } else { Event::Disconnected })
            }
            Action::Disconnect => {
                self.connection = None;
                None
            }
            Action::Send(message) => {
                let (_, writer) = self.connection.as_mut()?;
                self.counters.messages_out.fetch_add(1, Ordering::Relaxed);
                let sent = writer.send(message).await;
                sent.is_err().then_some(Event::Disconnected)
            }
            Action::Publish => {
                self.publish();
                Some(Event::Synced(self.state.in_force().revision))
            }
            Action::Current => None,
        }
    }
}

/// Waits until a probe is due; for ever where there are none.
async fn probe_due(observer: Option<&Observer>) -> Instant {
    let Some(due) = observer.and_then(Observer::deadline) else {
        return std::future::pending().await;
    };
    tokio::time::sleep_until(due).await;
    Instant::now()
}

/// The next message; `None` when the connection is lost. Waits for ever without one.
async fn receive(connection: &mut Option<(Reader, Writer)>) -> Option<ControlMessage> {
    let Some((reader, _)) = connection else { return std::future::pending().await };
    reader.next().await.and_then(Result::ok)
}

async fn connect(address: SocketAddr, counters: &Arc<Counters>) -> Option<(Reader, Writer)> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    counters.connections.fetch_add(1, Ordering::Relaxed);
    let (read, write) = stream.into_split();
    let count_in = counter(counters, |counters| &counters.bytes_in);
    let count_out = counter(counters, |counters| &counters.bytes_out);
    let reader = FramedRead::new(InspectReader::new(read, count_in), FrameCodec::default());
    let writer = FramedWrite::new(InspectWriter::new(write, count_out), FrameCodec::default());
    Some((reader, writer))
}

fn counter(counters: &Arc<Counters>, which: fn(&Counters) -> &AtomicU64) -> ByteCounter {
    let counters = Arc::clone(counters);
    Box::new(move |bytes| {
        which(&counters).fetch_add(bytes.len() as u64, Ordering::Relaxed);
    })
}
