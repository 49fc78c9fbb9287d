//! A stand-in member, with a log position, a role, and a record of the statements that it got.

use crate::wire::{position, take_line};
use bytes::BytesMut;
use corktack_core::position::Position;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A statement that a member ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Index of the connection, in the order in which connections were accepted.
    pub connection: usize,
    /// Id of the caller's statement; empty for the gateway's own statements.
    pub id: String,
    pub text: String,
}

/// State of a member, which a test may change while the member runs.
#[derive(Debug)]
pub struct MemberState {
    pub primary: bool,
    /// Last position of the member's log.
    pub position: Position,
    /// Number of callers' statements, from now on, after which the connection is closed in place of the
    /// answer.
    pub answers_to_lose: usize,
    /// Whether the member is gone after the first lost answer.
    pub stops_after_lost_answer: bool,
    /// Number of callers' reads, from now on, that run and fail.
    pub reads_to_fail: usize,
    /// Number of callers' writes, from now on, that run and fail.
    pub writes_to_fail: usize,
    /// Number of the gateways' own begins, from now on, after which the connection is closed in place of the
    /// answer.
    pub begins_to_lose: usize,
    /// Whether writes and commits are answered without a position.
    pub omits_commit_positions: bool,
    /// Whether connections are closed, new ones before they are ready, as if a relay stood in front of a
    /// member that is gone.
    pub is_gone: bool,
    /// Time that a caller's statement takes, and the start of a connection.
    pub statement_time: Duration,
    /// Number of callers' statements in flight.
    pub running: usize,
    /// Most callers' statements that were in flight at once.
    pub most_running: usize,
    /// Most connections that may be open.
    pub connection_limit: usize,
    /// Number of open connections.
    pub open: usize,
    /// Principal or gateway for which each connection was opened, by the connection's index.
    pub opened_for: Vec<String>,
    /// Principals or gateways that requested a connection beyond the limit.
    pub refused_for: Vec<String>,
    /// Address at which the member listens. Connections to another address are closed, new ones before they
    /// are ready.
    pub address: SocketAddr,
    /// Number of connections accepted at any address.
    pub accepted: usize,
    /// Statements that ran, in order.
    pub statements: Vec<Ran>,
}

/// A running stand-in member.
#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub state: Rc<RefCell<MemberState>>,
}

impl Member {
    /// Starts a member whose log ends at the position `at`.
    pub async fn start(name: &str, primary: bool, at: &str) -> Self {
        let (listener, address) = bind();
        let state = MemberState {
            primary,
            position: position(at).expect("a position"),
            answers_to_lose: 0,
            stops_after_lost_answer: false,
            reads_to_fail: 0,
            writes_to_fail: 0,
            begins_to_lose: 0,
            omits_commit_positions: false,
            is_gone: false,
            statement_time: Duration::ZERO,
            running: 0,
            most_running: 0,
            connection_limit: 10,
            open: 0,
            opened_for: Vec::new(),
            refused_for: Vec::new(),
            address,
            accepted: 0,
            statements: Vec::new(),
        };
        let member = Self { name: name.to_owned(), address, state: Rc::new(RefCell::new(state)) };
        member.listen(listener);
        member
    }

    /// Moves the member to a new address; connections to the former one are no longer served.
    pub fn change_address(&mut self) {
        let (listener, address) = bind();
        self.address = address;
        self.state.borrow_mut().address = address;
        self.listen(listener);
    }

    fn listen(&self, listener: TcpListener) {
        let member = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = member.state.borrow_mut().next_connection();
                actix_rt::spawn(member.clone().serve(stream, connection));
            }
        });
    }

    /// Waits until a gateway has requested the member's position, which it does before the first statement,
    /// and clears the record of that request.
    pub async fn position_requested(&self) {
        let has_answered =
            |state: &MemberState| state.statements.last().is_some_and(|ran| ran.text == "rollback");
        while !has_answered(&self.state.borrow()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.state.borrow_mut().statements.clear();
    }

    /// Returns the texts of the callers' statements that ran.
    pub fn texts(&self) -> Vec<String> {
        let state = self.state.borrow();
        let callers = state.statements.iter().filter(|ran| !ran.id.is_empty());
        callers.map(|ran| ran.text.clone()).collect()
    }

    /// Returns the texts of all statements on the connection of a caller's statement, up to and including it.
    pub fn on_connection_of(&self, id: &str) -> Vec<String> {
        let state = self.state.borrow();
        let Some(index) = state.statements.iter().position(|ran| ran.id == id) else {
            return Vec::new();
        };
        let connection = state.statements[index].connection;
        let up_to_it = state.statements[..=index].iter().filter(|ran| ran.connection == connection);
        up_to_it.map(|ran| ran.text.clone()).collect()
    }

    /// Returns the principal or gateway for which the connection of a caller's statement was opened.
    pub fn principal_of(&self, id: &str) -> String {
        let state = self.state.borrow();
        let ran = state.statements.iter().find(|ran| ran.id == id).expect("the statement ran here");
        state.opened_for[ran.connection].clone()
    }

    async fn serve(self, mut stream: TcpStream, connection: usize) {
        self.state.borrow_mut().open += 1;
        let mut buffer = BytesMut::new();
        let mut in_transaction = false;
        loop {
            while let Some(line) = take_line(&mut buffer) {
                let answer = self.answer(&line, connection, &mut in_transaction);
                if line.starts_with("start") {
                    let work = self.state.borrow().statement_time;
                    tokio::time::sleep(work).await;
                } else if !line.starts_with("query||") {
                    self.work().await;
                }
                match answer {
                    Some(answer) => drop(stream.write_all(answer.as_bytes()).await),
                    None => {
                        self.state.borrow_mut().open -= 1;
                        return;
                    }
                }
            }
            if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                self.state.borrow_mut().open -= 1;
                return;
            }
        }
    }

    async fn work(&self) {
        let work = {
            let mut state = self.state.borrow_mut();
            state.running += 1;
            state.most_running = state.most_running.max(state.running);
            state.statement_time
        };
        tokio::time::sleep(work).await;
        self.state.borrow_mut().running -= 1;
    }

    /// Returns the answer to a line; none closes the connection.
    fn answer(&self, line: &str, connection: usize, in_transaction: &mut bool) -> Option<String> {
        let mut state = self.state.borrow_mut();
        let fields: Vec<&str> = line.split('|').collect();
        let (id, after, text) = match fields.as_slice() {
            _ if state.is_gone || state.address != self.address => return None,
            ["start", _, who, ..] if state.open > state.connection_limit => {
                state.refused_for.push((*who).to_owned());
                return Some("error|toomany|no more\n".to_owned());
            }
            ["start", _, who, name] if *name == self.name => {
                state.opened_for.push((*who).to_owned());
                return Some(format!(
                    "ready|idle|{}.{}\n",
                    state.position.term, state.position.index
                ));
            }
            ["query", id, after, text] => (*id, position(after), *text),
            _ => return None,
        };
        let ran = Ran { connection, id: id.to_owned(), text: text.to_owned() };
        if let Some(code) = state.refusal(after, text) {
            let now = if *in_transaction { "failed" } else { "idle" };
            return Some(format!("error|{code}|{}\nready|{now}|\n", self.name));
        }
        state.statements.push(ran);
        if !id.is_empty() && state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            state.is_gone |= state.stops_after_lost_answer;
            return None;
        }
        if id.is_empty() && text == "begin" && state.begins_to_lose > 0 {
            state.begins_to_lose -= 1;
            return None;
        }
        if state.is_to_fail(text) {
            let now = if *in_transaction { "failed" } else { "idle" };
            return Some(format!("error|failed|{}\nready|{now}|\n", self.name));
        }
        if text.starts_with("write") {
            state.position.index += 1;
        }
        match text {
            "begin" | "begin read" => *in_transaction = true,
            "commit" | "rollback" => *in_transaction = false,
            _ => (),
        }
        let now = if *in_transaction { "open" } else { "idle" };
        let row = if text.starts_with("read") {
            format!("row|of {}\n", self.name)
        } else {
            String::new()
        };
        let commits = text.starts_with("write") || text == "commit";
        let position = if state.omits_commit_positions && commits {
            String::new()
        } else {
            format!("{}.{}", state.position.term, state.position.index)
        };
        Some(format!("{row}complete|by-{}\nready|{now}|{position}\n", self.name))
    }
}

fn bind() -> (TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.set_nonblocking(true).expect("a socket of the runtime");
    let listener = TcpListener::from_std(listener).expect("a socket of the runtime");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

impl MemberState {
    /// Returns the index of a connection that was just accepted.
    fn next_connection(&mut self) -> usize {
        let connection = self.accepted;
        self.accepted += 1;
        connection
    }

    /// Reports whether a statement is to fail, and counts the failure.
    fn is_to_fail(&mut self, text: &str) -> bool {
        let remaining = match text {
            _ if text.starts_with("read") => &mut self.reads_to_fail,
            _ if text.starts_with("write") => &mut self.writes_to_fail,
            _ => return false,
        };
        let fails = *remaining > 0;
        *remaining -= usize::from(fails);
        fails
    }

    /// Returns the code with which the member refuses a statement without running it.
    fn refusal(&self, after: Option<Position>, text: &str) -> Option<&'static str> {
        let writes = text == "begin" || text.starts_with("write");
        if writes && !self.primary {
            return Some("readonly");
        }
        let is_behind = after.is_some_and(|after| {
            (after.term, after.index) > (self.position.term, self.position.index)
        });
        is_behind.then_some("lagging")
    }
}
