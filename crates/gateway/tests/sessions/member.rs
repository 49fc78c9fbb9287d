//! A stand-in member: a log position, a role, and what ran on it.

use crate::wire::{position, take_line};
use bytes::BytesMut;
use corktack_core::position::Position;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A statement as a member got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Number of the connection.
    pub connection: usize,
    /// Empty for the product's own statements.
    pub id: String,
    pub text: String,
}

/// What a test may change while the member runs.
#[derive(Debug)]
pub struct MemberState {
    pub primary: bool,
    pub at: Position,
    /// Statements of callers whose connection is closed in place of the answer.
    pub answers_to_lose: usize,
    /// Whether it is gone once it has lost an answer.
    pub goes_with_an_answer: bool,
    /// Reads of callers that run and fail.
    pub reads_to_fail: usize,
    /// Writes of callers that run and fail.
    pub writes_to_fail: usize,
    /// Begins of the product's own whose connection is closed in place of the answer.
    pub begins_to_lose: usize,
    /// Whether writes and commits are answered without a position.
    pub hides_commits: bool,
    /// Whether connections are closed, new ones before they are ready: a relay stands before a
    /// member that is gone.
    pub gone: bool,
    /// Time that a statement of a caller takes.
    pub work: Duration,
    /// Statements of callers under way now, and the most there were.
    pub running: usize,
    pub most_running: usize,
    /// Connections that may be open.
    pub connection_limit: usize,
    pub open: usize,
    /// Who each connection was opened for, in order.
    pub opened_for: Vec<String>,
    /// Who asked for a connection beyond the limit.
    pub refused_for: Vec<String>,
    /// Where it listens; connections to another address are closed, new ones before they are ready.
    pub address: SocketAddr,
    /// Connections accepted at any address.
    pub accepted: usize,
    pub ran: Vec<Ran>,
}

#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub state: Rc<RefCell<MemberState>>,
}

impl Member {
    pub async fn start(name: &str, primary: bool, at: &str) -> Self {
        let (listener, address) = bind();
        let state = MemberState {
            primary,
            at: position(at).expect("a position"),
            answers_to_lose: 0,
            goes_with_an_answer: false,
            reads_to_fail: 0,
            writes_to_fail: 0,
            begins_to_lose: 0,
            hides_commits: false,
            gone: false,
            work: Duration::ZERO,
            running: 0,
            most_running: 0,
            connection_limit: 10,
            open: 0,
            opened_for: Vec::new(),
            refused_for: Vec::new(),
            address,
            accepted: 0,
            ran: Vec::new(),
        };
        let member = Self { name: name.to_owned(), address, state: Rc::new(RefCell::new(state)) };
        member.listen(listener);
        member
    }

    /// Listens at a new address from now on, and no longer serves connections to the one before.
    pub fn change_address(&mut self) {
        let (listener, address) = bind();
        self.address = address;
        self.state.borrow_mut().address = address;
        self.listen(listener);
    }

    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = serving.state.borrow_mut().next_connection();
                actix_rt::spawn(serving.clone().serve(stream, connection));
            }
        });
    }

    /// Waits until a gateway has asked for its position, which it does before the first statement, and
    /// forgets that.
    pub async fn asked(&self) {
        let has_answered =
            |state: &MemberState| state.ran.last().is_some_and(|ran| ran.text == "rollback");
        while !has_answered(&self.state.borrow()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.state.borrow_mut().ran.clear();
    }

    /// What callers' statements ran, by text.
    pub fn texts(&self) -> Vec<String> {
        let state = self.state.borrow();
        let callers = state.ran.iter().filter(|ran| !ran.id.is_empty());
        callers.map(|ran| ran.text.clone()).collect()
    }

    /// Everything that came on the connection of a caller's statement, before and with it.
    pub fn on_connection_of(&self, id: &str) -> Vec<String> {
        let state = self.state.borrow();
        let Some(place) = state.ran.iter().position(|ran| ran.id == id) else { return Vec::new() };
        let connection = state.ran[place].connection;
        let upto = state.ran[..=place].iter().filter(|ran| ran.connection == connection);
        upto.map(|ran| ran.text.clone()).collect()
    }

    /// Who the connection of a caller's statement was opened for.
    pub fn ran_for(&self, id: &str) -> String {
        let state = self.state.borrow();
        let ran = state.ran.iter().find(|ran| ran.id == id).expect("the statement ran here");
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
                    let work = self.state.borrow().work;
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
            state.work
        };
        tokio::time::sleep(work).await;
        self.state.borrow_mut().running -= 1;
    }

    /// The answer to a line; none closes the connection.
    fn answer(&self, line: &str, connection: usize, in_transaction: &mut bool) -> Option<String> {
        let mut state = self.state.borrow_mut();
        let fields: Vec<&str> = line.split('|').collect();
        let (id, after, text) = match fields.as_slice() {
            _ if state.gone || state.address != self.address => return None,
            ["start", _, who, ..] if state.open > state.connection_limit => {
                state.refused_for.push((*who).to_owned());
                return Some("error|toomany|no more\n".to_owned());
            }
            ["start", _, who, name] if *name == self.name => {
                state.opened_for.push((*who).to_owned());
                return Some(format!("ready|idle|{}.{}\n", state.at.term, state.at.index));
            }
            ["query", id, after, text] => (*id, position(after), *text),
            _ => return None,
        };
        let ran = Ran { connection, id: id.to_owned(), text: text.to_owned() };
        if let Some(code) = state.refusal(after, text) {
            let now = if *in_transaction { "failed" } else { "idle" };
            return Some(format!("error|{code}|{}\nready|{now}|\n", self.name));
        }
        state.ran.push(ran);
        if !id.is_empty() && state.answers_to_lose > 0 {
            state.answers_to_lose -= 1;
            state.gone |= state.goes_with_an_answer;
            return None;
        }
        if id.is_empty() && text == "begin" && state.begins_to_lose > 0 {
            state.begins_to_lose -= 1;
            return None;
        }
        if state.takes_failure(text) {
            let now = if *in_transaction { "failed" } else { "idle" };
            return Some(format!("error|failed|{}\nready|{now}|\n", self.name));
        }
        if text.starts_with("write") {
            state.at.index += 1;
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
        let position = if state.hides_commits && commits {
            String::new()
        } else {
            format!("{}.{}", state.at.term, state.at.index)
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
    /// The number of a connection that was accepted.
    fn next_connection(&mut self) -> usize {
        let connection = self.accepted;
        self.accepted += 1;
        connection
    }

    /// Whether a statement is one of those that are to fail.
    fn takes_failure(&mut self, text: &str) -> bool {
        let left = match text {
            _ if text.starts_with("read") => &mut self.reads_to_fail,
            _ if text.starts_with("write") => &mut self.writes_to_fail,
            _ => return false,
        };
        let fails = *left > 0;
        *left -= usize::from(fails);
        fails
    }

    fn refusal(&self, after: Option<Position>, text: &str) -> Option<&'static str> {
        let writes = text == "begin" || text.starts_with("write");
        if writes && !self.primary {
            return Some("readonly");
        }
        let lacks =
            after.is_some_and(|after| (after.term, after.index) > (self.at.term, self.at.index));
        lacks.then_some("lagging")
    }
}
