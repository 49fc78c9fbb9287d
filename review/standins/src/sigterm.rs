//! A planned stop of the front that busy sessions are connected to.
//!
//! Rule LOST: around a SIGTERM, a request that the process has read and passed on to a member must get a
//! complete answer, unless the member broke off, the deadline or the route's timeout was reached, or the
//! request was sent at most 3 s after the SIGTERM and the member was still at work on it in the last sixth of
//! `grace_s`.

use crate::fleet::{
    CONTROL_PORT, FRONT_PORT, Folder, Machine, Network, READY_PORT, core_settings, front_settings,
    http,
};
use crate::member::{self, MAX_CONNECTIONS, Run, SERVICE, Service, split};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CORES: u8 = 5;
/// Fronts 0 and 1 are in the clients' zone.
const FRONTS: u8 = 3;
const MEMBERS: usize = 3;
const SEEDS: [u8; 3] = [0, 1, 2];
const GRACE: Duration = Duration::from_secs(6);
/// Longer than `contact_timeout_ms`: nothing was started or ended for that long before the SIGTERM.
const CALM: Duration = Duration::from_secs(7);
const AFTER: Duration = Duration::from_secs(9);
/// Pause of a client between two operations of its session.
const PAUSE: Duration = Duration::from_millis(5);
/// Pause of a client between two statements of a transaction.
const TRANSACTION_PAUSE: Duration = Duration::from_millis(40);
/// Reads of a transaction: with its begin and commit, it has 12 statements.
const TRANSACTION_READS: usize = 10;
/// Sessions of each kind.
const SESSIONS: [(Kind, usize); 3] = [(Kind::Reads, 9), (Kind::Writes, 3), (Kind::Transactions, 4)];
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Work of a statement at a member: within the 410 ms that the class browse of hyttebooking has at most.
const WORK_MS: (u64, u64) = (60, 140);

type Error = Box<dyn std::error::Error>;

/// What a session does, one operation after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Single reads on the `bounded` route.
    Reads,
    /// Single writes on the `primary` route.
    Writes,
    /// Reading transactions on the `bounded` route.
    Transactions,
}

impl Kind {
    const fn database(self) -> &'static str {
        match self {
            Self::Reads | Self::Transactions => "browse1",
            Self::Writes => "book1",
        }
    }

    const fn timeout(self) -> Duration {
        match self {
            Self::Reads | Self::Transactions => READ_TIMEOUT,
            Self::Writes => WRITE_TIMEOUT,
        }
    }

    /// Returns the texts of one operation.
    fn operation(self, number: u64) -> Vec<String> {
        let thing = format!("{:x}", number % 2_000);
        let read = format!("READ {thing}");
        match self {
            Self::Reads => vec![read],
            Self::Writes => vec![format!("WRITE {thing} qzx")],
            Self::Transactions => {
                let reads = std::iter::repeat_n(read, TRANSACTION_READS);
                std::iter::once("BEGIN READ".to_owned())
                    .chain(reads)
                    .chain(["COMMIT".to_owned()])
                    .collect()
            }
        }
    }
}

/// One request of a client, and how it ended.
#[derive(Debug)]
struct Request {
    id: String,
    text: String,
    session: String,
    kind: Kind,
    front: u8,
    sent: Instant,
    ended: Instant,
    /// The answer's last line but one, or none if the connection ended without a whole answer.
    answer: Option<String>,
}

struct World {
    network: Network,
    stopping: AtomicBool,
    next_id: AtomicU64,
    requests: Mutex<Vec<Request>>,
    /// Fronts that the platform gives new connections to.
    is_in: [AtomicBool; 2],
}

struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    front: u8,
}

impl Connection {
    fn open(world: &World, front: u8, database: &str) -> Option<Self> {
        let address = SocketAddr::new(world.network.front(front), FRONT_PORT);
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        writer.set_nodelay(true).ok()?;
        writer.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        let reader = BufReader::new(writer.try_clone().ok()?);
        let mut connection = Self { reader, writer, front };
        connection.writer.write_all(format!("START {database} u1\r\n").as_bytes()).ok()?;
        connection.line()?.starts_with("READY I").then_some(connection)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0 && line.ends_with("\r\n")).then(|| line.trim_end().to_owned())
    }

    /// Sends one statement and waits for its whole answer; returns its outcome.
    fn ask(&mut self, id: &str, text: &str) -> (Instant, Option<String>) {
        let is_sent = self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_ok();
        (Instant::now(), if is_sent { self.answer() } else { None })
    }

    fn answer(&mut self) -> Option<String> {
        let mut outcome = None;
        loop {
            let line = self.line()?;
            match split(&line).0 {
                "COMPLETE" | "ERROR" => outcome = Some(line),
                "READY" => return outcome,
                _ => (),
            }
        }
    }
}

/// A client's session: one operation after the other. When its connection is closed, it gets another one.
fn client(world: &Arc<World>, name: &str, kind: Kind) {
    let mut connection: Option<Connection> = None;
    while !world.stopping.load(Ordering::SeqCst) {
        let Some(open) = connection.as_mut() else {
            let front = u8::from(!world.is_in[0].load(Ordering::SeqCst));
            connection = Connection::open(world, front, kind.database());
            if connection.is_none() {
                thread::sleep(Duration::from_millis(100));
            }
            continue;
        };
        if !operate(world, open, name, kind) {
            connection = None;
        }
        thread::sleep(PAUSE);
    }
}

/// Runs one operation; reports whether the session can go on.
fn operate(world: &World, open: &mut Connection, name: &str, kind: Kind) -> bool {
    let texts = kind.operation(world.next_id.load(Ordering::SeqCst));
    for (place, text) in texts.into_iter().enumerate() {
        if place > 0 {
            thread::sleep(TRANSACTION_PAUSE);
        }
        let id = format!("5c0e{:012x}", world.next_id.fetch_add(1, Ordering::SeqCst));
        let (sent, answer) = open.ask(&id, &text);
        let (is_over, is_error) =
            (answer.is_none(), answer.as_ref().is_some_and(|answer| answer.starts_with("ERROR")));
        let (session, front, ended) = (name.to_owned(), open.front, Instant::now());
        let request = Request { id, text, session, kind, front, sent, ended, answer };
        world.requests.lock().unwrap().push(request);
        if is_over {
            return false;
        }
        if is_error {
            // A transaction that failed is left with its connection, which the client closes.
            return kind != Kind::Transactions;
        }
    }
    true
}

/// Asks the fronts of the zone whether they are ready, as the platform does each second: one that misses twice
/// gets no new connections until it answers 200 again.
fn probe(world: &World) {
    let mut misses = [0; 2];
    while !world.stopping.load(Ordering::SeqCst) {
        for front in 0..2_u8 {
            let place = usize::from(front);
            let address = SocketAddr::new(world.network.front(front), READY_PORT);
            let is_ready =
                http(address, "GET", "/v1/readiness", "").is_some_and(|(status, _)| status == 200);
            misses[place] = if is_ready { 0 } else { misses[place] + 1 };
            world.is_in[place].store(misses[place] < 2, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_secs(1));
    }
}

fn configuration() -> String {
    let route = |name: &str,
                 host: &str,
                 kind: &str,
                 timeout: Duration,
                 target: u64,
                 staleness: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{},\"target_latency_ms\":{target},\"priority\":2,\"service\":\"{SERVICE}\",\
             \"max_attempts\":2{staleness}}}",
            timeout.as_millis()
        )
    };
    let browse =
        route("r-browse", "browse1", "bounded", READ_TIMEOUT, 1_000, ",\"max_staleness_ms\":1500");
    let book = route("r-book", "book1", "primary", WRITE_TIMEOUT, 400, "");
    format!(
        "{{\"version\":3,\"routes\":[{browse},{book}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":{MAX_CONNECTIONS},\"protocol\":\"h1\",\"tls\":false,\
         \"sync_replicas\":0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"transaction_idle_ms\":3000}}}}"
    )
}

/// Sends the first configuration until it is taken.
pub fn put_configuration(network: Network) -> Result<(), Error> {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(20) {
        for core in 0..CORES {
            let address = SocketAddr::new(network.core(core), CONTROL_PORT);
            let answered = http(address, "PUT", "/v1/configuration", &configuration());
            if answered.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err("the first configuration was not taken".into())
}

pub fn wait_until_ready(network: Network, fronts: u8) -> Result<(), Error> {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(20) {
        let is_ready = |front| {
            let address = SocketAddr::new(network.front(front), READY_PORT);
            http(address, "GET", "/v1/readiness", "").is_some_and(|(status, _)| status == 200)
        };
        if (0..fronts).all(is_ready) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err("the fronts are not ready".into())
}

/// Plays the scenario; returns how many requests were lost.
pub fn play(root: &Path, record: &Path, has_trouble: bool) -> Result<usize, Error> {
    let network = Network::find(CORES, FRONTS, MEMBERS as u8).ok_or("no free addresses")?;
    let folder = Folder::create()?;
    // Nothing here needs a promotion: a call is only counted.
    let calls = Arc::new(AtomicU64::new(0));
    let authority = TcpListener::bind(network.authority())?;
    let counted = Arc::clone(&calls);
    thread::spawn(move || {
        for _call in authority.incoming() {
            counted.fetch_add(1, Ordering::SeqCst);
        }
    });
    let mut machines = Vec::new();
    for core in 0..CORES {
        let text = core_settings(network, core, &SEEDS, true, &folder.0);
        machines.push(Machine::start(root, &folder.0, &format!("core-{core}"), "core", &text)?);
    }
    for front in 0..FRONTS {
        let zone = usize::from(front / 2);
        let text = front_settings(network, front, zone, &SEEDS);
        machines.push(Machine::start(root, &folder.0, &format!("front-{front}"), "front", &text)?);
    }
    put_configuration(network)?;
    let service = Service::new(WORK_MS);
    for number in 0..MEMBERS {
        member::start(&service, network, CORES, number)?;
    }
    wait_until_ready(network, FRONTS)?;
    thread::sleep(Duration::from_secs(1));

    let world = Arc::new(World {
        network,
        stopping: AtomicBool::new(false),
        next_id: AtomicU64::new(1),
        requests: Mutex::default(),
        is_in: [AtomicBool::new(true), AtomicBool::new(true)],
    });
    let began = Instant::now();
    let mut threads = Vec::new();
    for (kind, sessions) in SESSIONS {
        for number in 0..sessions {
            let world = Arc::clone(&world);
            let name = format!("{kind:?}-{number}");
            threads.push(thread::spawn(move || client(&world, &name, kind)));
        }
    }
    let probing = Arc::clone(&world);
    threads.push(thread::spawn(move || probe(&probing)));
    thread::sleep(CALM);

    let signalled = Instant::now();
    let front = usize::from(CORES);
    if has_trouble {
        machines[front].signal("TERM")?;
    }
    let mut process_ended = None;
    while signalled.elapsed() < AFTER {
        if process_ended.is_none() && machines[front].has_ended() {
            process_ended = Some(Instant::now());
        }
        if has_trouble && signalled.elapsed() >= GRACE && process_ended.is_none() {
            machines[front].signal("KILL")?;
        }
        thread::sleep(Duration::from_millis(5));
    }
    world.stopping.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let others: Vec<String> = machines
        .iter_mut()
        .enumerate()
        .filter(|(place, _)| !(has_trouble && *place == front))
        .filter_map(|(_, machine)| machine.has_ended().then(|| machine.name.clone()))
        .collect();
    if !others.is_empty() {
        return Err(format!("ended by themselves: {others:?}").into());
    }
    let requests = std::mem::take(&mut *world.requests.lock().unwrap());
    let runs = service.runs.lock().unwrap();
    let judged = judge(&requests, &runs, has_trouble.then_some(signalled));
    let ended = process_ended.map(|at| at - signalled);
    let text = describe(
        &requests,
        &runs,
        &judged,
        (began, signalled),
        ended,
        calls.load(Ordering::SeqCst),
    );
    std::fs::write(record, text)?;
    if requests.iter().filter(|request| request.answer.is_some()).count() < 500 {
        return Err("too few requests were answered".into());
    }
    Ok(judged.len())
}

/// Returns the requests that count as lost.
fn judge<'r>(
    requests: &'r [Request],
    runs: &std::collections::HashMap<String, Run>,
    signalled: Option<Instant>,
) -> Vec<&'r Request> {
    let is_lost = |request: &&Request| {
        let Some(run) = runs.get(&request.id) else { return false };
        if request.answer.is_some() {
            return false;
        }
        if request.ended - request.sent >= request.kind.timeout() {
            return false;
        }
        // Without the SIGTERM, no request may end like this at all.
        let Some(signalled) = signalled else { return true };
        if request.ended < signalled || request.ended > signalled + GRACE + Duration::from_secs(1) {
            return true;
        }
        let is_early = request.sent <= signalled + Duration::from_secs(3);
        let last_sixth = signalled + GRACE - GRACE / 6;
        let is_long = run.ended.is_none_or(|ended| ended >= last_sixth);
        !(is_early && is_long)
    };
    requests.iter().filter(is_lost).collect()
}

fn describe(
    requests: &[Request],
    runs: &std::collections::HashMap<String, Run>,
    lost: &[&Request],
    (began, signalled): (Instant, Instant),
    ended: Option<Duration>,
    promotion_calls: u64,
) -> String {
    let mut text = String::new();
    let ms = |at: Instant| {
        if at >= signalled {
            (at - signalled).as_millis() as i64
        } else {
            -((signalled - at).as_millis() as i64)
        }
    };
    let _ = writeln!(
        text,
        "times in ms, counted from the SIGTERM (or, with TROUBLE=0, from where it would be)"
    );
    let _ = writeln!(text, "traffic began at {}", ms(began));
    match ended {
        Some(ended) => {
            let _ = writeln!(text, "front-0 ended at {}", ended.as_millis());
        }
        None => {
            let _ = writeln!(text, "front-0 did not end");
        }
    }
    let answered = requests.iter().filter(|request| request.answer.is_some()).count();
    let closed = requests
        .iter()
        .filter(|request| request.answer.is_none() && !runs.contains_key(&request.id));
    let _ = writeln!(
        text,
        "{} requests sent, {answered} answered, {} not read by the process when its connection was closed, \
         {} lost ({} of them single statements); {promotion_calls} calls for a promotion",
        requests.len(),
        closed.count(),
        lost.len(),
        lost.iter().filter(|request| request.kind != Kind::Transactions).count()
    );
    for request in lost {
        let run = runs.get(&request.id);
        let _ = writeln!(
            text,
            "LOST {} {} {:?} on front-{}: sent {}, arrived at member {} {}, connection ended {} without an \
             answer, member had its answer {}",
            request.session,
            request.id,
            request.text,
            request.front,
            ms(request.sent),
            run.map_or(-1, |run| run.member as i64),
            run.map_or(0, |run| ms(run.arrived)),
            ms(request.ended),
            run.and_then(|run| run.ended)
                .map_or_else(|| "never".to_owned(), |at| ms(at).to_string()),
        );
    }
    let _ = writeln!(
        text,
        "all requests from 500 ms before until the end of front-0 or 4500 ms after:"
    );
    for request in requests.iter().filter(|request| (-500..4_500).contains(&ms(request.sent))) {
        let ran = runs.get(&request.id).map_or_else(
            || "not run".to_owned(),
            |run| format!("run by member {} from {}", run.member, ms(run.arrived)),
        );
        let _ = writeln!(
            text,
            "{} {} front-{} {:?} sent {} ended {} {} {ran}",
            request.session,
            request.id,
            request.front,
            request.text,
            ms(request.sent),
            ms(request.ended),
            request.answer.as_deref().unwrap_or("no answer"),
        );
    }
    text
}
