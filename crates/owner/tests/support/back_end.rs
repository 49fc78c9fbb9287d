//! A member that answers by script, with a record of all that ran on each connection.
//!
//! `write X` records X at the next position; `read` answers the member's name;
//! `big N` answers N rows; `hold` waits for [`FakeMember::open_gate`] or a cancel;
//! `echo X` answers X after a while that depends on X, whatever is cancelled;
//! `stray` answers once more than it was asked; `garble` answers no message;
//! `die` cuts the connection once after [`Script::die_once`] was set; `fail` is an error.

use bytes::BytesMut;
use pgwire::messages::data::DataRow;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{DecodeContext, PgWireBackendMessage, PgWireFrontendMessage};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the member does and what it has done.
#[derive(Default)]
pub struct Script {
    pub primary: bool,
    pub term: u64,
    pub index: u64,
    /// Position reported with reads, if it is to differ from `index`.
    pub read_index: Option<u64>,
    /// The next `die` cuts the connection once after [`Script::die_once`] was set; later ones complete.
    pub die_once: bool,
    pub barriers: usize,
    /// Values written and committed.
    pub written: Vec<String>,
    /// Statements by connection, in order.
    pub statements: Vec<(i32, String)>,
    pub connections: i32,
    /// Connections of callers that were opened.
    pub serving_connections: usize,
    /// Connections of callers that were closed.
    pub closed_connections: usize,
    /// Connections of callers allowed at once, if limited.
    pub connection_limit: Option<usize>,
    /// Connections of callers that were refused over the limit.
    pub refused_connections: usize,
    /// Names prepared, in order.
    pub prepared: Vec<String>,
}

struct Shared {
    name: String,
    script: Mutex<Script>,
    gate: watch::Sender<bool>,
    /// Probes and barriers wait while set.
    frozen: watch::Sender<bool>,
    cancelled: watch::Sender<i32>,
    /// Rises to cut the connections of callers that are open.
    cuts: watch::Sender<usize>,
    /// Rises with each statement.
    seen: watch::Sender<usize>,
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
            seen: watch::Sender::new(0),
        });
        shared.script.lock().unwrap().term = 1;
        let serving = Arc::clone(&shared);
        actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let shared = Arc::clone(&serving);
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

    /// Waits until this many barriers were asked for.
    pub async fn wait_for_barriers(&self, count: usize) {
        let mut seen = self.shared.seen.subscribe();
        while self.script().barriers < count {
            seen.changed().await.unwrap();
        }
    }

    /// Cuts the connections of callers that are open now.
    pub async fn cut_connections(&self) {
        let open = self.script().serving_connections;
        self.shared.cuts.send_modify(|cuts| *cuts += 1);
        self.wait_until(|script| script.closed_connections >= open).await;
    }

    pub fn open_gate(&self) {
        self.shared.gate.send_replace(true);
    }

    /// Waits until something of the script holds; looked at after each event.
    pub async fn wait_until(&self, holds: impl Fn(&Script) -> bool) {
        let mut seen = self.shared.seen.subscribe();
        while !holds(&self.script()) {
            seen.changed().await.unwrap();
        }
    }

    /// Waits until a statement was received this often.
    pub async fn wait_for_statement(&self, text: &str, count: usize) {
        let mut seen = self.shared.seen.subscribe();
        loop {
            let so_far = self.script().statements.iter().filter(|(_, s)| s == text).count();
            if so_far >= count {
                return;
            }
            seen.changed().await.unwrap();
        }
    }
}

struct Session {
    shared: Arc<Shared>,
    socket: TcpStream,
    number: i32,
    control: bool,
    /// Counted among the connections of callers.
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
            session.shared.seen.send_modify(|count| *count += 1);
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

    /// False when the connection is refused.
    fn start(&mut self, application_name: &str) -> bool {
        self.control = application_name == "corktack-control";
        self.serving = !self.control;
        if self.serving {
            self.script().serving_connections += 1;
            self.shared.seen.send_modify(|count| *count += 1);
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
        let over = !self.control && script.connection_limit.is_some_and(|limit| open > limit);
        script.refused_connections += usize::from(over);
        over
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

    async fn statement(&mut self, text: &str) -> Io<()> {
        if !text.starts_with("SHOW") {
            self.script().statements.push((self.number, text.to_owned()));
            self.shared.seen.send_modify(|count| *count += 1);
        }
        let (word, argument) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            self.error("25P02", "the transaction has failed");
            return Ok(());
        }
        match word {
            "SHOW" => self.show(argument).await,
            "write" => self.write(argument),
            "read" => self.read(),
            "big" => self.big(argument.parse().unwrap()),
            "hold" => self.hold().await,
            "die" if std::mem::take(&mut self.script().die_once) => {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            "die" => self.finish_read(),
            "echo" => self.echo(argument).await,
            "stray" => {
                self.complete("STRAY");
                self.ready();
                self.row(&["stray"]);
            }
            "garble" => self.output.extend_from_slice(&[b'D', 0, 0, 0, 0]),
            "fail" => self.error("22012", "as scripted"),
            "BEGIN" => {
                self.in_transaction = true;
                self.complete("BEGIN");
            }
            "COMMIT" => self.commit(),
            "ROLLBACK" => {
                self.end_transaction();
                self.complete("ROLLBACK");
            }
            "DISCARD" => {
                self.statements.clear();
                self.complete("DISCARD ALL");
            }
            _ => self.complete(word),
        }
        Ok(())
    }

    fn complete(&mut self, tag: &str) {
        self.put(PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())));
    }

    fn row(&mut self, columns: &[&str]) {
        let mut data = BytesMut::new();
        for column in columns {
            data.extend_from_slice(&(column.len() as i32).to_be_bytes());
            data.extend_from_slice(column.as_bytes());
        }
        self.put(PgWireBackendMessage::DataRow(DataRow::new(data, columns.len() as i16)));
    }

    fn error(&mut self, sqlstate: &str, text: &str) {
        self.failed = self.in_transaction;
        let fields = vec![(b'C', sqlstate.to_owned()), (b'M', text.to_owned())];
        self.put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    fn position(&mut self, index: u64) {
        let text = format!("{}/{index}", self.script().term);
        let name = "replication.position".to_owned();
        self.put(PgWireBackendMessage::ParameterStatus(ParameterStatus::new(name, text)));
    }

    async fn show(&mut self, what: &str) {
        if what == "replication.read_index" {
            self.script().barriers += 1;
            self.shared.seen.send_modify(|count| *count += 1);
        }
        let mut frozen = self.shared.frozen.subscribe();
        drop(frozen.wait_for(|frozen| !*frozen).await);
        let (primary, term, index) = {
            let script = self.script();
            (script.primary, script.term.to_string(), script.index)
        };
        let position = format!("{term}/{index}");
        if what == "replication.status" {
            let role = if primary { "primary" } else { "replica" };
            let name = self.shared.name.clone();
            self.row(&[&name, role, &term, &position, &position, ""]);
            return self.complete("SHOW");
        }
        if !primary {
            return self.error("25006", "not the primary");
        }
        self.row(&[&position]);
        self.complete("SHOW");
    }

    fn write(&mut self, value: &str) {
        if !self.script().primary {
            return self.error("25006", "not the primary");
        }
        self.pending.push(value.to_owned());
        if !self.in_transaction {
            self.apply();
        }
        self.complete("INSERT 0 1");
    }

    fn apply(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let index = {
            let mut script = self.script();
            script.index += 1;
            script.written.extend(pending);
            script.index
        };
        self.position(index);
    }

    fn commit(&mut self) {
        if self.failed {
            self.end_transaction();
            return self.complete("ROLLBACK");
        }
        self.apply();
        self.end_transaction();
        self.complete("COMMIT");
    }

    fn end_transaction(&mut self) {
        self.pending.clear();
        self.in_transaction = false;
        self.failed = false;
    }

    fn read(&mut self) {
        let name = self.shared.name.clone();
        self.row(&[&name]);
        self.finish_read();
    }

    fn big(&mut self, rows: usize) {
        let filler = "x".repeat(1_000);
        for _ in 0..rows {
            self.row(&[&filler]);
        }
        self.finish_read();
    }

    fn finish_read(&mut self) {
        if !self.in_transaction {
            let index = {
                let script = self.script();
                script.read_index.unwrap_or(script.index)
            };
            self.position(index);
        }
        self.complete("SELECT 1");
    }

    async fn echo(&mut self, text: &str) {
        for _ in 0..text.len() * 7 % 31 {
            tokio::task::yield_now().await;
        }
        self.row(&[text]);
        self.finish_read();
    }

    async fn hold(&mut self) {
        let mut gate = self.shared.gate.subscribe();
        let mut cancelled = self.shared.cancelled.subscribe();
        let number = self.number;
        let stopped = tokio::select! {
            _ = gate.wait_for(|open| *open) => false,
            _ = cancelled.wait_for(|pid| *pid == number) => true,
        };
        if stopped {
            return self.error("57014", "cancelled");
        }
        self.finish_read();
    }
}
