//! Stand-in members of one service: the wire as the users' pages describe it, and heartbeats.

use crate::fleet::{CONTROL_PORT, Network, ZONES, http};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "huts7a";
pub const MAX_CONNECTIONS: usize = 50;
const SLOTS: usize = 5;
const HANDSHAKE: Duration = Duration::from_millis(12);
const REPLICA_LAG: Duration = Duration::from_millis(8);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// When and where a client's statement ran.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub member: usize,
    pub arrived: Instant,
    /// When its answer was written; none while the member works on it.
    pub ended: Option<Instant>,
    /// Whether the answer could be written.
    pub delivered: bool,
}

/// The service: one log, and what its members ran.
#[derive(Debug)]
pub struct Service {
    /// Times of the commits that write; the position is their number.
    commits: Mutex<Vec<Instant>>,
    pub runs: Mutex<HashMap<String, Run>>,
    signatures: AtomicU64,
    /// Shortest and longest work of a statement, in ms.
    work_ms: (u64, u64),
    primary: AtomicUsize,
    term: AtomicU64,
    /// Members that have crashed, and the open connections of each member.
    down: Mutex<HashSet<usize>>,
    open: Mutex<Vec<(usize, TcpStream)>>,
}

#[derive(Debug)]
struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Slots {
    fn hold(&self, work: Duration) {
        let mut free = self.freed.wait_while(self.free.lock().unwrap(), |free| *free == 0).unwrap();
        *free -= 1;
        drop(free);
        thread::sleep(work);
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

#[derive(Debug)]
struct Member {
    number: usize,
    service: Arc<Service>,
    slots: Slots,
    connections: AtomicUsize,
}

pub fn member_id(number: usize) -> String {
    format!("i-{number}a7f3c91")
}

impl Service {
    pub fn new(work_ms: (u64, u64)) -> Arc<Self> {
        Arc::new(Self {
            commits: Mutex::default(),
            runs: Mutex::default(),
            signatures: AtomicU64::new(1),
            work_ms,
            primary: AtomicUsize::new(0),
            term: AtomicU64::new(1),
            down: Mutex::default(),
            open: Mutex::default(),
        })
    }

    pub fn primary(&self) -> usize {
        self.primary.load(Ordering::SeqCst)
    }

    /// A member crashes: its connections end, and it says nothing more.
    pub fn crash(&self, number: usize) {
        self.down.lock().unwrap().insert(number);
        for (_, stream) in self.open.lock().unwrap().iter().filter(|(member, _)| *member == number)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn is_down(&self, number: usize) -> bool {
        self.down.lock().unwrap().contains(&number)
    }

    /// A member leads the next term with what it has received.
    pub fn promote(&self, number: usize) {
        if self.primary() != number {
            self.term.fetch_add(1, Ordering::SeqCst);
            self.primary.store(number, Ordering::SeqCst);
        }
    }

    fn term(&self) -> u64 {
        self.term.load(Ordering::SeqCst)
    }

    fn position(&self, is_primary: bool) -> usize {
        let commits = self.commits.lock().unwrap();
        let lag = if is_primary { Duration::ZERO } else { REPLICA_LAG };
        commits.iter().filter(|at| at.elapsed() >= lag).count()
    }

    fn work(&self, id: &str) -> Duration {
        let hash =
            id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
        let (least, most) = self.work_ms;
        Duration::from_millis(least + hash % (most - least + 1))
    }
}

/// Starts a member: its listener and its heartbeats. Member 0 is the primary at first.
pub fn start(
    service: &Arc<Service>,
    network: Network,
    cores: u8,
    number: usize,
) -> std::io::Result<()> {
    let address = network.member(number as u8);
    let listener = TcpListener::bind(address)?;
    let member = Arc::new(Member {
        number,
        service: Arc::clone(service),
        slots: Slots { free: Mutex::new(SLOTS), freed: Condvar::new() },
        connections: AtomicUsize::new(0),
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if member.service.is_down(number) {
                continue;
            }
            if let Ok(open) = stream.try_clone() {
                member.service.open.lock().unwrap().push((number, open));
            }
            let member = Arc::clone(&member);
            thread::spawn(move || {
                member.connections.fetch_add(1, Ordering::SeqCst);
                member.serve(stream);
                member.connections.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    let service = Arc::clone(service);
    thread::spawn(move || heartbeats(&service, network, cores, number, address));
    Ok(())
}

fn heartbeats(service: &Service, network: Network, cores: u8, number: usize, address: SocketAddr) {
    let mut sequence = 0_u64;
    let mut core = number as u8 % cores;
    while !service.is_down(number) {
        sequence += 1;
        let primary = service.primary();
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"warmup_remaining_ms\":0,\"database_role\":\"{}\",\
             \"sequence\":{sequence}}}",
            ZONES[number % ZONES.len()].0,
            if number == primary { "primary" } else { "replica" },
        );
        let at = SocketAddr::new(network.core(core), CONTROL_PORT);
        let path = format!("/v1/instances/{}", member_id(number));
        match http(at, "PUT", &path, &body) {
            Some((status, _)) if (200..300).contains(&status) => {
                // Any change is told at once.
                let next = Instant::now() + HEARTBEAT;
                while Instant::now() < next && service.primary() == primary {
                    thread::sleep(Duration::from_millis(20));
                }
            }
            _ => {
                core = (core + 1) % cores;
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

#[derive(Default)]
struct Session {
    is_open: bool,
    read_only: bool,
    has_failed: bool,
    writes: usize,
}

impl Member {
    fn is_primary(&self) -> bool {
        self.number == self.service.primary()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut writer = stream;
        let mut session = Session::default();
        for line in BufReader::new(reader).lines() {
            let Ok(line) = line else { return };
            let line = line.trim_end_matches('\r');
            let (word, rest) = split(line);
            let answer = match word {
                "START" => self.start(rest),
                "QUERY" => self.query(&mut session, rest),
                _ => return,
            };
            let is_sent = writer.write_all(answer.as_bytes()).is_ok();
            if word == "QUERY" {
                let id = split(rest).0;
                if let Some(run) = self.service.runs.lock().unwrap().get_mut(id) {
                    run.ended = Some(Instant::now());
                    run.delivered = is_sent;
                }
            }
            if !is_sent
                || answer.starts_with("ERROR MISROUTED")
                || answer.starts_with("ERROR TOOMANY")
            {
                return;
            }
        }
    }

    fn start(&self, fields: &str) -> String {
        let fields: Vec<&str> = fields.split(' ').collect();
        let id = member_id(self.number);
        if fields.first() != Some(&SERVICE) || fields.get(2).is_some_and(|wanted| *wanted != id) {
            return format!("ERROR MISROUTED {id}\r\n");
        }
        if self.connections.load(Ordering::SeqCst) > MAX_CONNECTIONS {
            return format!("ERROR TOOMANY {id}\r\n");
        }
        self.slots.hold(HANDSHAKE);
        self.ready(&Session::default())
    }

    fn ready(&self, session: &Session) -> String {
        let state = match session {
            Session { has_failed: true, .. } => "E",
            Session { is_open: true, .. } => "T",
            _ => "I",
        };
        format!(
            "READY {state} {}.{}\r\n",
            self.service.term(),
            self.service.position(self.is_primary())
        )
    }

    fn refuse(&self, session: &mut Session, code: &str) -> String {
        session.has_failed = session.is_open;
        format!("ERROR {code} {}\r\n{}", member_id(self.number), self.ready(session))
    }

    fn complete(&self, session: &Session, rows: &str, signature: &str) -> String {
        format!("{rows}COMPLETE {signature}\r\n{}", self.ready(session))
    }

    fn query(&self, session: &mut Session, fields: &str) -> String {
        let (id, rest) = split(fields);
        let (after, text) = match rest.strip_prefix("AFTER ") {
            Some(rest) => {
                let (after, text) = split(rest);
                (after.split_once('.').and_then(|(_, index)| index.parse().ok()), text)
            }
            None => (None::<usize>, rest),
        };
        if session.has_failed && text != "ROLLBACK" && text != "COMMIT" {
            return self.refuse(session, "MALFORMED");
        }
        if after.is_some_and(|after| self.service.position(self.is_primary()) < after) {
            return self.refuse(session, "LAGGING");
        }
        match split(text).0 {
            "BEGIN" => {
                let read_only = text == "BEGIN READ";
                if !read_only && !self.is_primary() {
                    return self.refuse(session, "READONLY");
                }
                *session = Session { is_open: true, read_only, ..Session::default() };
                self.complete(session, "", "-")
            }
            "ROLLBACK" => {
                *session = Session::default();
                self.complete(session, "", "-")
            }
            "COMMIT" => {
                self.run(id);
                let writes = if session.has_failed { 0 } else { session.writes };
                let has_failed = session.has_failed;
                *session = Session::default();
                if has_failed {
                    return self.refuse(session, "FAILED");
                }
                if writes > 0 {
                    self.service.commits.lock().unwrap().push(Instant::now());
                }
                self.complete(session, "", &self.signature())
            }
            "READ" | "EXECUTE" => {
                self.run(id);
                let row = format!("ROW d{}\r\n", self.service.position(self.is_primary()));
                self.complete(session, &row, &self.signature())
            }
            "WRITE" => {
                if !self.is_primary() || session.read_only {
                    return self.refuse(session, "READONLY");
                }
                self.run(id);
                if session.is_open {
                    session.writes += 1;
                } else {
                    self.service.commits.lock().unwrap().push(Instant::now());
                }
                self.complete(session, "", &self.signature())
            }
            "STATUS" => {
                let role = if self.is_primary() { "primary" } else { "replica" };
                let position = self.service.position(self.is_primary());
                let connections = self.connections.load(Ordering::SeqCst);
                let term = self.service.term();
                let row = format!("ROW {role} {term} {term}.{position} 0 8 0 {connections}\r\n");
                self.complete(session, &row, "-")
            }
            "SET" | "PREPARE" | "RESET" | "DEALLOCATE" => self.complete(session, "", "-"),
            _ => self.refuse(session, "MALFORMED"),
        }
    }

    /// Works on a client's statement in a slot.
    fn run(&self, id: &str) {
        let run =
            Run { member: self.number, arrived: Instant::now(), ended: None, delivered: false };
        self.service.runs.lock().unwrap().insert(id.to_owned(), run);
        self.slots.hold(self.service.work(id));
    }

    fn signature(&self) -> String {
        format!("{}.{}", self.number, self.service.signatures.fetch_add(1, Ordering::SeqCst))
    }
}

pub fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}
