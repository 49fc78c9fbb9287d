//! Connections of clients at one listening address of a process, and the bytes held for them.
//!
//! [`corktack_core::clients`] decides whose connection is closed when connections or memory run short. This
//! crate tells the task that serves the connection, makes others wait until it is closed, and counts what was
//! closed and why. A server asks [`Clients::connect`] for each accepted connection, and drops the connection
//! when [`Client::closed`] returns. Clients of one address live on one thread.

mod allocator;
mod metrics;
mod resources;

use allocator::return_free_memory;
pub use allocator::return_large_blocks;
pub use metrics::ClientMetrics;
pub use resources::ProcessResources;

use corktack_core::clients::{
    ByteGrant, BytePace, ClientId, ClientLimits, ClientPhase, ClientTable, ClientTotals, Connected,
};
use corktack_core::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Shortest time between two log lines about closed clients of an address. A lower value lets a crowd of
/// clients fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Number of connections, and of bytes, by which the totals have fallen when free memory is returned to the system.
/// Lower numbers spend time on little memory; single large messages must not reach them.
const MIN_GONE_CONNECTIONS: usize = 512;
const MIN_FREED_BYTES: usize = 24 * 1024 * 1024;
/// Size that a read of a large message counts for at least, in bytes: a read has a cost of its own.
const MIN_PACED_BYTES: usize = 4 * 1024;

/// Reason why a client was refused or its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// All connections were in use, and others had waited longer for their clients or could not be closed.
    ConnectionRefused,
    /// All connections were in use, and this one had waited longest for its client.
    ConnectionsShort,
    /// Memory was short, and this client held the most for the longest.
    MemoryShort,
    /// The client took too long to send a message that it had begun.
    MessageTimeout,
}

impl CloseReason {
    /// Returns the reason as a text for the client.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::ConnectionRefused | Self::ConnectionsShort => "all connections are in use",
            Self::MemoryShort => "no memory for the message",
            Self::MessageTimeout => "the message took too long",
        }
    }

    /// Returns the name in metrics and log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connection_refused",
            Self::ConnectionsShort => "connections_short",
            Self::MemoryShort => "memory_short",
            Self::MessageTimeout => "message_timeout",
        }
    }
}

/// All connections are in use: the client is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyClients;

/// No memory for what the client sent or asked for, and the memory of others may not be taken for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// Clients of one listening address.
#[derive(Debug)]
pub struct Clients {
    /// Name of the address in metrics and log lines.
    address: &'static str,
    table: RefCell<ClientTable>,
    pace: RefCell<BytePace>,
    closings: RefCell<HashMap<ClientId, Rc<Closing>>>,
    /// Notified when a connection is closed or holds fewer bytes.
    room_made: Notify,
    started_at: Instant,
    metrics: ClientMetrics,
    logged_at: Cell<Option<Instant>>,
    /// Clients refused or closed since the last log line.
    unlogged: Cell<u64>,
    /// Most connections and most bytes since free memory was last returned to the system.
    most: Cell<ClientTotals>,
}

/// Tells the task that serves a connection to close it.
#[derive(Debug, Default)]
struct Closing {
    reason: Cell<Option<CloseReason>>,
    requested: Notify,
}

impl Clients {
    /// Returns a set of clients without connections.
    #[must_use]
    pub fn new(address: &'static str, limits: ClientLimits, metrics: ClientMetrics) -> Rc<Self> {
        Rc::new(Self {
            address,
            table: RefCell::new(ClientTable::new(limits)),
            pace: RefCell::new(BytePace::new(limits.bytes_per_second)),
            closings: RefCell::default(),
            room_made: Notify::new(),
            started_at: Instant::now(),
            metrics,
            logged_at: Cell::new(None),
            unlogged: Cell::new(0),
            most: Cell::default(),
        })
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        *self.table.borrow().limits()
    }

    /// Returns the numbers of connections and bytes.
    #[must_use]
    pub fn totals(&self) -> ClientTotals {
        self.table.borrow().totals()
    }

    /// Adds a connection that was accepted; may close another one in its favour.
    ///
    /// # Errors
    /// [`TooManyClients`] if all connections are in use and none may be closed.
    pub fn connect(self: &Rc<Self>) -> Result<Client, TooManyClients> {
        let connected = self.table.borrow_mut().connect(self.now());
        let id = match connected {
            Connected::Open(id) => id,
            Connected::InPlaceOf { id, closed } => {
                self.close(&[closed], CloseReason::ConnectionsShort);
                id
            }
            Connected::Refused => {
                self.record(CloseReason::ConnectionRefused);
                return Err(TooManyClients);
            }
        };
        let closing = Rc::new(Closing::default());
        self.closings.borrow_mut().insert(id, Rc::clone(&closing));
        Ok(Client { clients: Rc::clone(self), id, closing, bytes: Cell::new(0) })
    }

    /// Closes connections whose clients take too long to send a message, updates the gauges, and returns free
    /// memory to the system when a crowd has gone. To be called regularly.
    pub fn sweep(&self) {
        let overdue = self.table.borrow_mut().overdue(self.now());
        self.close(&overdue, CloseReason::MessageTimeout);
        let totals = self.totals();
        self.metrics.record_totals(self.address, totals);
        let before = self.most.get();
        let most = ClientTotals {
            connections: before.connections.max(totals.connections),
            bytes: before.bytes.max(totals.bytes),
        };
        let is_crowd_gone = totals.connections + MIN_GONE_CONNECTIONS < most.connections
            || totals.bytes + MIN_FREED_BYTES < most.bytes;
        if is_crowd_gone {
            return_free_memory();
        }
        self.most.set(if is_crowd_gone { totals } else { most });
    }

    fn close(&self, ids: &[ClientId], reason: CloseReason) {
        let closings = self.closings.borrow();
        for closing in ids.iter().filter_map(|id| closings.get(id)) {
            closing.reason.set(Some(reason));
            closing.requested.notify_one();
            self.record(reason);
        }
    }

    /// Counts a client that was refused or closed, and logs it unless a line was logged shortly before.
    fn record(&self, reason: CloseReason) {
        self.metrics.record_closed(self.address, reason);
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        let ClientTotals { connections, bytes } = self.totals();
        log::warn!(
            address = self.address, reason = reason.name(), closed = self.unlogged.replace(0),
            connections, bytes;
            "clients are refused or disconnected"
        );
    }
}

/// A client's connection. Dropping it ends its accounting.
#[derive(Debug)]
pub struct Client {
    clients: Rc<Clients>,
    id: ClientId,
    closing: Rc<Closing>,
    /// Bytes held for the client.
    bytes: Cell<usize>,
}

impl Client {
    /// Records what the connection waits for from now on.
    pub fn enter(&self, phase: ClientPhase) {
        self.clients.table.borrow_mut().enter(self.id, phase, self.clients.now());
    }

    /// Sets how many bytes are held for the client. May close other connections, and waits until they are
    /// closed.
    ///
    /// # Errors
    /// [`OutOfMemory`] if there is no room and none can be made.
    pub async fn hold(&self, bytes: usize) -> Result<(), OutOfMemory> {
        loop {
            let room_made = self.clients.room_made.notified();
            if self.try_hold(bytes)? {
                return Ok(());
            }
            room_made.await;
        }
    }

    /// Sets how many bytes are held for the client, and reports whether they are granted now. If not, room is
    /// being made.
    fn try_hold(&self, bytes: usize) -> Result<bool, OutOfMemory> {
        if bytes == self.bytes.get() {
            return Ok(true);
        }
        let now = self.clients.now();
        let grant = self.clients.table.borrow_mut().hold(self.id, bytes, now);
        match grant {
            ByteGrant::Granted => {
                if self.bytes.replace(bytes) > bytes {
                    self.clients.room_made.notify_waiters();
                }
                Ok(true)
            }
            ByteGrant::AfterClosing(closed) => {
                self.clients.close(&closed, CloseReason::MemoryShort);
                Ok(false)
            }
            ByteGrant::Refused => {
                self.clients.record(CloseReason::MemoryShort);
                Err(OutOfMemory)
            }
        }
    }

    /// Waits after bytes of a large message were read, so that the large messages of all clients leave time for
    /// the others.
    pub async fn pace(&self, bytes: usize) {
        let counted = bytes.max(MIN_PACED_BYTES);
        let pause = self.clients.pace.borrow_mut().record(counted, self.clients.now());
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }

    /// Ends the accounting of all bytes that are held for the client.
    pub fn release(&self) {
        // Fewer bytes are always granted.
        let _ = self.try_hold(0);
    }

    /// Returns the number of bytes held for the client.
    #[must_use]
    pub fn held(&self) -> usize {
        self.bytes.get()
    }

    /// Waits until the connection is to be closed. Must be polled before the work on the connection goes on,
    /// so that no request is begun after the decision.
    pub async fn closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.closing.reason.get() {
                return reason;
            }
            self.closing.requested.notified().await;
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.closings.borrow_mut().remove(&self.id);
        self.clients.table.borrow_mut().disconnect(self.id);
        self.clients.room_made.notify_waiters();
    }
}
