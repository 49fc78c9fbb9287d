//! A scripted member that records every statement that ran on each connection.
//!
//! Its statements: `write X` records X at the next position; `read` answers with the member's name; `big N`
//! answers with N rows of 1 kB; `hold` waits for [`FakeMember::open_gate`] or a cancel; `huge` answers with a
//! row of 9 MiB; `echo X` answers with X after a delay that depends on X, and ignores cancels; `stray` sends
//! one more message after its answer; `garble` sends bytes that are not a valid message; `die` cuts the
//! connection once after [`Script::die_once`] was set; `fail` answers with an error.

mod statements;

use bytes::BytesMut;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State that controls the member, and the record of its work.
#[derive(Default)]
pub struct Script {
    pub primary: bool,
    pub term: u64,
    pub index: u64,
    /// Index of the position reported with reads, if different from `index`.
    pub read_index: Option<u64>,
    /// Whether the next `die` cuts its connection; later ones complete.
    pub die_once: bool,
    pub barriers: usize,
    /// Values written and committed.
    pub written: Vec<String>,
    /// Statements by connection, in order.
    pub statements: Vec<(i32, String)>,
    pub connections: i32,
    /// Number of connections for callers that were opened.
    pub serving_connections: usize,
    /// Number of connections for callers that were closed.
    pub closed_connections: usize,
    /// Limit of simultaneous connections for callers, if any.
    pub connection_limit: Option<usize>,
    /// Number of connections for callers refused over the limit.
    pub refused_connections: usize,
    /// Names of the prepared statements, in order.
    pub prepared: Vec<String>,
}

struct Shared {
    name: String,
    script: Mutex<Script>,
    gate: watch::Sender<bool>,
    /// Whether answers to probes and barriers are held back.
    frozen: watch::Sender<bool>,
    cancelled: watch::Sender<i32>,
    /// Counter whose increase cuts the open connections.
    cuts: watch::Sender<usize>,
    /// Counter that increases with each recorded event.
    events: watch::Sender<usize>,
}

#[derive(Clone)]
pub struct FakeMember {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl FakeMember {
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            script: Mutex::default(),
            gate: watch::Sender::new(false),
            frozen: watch::Sender::new(false),
            cancelled: watch::Sender::new(0),
            cuts: watch::Sender::new(0),
            events: watch::Sender::new(0),
        });
        shared.script.lock().unwrap().term = 1;
        let accepting = Arc::clone(&shared);
        actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let shared = Arc::clone(&accepting);
                actix_rt::spawn(async move { drop(Session::serve(shared, socket).await) });
            }
        });
        Self { shared, address }
    }

    pub fn name(&self) -> &str {
        &self.shared.name
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn script(&self) -> MutexGuard<'_, Script> {
        self.shared.script.lock().unwrap()
    }

    pub fn set_primary(&self, term: u64) {
        let mut script = self.script();
        script.primary = true;
        script.term = term;
    }

    pub fn set_replica(&self, term: u64) {
        let mut script = self.script();
        script.primary = false;
        script.term = term;
    }

    pub fn freeze(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Waits until this many barriers were requested.
    pub async fn wait_for_barriers(&self, count: usize) {
        let mut events = self.shared.events.subscribe();
        while self.script().barriers < count {
            events.changed().await.unwrap();
        }
    }

    /// Cuts all open connections, and waits until those for callers are closed.
    pub async fn cut_connections(&self) {
        let open = self.script().serving_connections;
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
        self.wait_until(|script| script.closed_connections >= open).await;
    }

    pub fn open_gate(&self) {
        self.shared.gate.send_replace(true);
    }

    /// Waits until a condition on the script holds, checking it after each event.
    pub async fn wait_until(&self, condition: impl Fn(&Script) -> bool) {
        let mut events = self.shared.events.subscribe();
        while !condition(&self.script()) {
            events.changed().await.unwrap();
        }
    }

    /// Waits until a statement was received `count` times.
    pub async fn wait_for_statement(&self, text: &str, count: usize) {
        let mut events = self.shared.events.subscribe();
        loop {
            let received =
                self.script().statements.iter().filter(|(_, statement)| statement == text).count();
            if received >= count {
                return;
            }
            events.changed().await.unwrap();
        }
    }
}

struct Session {
    shared: Arc<Shared>,
    socket: TcpStream,
    number: i32,
    control: bool,
    /// Whether the connection counts as one for callers.
    serving: bool,
    in_transaction: bool,
    failed: bool,
    pending: Vec<String>,
    statements: HashMap<String, String>,
    bound: String,
    output: BytesMut,
}

type Io<T> = std::io::Result<T>;

impl Session {
    async fn serve(shared: Arc<Shared>, socket: TcpStream) -> Io<()> {
        let number = {
            let mut script = shared.script.lock().unwrap();
            script.connections += 1;
            script.connections
        };
        let mut session = Self {
            shared,
            socket,
            number,
            control: false,
            serving: false,
            in_transaction: false,
            failed: false,
            pending: Vec::new(),
            statements: HashMap::new(),
            bound: String::new(),
            output: BytesMut::new(),
        };
        let mut cuts = session.shared.cuts.subscribe();
        let result = tokio::select! {
            result = session.run() => Some(result),
            _ = cuts.changed() => None,
        };
        drop(session.socket);
        if session.serving {
            session.shared.script.lock().unwrap().closed_connections += 1;
            session.shared.events.send_modify(|count| *count += 1);
        }
        result.unwrap_or(Ok(()))
    }

    fn put(&mut self, message: PgWireBackendMessage) {
        message.encode(&mut self.output).unwrap();
    }

    fn script(&self) -> MutexGuard<'_, Script> {
        self.shared.script.lock().unwrap()
    }

    async fn run(&mut self) -> Io<()> {
        let mut context = DecodeContext::default();
        let mut input = BytesMut::new();
        loop {
            while let Some(message) = PgWireFrontendMessage::decode(&mut input, &context)
                .map_err(std::io::Error::other)?
            {
                match message {
                    PgWireFrontendMessage::SslNegotiation(_) => {
                        context.awaiting_frontend_ssl = false;
                    }
                    PgWireFrontendMessage::Startup(startup) => {
                        context.awaiting_frontend_startup = false;
                        if !self.start(&startup.parameters["application_name"]) {
                            let output = self.output.split();
                            return self.socket.write_all(&output).await;
                        }
                    }
                    PgWireFrontendMessage::CancelRequest(cancel) => {
                        self.shared.cancelled.send_replace(cancel.pid);
                        return Ok(());
                    }
                    other => self.message(other).await?,
                }
                let output = self.output.split();
                self.socket.write_all(&output).await?;
            }
            if self.socket.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Answers the startup message; returns false when the connection is refused.
    fn start(&mut self, application_name: &str) -> bool {
        self.control = application_name == "corktack-control";
        self.serving = !self.control;
        if self.serving {
            self.script().serving_connections += 1;
            self.shared.events.send_modify(|count| *count += 1);
        }
        if self.is_over_limit() {
            self.error("53300", "too many connections");
            return false;
        }
        let key = BackendKeyData::new(self.number, SecretKey::I32(77));
        self.put(PgWireBackendMessage::Authentication(Authentication::Ok));
        self.put(PgWireBackendMessage::BackendKeyData(key));
        self.ready();
        true
    }

    fn is_over_limit(&self) -> bool {
        let mut script = self.script();
        let open = script.serving_connections - script.closed_connections;
        let is_over = !self.control && script.connection_limit.is_some_and(|limit| open > limit);
        script.refused_connections += usize::from(is_over);
        is_over
    }

    fn ready(&mut self) {
        let status = match (self.in_transaction, self.failed) {
            (false, _) => TransactionStatus::Idle,
            (true, false) => TransactionStatus::Transaction,
            (true, true) => TransactionStatus::Error,
        };
        self.put(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
    }

    async fn message(&mut self, message: PgWireFrontendMessage) -> Io<()> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.statement(&query.query).await?;
                self.ready();
            }
            PgWireFrontendMessage::Parse(parse) => {
                let name = parse.name.unwrap_or_default();
                self.script().prepared.push(name.clone());
                self.statements.insert(name, parse.query);
                self.put(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            }
            PgWireFrontendMessage::Bind(bind) => {
                let name = bind.statement_name.unwrap_or_default();
                self.bound = self.statements[&name].clone();
                self.put(PgWireBackendMessage::BindComplete(BindComplete::new()));
            }
            PgWireFrontendMessage::Close(_) => {
                self.put(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
            }
            PgWireFrontendMessage::Execute(_) => {
                let text = self.bound.clone();
                self.statement(&text).await?;
            }
            PgWireFrontendMessage::Sync(_) => self.ready(),
            _ => {}
        }
        Ok(())
    }
}
