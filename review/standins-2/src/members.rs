//! Stand-in members of one service: the wire, the log and its way to the replicas, and the heartbeats.
//!
//! They behave like sound servers where the pages say nothing: a statement takes a slot, replicas receive
//! each commit over the network, a synchronous commit is answered once one replica has received it.

use crate::fleet::{Fleet, Node, MEMBER_PORT};
use crate::net::{call, text_field, Record};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Statements that a member runs at once, and those that may wait.
const SLOTS: usize = 5;
const QUEUE: usize = 40;
/// Time that a commit takes to a replica, one way between regions.
const NETWORK_DELAY: Duration = Duration::from_millis(8);
/// Time that a new connection takes in a slot.
const HANDSHAKE: Duration = Duration::from_millis(12);
/// Time from the promotion call until the member leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub at: Instant,
    /// Id of the client's statement.
    pub id: String,
}

/// One member.
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub node: Node,
    pub up: bool,
    pub primary: bool,
    pub draining: bool,
    /// Whether it receives nothing.
    pub deaf: bool,
    held_term: u64,
    pub log: Vec<Entry>,
    sequence: u64,
    busy: usize,
    waiting: usize,
    /// Whether it tells the system that it is there.
    pub beats: bool,
    pub drain_acknowledged: Option<Instant>,
    epoch: u64,
    streams: Vec<TcpStream>,
}

pub struct State {
    pub term: u64,
    pub members: Vec<Member>,
    /// What each promotion made the log of the new primary, with the time.
    pub promotions: Vec<(Instant, String, Vec<String>)>,
    /// Arrivals of clients' statements: id, member, when it arrived, when its run ended.
    pub arrivals: BTreeMap<String, (String, Instant, Option<Instant>)>,
    /// The log that each read of a client ran on: id of the read, member, ids of the commits.
    pub reads: BTreeMap<String, (String, Vec<String>)>,
}

/// A service with its members.
pub struct Group {
    pub service: String,
    pub synchronous: bool,
    pub work: Duration,
    pub record: Record,
    pub state: Mutex<State>,
    changed: Condvar,
}

impl Group {
    pub fn new(fleet: &Fleet, service: &str, synchronous: bool, work: Duration) -> Arc<Self> {
        let began = Instant::now();
        let members = (0..3).map(|number| Member {
            id: format!("i-{number}a{number}"),
            address: fleet.address(Node::Member(number), MEMBER_PORT),
            node: Node::Member(number),
            up: true,
            primary: number == 0,
            draining: false,
            deaf: false,
            held_term: 0,
            log: vec![Entry { term: 1, at: began, id: "first".to_owned() }],
            sequence: 0,
            busy: 0,
            waiting: 0,
            beats: true,
            drain_acknowledged: None,
            epoch: 0,
            streams: Vec::new(),
        });
        let members = members.collect();
        let state = State {
            term: 1,
            members,
            promotions: Vec::new(),
            arrivals: BTreeMap::new(),
            reads: BTreeMap::new(),
        };
        let group = Arc::new(Self {
            service: service.to_owned(),
            synchronous,
            work,
            record: fleet.record.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        for number in 0..3 {
            let serving = Arc::clone(&group);
            std::thread::spawn(move || serving.listen(number));
        }
        let replicating = Arc::clone(&group);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(1));
            replicating.replicate();
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Moves entries of the primary to the replicas that receive.
    fn replicate(&self) {
        let mut state = self.lock();
        let Some(leader) = state.members.iter().position(|it| it.primary && it.up) else { return };
        let log = std::mem::take(&mut state.members[leader].log);
        let now = Instant::now();
        for (number, replica) in state.members.iter_mut().enumerate() {
            if number == leader || !replica.up || replica.deaf || replica.held_term > 0 {
                continue;
            }
            let same = |(left, right): &(&Entry, &Entry)| left == right;
            let mut common = replica.log.len();
            if log.len() < common || common.checked_sub(1).is_some_and(|at| log[at] != replica.log[at]) {
                common = log.iter().zip(&replica.log).take_while(same).count();
            }
            replica.log.truncate(common);
            let due = log[common..].iter().take_while(|entry| now >= entry.at + NETWORK_DELAY);
            replica.log.extend(due.cloned());
        }
        state.members[leader].log = log;
        drop(state);
        self.changed.notify_all();
    }

    /// A member crashes: it accepts nothing and its connections end.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        let member = &mut state.members[number];
        member.up = false;
        member.beats = false;
        member.epoch += 1;
        for stream in member.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// A member that crashed returns with its log; as a replica if another has been promoted.
    pub fn come_back(&self, number: usize, id: Option<String>) {
        let mut state = self.lock();
        let led = state.members[number].primary;
        let other = state.members.iter().enumerate().any(|(at, it)| at != number && it.primary);
        let member = &mut state.members[number];
        member.primary = led && !other;
        member.up = true;
        member.beats = true;
        member.draining = false;
        member.drain_acknowledged = None;
        member.held_term = 0;
        if let Some(id) = id {
            member.id = id;
            member.sequence = 0;
        }
    }

    /// Carries a promotion out some hundred ms later; reports whether the member is running.
    pub fn begin_promotion(self: &Arc<Self>, id: &str) -> bool {
        let state = self.lock();
        let Some(member) = state.members.iter().find(|it| it.id == id && it.up) else { return false };
        if member.primary {
            return true;
        }
        drop(state);
        let (group, id) = (Arc::clone(self), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE_TIME);
            group.promote(&id);
        });
        true
    }

    fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(chosen) = state.members.iter().position(|it| it.id == id && it.up) else { return };
        if state.members[chosen].primary {
            return;
        }
        state.term += 1;
        for (number, member) in state.members.iter_mut().enumerate() {
            member.primary = number == chosen;
            member.held_term = 0;
        }
        let log = state.members[chosen].log.clone();
        for member in state.members.iter_mut().filter(|it| it.up) {
            let common = log.iter().zip(&member.log).take_while(|(left, right)| left == right).count();
            member.log.truncate(common);
        }
        let ids = log.iter().map(|entry| entry.id.clone()).collect();
        let term = state.term;
        state.promotions.push((Instant::now(), id.to_owned(), ids));
        drop(state);
        self.record.line(format!("member {id} leads term {term} with {} commits", log.len()));
        self.changed.notify_all();
    }

    fn listen(self: Arc<Self>, number: usize) {
        let address = self.lock().members[number].address;
        loop {
            if !self.lock().members[number].up {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Ok(listener) = TcpListener::bind(address) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while self.lock().members[number].up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let group = Arc::clone(&self);
                        std::thread::spawn(move || Connection::serve(group, number, stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => break,
                }
            }
        }
    }

    /// Sends the heartbeats of a member until the run ends; a change of its role or state at once.
    pub fn beat(self: Arc<Self>, fleet: Arc<Fleet>, number: usize) {
        std::thread::spawn(move || {
            let mut told: Option<(String, bool, bool)> = None;
            let mut next = Instant::now();
            let mut target: Option<SocketAddr> = None;
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let (id, body, now_told) = {
                    let mut state = self.lock();
                    let member = &mut state.members[number];
                    if !member.beats {
                        told = None;
                        continue;
                    }
                    let now_told = (member.id.clone(), member.primary, member.draining);
                    if told.as_ref() == Some(&now_told) && Instant::now() < next {
                        continue;
                    }
                    member.sequence += 1;
                    (member.id.clone(), heartbeat(&self.service, member), now_told)
                };
                let at = target.take().unwrap_or_else(|| fleet.any_core());
                let path = format!("/v1/instances/{id}");
                match call(at, "PUT", &path, &body, Duration::from_secs(1)) {
                    Some((200..=299, answer)) => {
                        let named = text_field(&answer, "heartbeat_address");
                        target = named.and_then(|address| address.parse().ok());
                        if now_told.2 {
                            let mut state = self.lock();
                            let member = &mut state.members[number];
                            if member.drain_acknowledged.is_none() {
                                member.drain_acknowledged = Some(Instant::now());
                                self.record.line(format!("{at} acknowledges {id} as draining"));
                            }
                        }
                        told = Some(now_told);
                        next = Instant::now() + HEARTBEAT;
                    }
                    _ => std::thread::sleep(Duration::from_millis(50)),
                }
            }
        });
    }

    /// A member leaves for good: `DELETE`, acknowledged.
    pub fn delete(&self, fleet: &Fleet, number: usize) -> bool {
        let id = self.lock().members[number].id.clone();
        for _ in 0..20 {
            let at = fleet.any_core();
            let path = format!("/v1/instances/{id}");
            if let Some((200..=299, _)) = call(at, "DELETE", &path, "", Duration::from_secs(1)) {
                self.record.line(format!("{at} acknowledges DELETE of {id}"));
                return true;
            }
        }
        false
    }
}

fn heartbeat(service: &str, member: &Member) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
         \"state\":\"{}\",\"warmup_remaining_ms\":0,\"database_role\":\"{}\",\"sequence\":{}}}",
        member.address,
        member.node.zone().0,
        if member.draining { "draining" } else { "ready" },
        if member.primary { "primary" } else { "replica" },
        member.sequence
    )
}

#[derive(Default)]
struct Transaction {
    read_only: bool,
    term: u64,
    writes: Vec<String>,
}

/// A connection to a member.
struct Connection {
    group: Arc<Group>,
    number: usize,
    epoch: u64,
    stream: TcpStream,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
    failed: bool,
}

type Answer = Option<String>;

impl Connection {
    fn serve(group: Arc<Group>, number: usize, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        let epoch = {
            let mut state = group.lock();
            let member = &mut state.members[number];
            member.streams.push(stream.try_clone().ok()?);
            member.epoch
        };
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let (prepared, transaction, failed) = (BTreeMap::new(), None, false);
        let mut connection = Self { group, number, epoch, stream, prepared, transaction, failed };
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
            let line = line.trim_end_matches(['\r', '\n']).to_owned();
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let answer = match word {
                "START" => connection.start(rest),
                "QUERY" => connection.query(rest),
                _ => None,
            }?;
            if connection.group.lock().members[number].epoch != epoch {
                return None;
            }
            connection.stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn start(&mut self, fields: &str) -> Answer {
        let fields: Vec<&str> = fields.split(' ').collect();
        let id = self.group.lock().members[self.number].id.clone();
        let wanted = fields.get(2).is_none_or(|wanted| *wanted == id);
        if fields.first() != Some(&self.group.service.as_str()) || !wanted {
            return Some(format!("ERROR MISROUTED {id}\r\n"));
        }
        self.in_slot(HANDSHAKE);
        Some(self.ready())
    }

    /// Waits for a slot and works in it; reports whether there was room.
    fn in_slot(&mut self, work: Duration) -> bool {
        let group = Arc::clone(&self.group);
        let mut state = group.lock();
        if state.members[self.number].waiting >= QUEUE {
            return false;
        }
        state.members[self.number].waiting += 1;
        while state.members[self.number].busy >= SLOTS {
            let timed = group.changed.wait_timeout(state, Duration::from_millis(5)).unwrap();
            state = timed.0;
        }
        state.members[self.number].waiting -= 1;
        state.members[self.number].busy += 1;
        drop(state);
        std::thread::sleep(work);
        group.lock().members[self.number].busy -= 1;
        group.changed.notify_all();
        true
    }

    fn ready(&self) -> String {
        let state = match (&self.transaction, self.failed) {
            (_, true) => "E",
            (Some(_), false) => "T",
            (None, false) => "I",
        };
        let all = self.group.lock();
        let log = &all.members[self.number].log;
        let term = log.last().map_or(1, |entry| entry.term);
        format!("READY {state} {term}.{}\r\n", log.len())
    }

    fn complete(&self, signature: &str) -> Answer {
        Some(format!("COMPLETE {signature}\r\n{}", self.ready()))
    }

    fn refuse(&mut self, code: &str) -> Answer {
        self.failed = self.transaction.is_some();
        let id = self.group.lock().members[self.number].id.clone();
        Some(format!("ERROR {code} {id}\r\n{}", self.ready()))
    }

    fn query(&mut self, fields: &str) -> Answer {
        let (id, rest) = fields.split_once(' ')?;
        let (after, text) = match rest.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map(|(after, text)| (Some(after), text))?,
            None => (None, rest),
        };
        if self.failed && text != "ROLLBACK" && text != "COMMIT" {
            return self.refuse("MALFORMED");
        }
        if after.is_some_and(|after| self.lacks(after)) {
            return self.refuse("LAGGING");
        }
        if id == "-" {
            self.own(text)
        } else {
            self.clients(id, text)
        }
    }

    fn lacks(&self, position: &str) -> bool {
        let Some((term, number)) = position.split_once('.') else { return true };
        let (Ok(term), Ok(number)) = (term.parse::<u64>(), number.parse::<usize>()) else { return true };
        let state = self.group.lock();
        let log = &state.members[self.number].log;
        number > 0 && log.get(number - 1).is_none_or(|entry| entry.term != term)
    }

    fn leads(&self) -> bool {
        self.group.lock().members[self.number].primary
    }

    fn own(&mut self, text: &str) -> Answer {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.leads() {
                    return self.refuse("READONLY");
                }
                let term = self.group.lock().term;
                self.transaction = Some(Transaction { read_only, term, writes: Vec::new() });
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
            }
            "RESET" => self.prepared.clear(),
            "SET" => (),
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                self.prepared.insert(name.to_owned(), shape.to_owned());
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => return self.status(word, rest),
            _ => return self.refuse("MALFORMED"),
        }
        self.complete("-")
    }

    fn status(&mut self, word: &str, rest: &str) -> Answer {
        let row = {
            let mut state = self.group.lock();
            let newest = state.term;
            let member = &mut state.members[self.number];
            match (word, rest.parse::<u64>()) {
                ("PAUSE", Ok(term)) if term > newest => member.held_term = term,
                ("RESUME", _) => member.held_term = 0,
                _ => (),
            }
            let role = if member.primary { "primary" } else { "replica" };
            let term = member.log.last().map_or(1, |entry| entry.term);
            format!("{role} {newest} {term}.{} {} 0 0 0", member.log.len(), member.held_term)
        };
        let answer = self.complete("-")?;
        Some(format!("ROW {row}\r\n{answer}"))
    }

    fn clients(&mut self, id: &str, text: &str) -> Answer {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let writes = match word {
            "EXECUTE" => {
                let name = rest.split(' ').next().unwrap_or("");
                match self.prepared.get(name) {
                    Some(shape) => shape.starts_with("WRITE"),
                    None => return self.refuse("NOSTMT"),
                }
            }
            "WRITE" => true,
            _ => false,
        };
        {
            let mut state = self.group.lock();
            let member = state.members[self.number].id.clone();
            self.group.record.line(format!("{member} gets QUERY {id} {text}"));
            state.arrivals.insert(id.to_owned(), (member, Instant::now(), None));
        }
        // The huts' sheet: a read takes 55 ms, a write or commit 11 ms.
        let work = if writes || word == "COMMIT" { self.group.work / 5 } else { self.group.work };
        if !self.in_slot(work) {
            return self.refuse("BUSY");
        }
        let stale = self.transaction.as_ref().is_some_and(|open| !open.read_only) && !self.leads();
        if (writes && (!self.leads() || self.transaction.as_ref().is_some_and(|it| it.read_only))) || stale {
            return self.refuse("READONLY");
        }
        let answer = match word {
            "COMMIT" => {
                let open = self.transaction.take().unwrap_or_default();
                let kept = !self.failed && (open.writes.is_empty() || open.term == self.group.lock().term);
                self.failed = false;
                if !kept {
                    return self.refuse("ABORTED");
                }
                self.commit(id, open.writes)
            }
            _ if writes && self.transaction.is_some() => {
                self.transaction.as_mut()?.writes.push(id.to_owned());
                self.complete(&format!("s.{id}"))
            }
            _ if writes => self.commit(id, vec![id.to_owned()]),
            _ => {
                {
                    let mut state = self.group.lock();
                    let member = &state.members[self.number];
                    let log = member.log.iter().map(|entry| entry.id.clone()).collect();
                    let ran = (member.id.clone(), log);
                    state.reads.insert(id.to_owned(), ran);
                }
                let answer = self.complete(&format!("s.{id}"))?;
                Some(format!("ROW row-of-{id}\r\n{answer}"))
            }
        };
        if let Some(arrival) = self.group.lock().arrivals.get_mut(id) {
            arrival.2 = Some(Instant::now());
            let what = if answer.is_some() { "has run" } else { "gives no answer to" };
            self.group.record.line(format!("{} {what} {id}", arrival.0));
        }
        answer
    }

    /// Commits writes at the primary; a synchronous commit is answered once one replica has received it.
    fn commit(&mut self, id: &str, writes: Vec<String>) -> Answer {
        if !writes.is_empty() {
            let group = Arc::clone(&self.group);
            let mut state = group.lock();
            let term = state.term;
            let member = &mut state.members[self.number];
            if !member.primary || !member.up {
                return None;
            }
            let last = writes.last()?.clone();
            let at = Instant::now();
            member.log.extend(writes.into_iter().map(|id| Entry { term, at, id }));
            let position = member.log.len();
            let received = |state: &State| {
                state.members.iter().enumerate().any(|(number, it)| {
                    let entry = it.log.get(position - 1);
                    number != self.number && it.up && entry.is_some_and(|entry| entry.id == last)
                })
            };
            let until = Instant::now() + Duration::from_secs(3);
            while group.synchronous && !received(&state) {
                if Instant::now() >= until || state.members[self.number].epoch != self.epoch {
                    return None;
                }
                state = group.changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
            }
        }
        self.complete(&format!("s.{id}"))
    }
}
