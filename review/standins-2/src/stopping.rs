//! A gateway gets SIGTERM while clients send one statement after the other on their open sessions.

use crate::fleet::{configuration, serve_platform, Fleet, Node, Route, CONTACT_TIMEOUT, FRONT_PORT, GRACE};
use crate::members::Group;
use crate::net::{draw, new_id, Ended, Record, Session};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "huvo11a";
const ROUTES: [Route; 2] = [
    Route { host: "browse-db", kind: "bounded", timeout_ms: 3_000, target_ms: 1_000, priority: 2 },
    Route { host: "book-db", kind: "primary", timeout_ms: 1_000, target_ms: 400, priority: 1 },
];
/// Sessions on the gateway that is stopped: database, statement, deadline.
const SESSIONS: [(&str, &str, u64, usize); 2] =
    [("browse-db", "READ", 10_000, 6), ("book-db", "WRITE", 4_000, 4)];
/// Undisturbed traffic before the signal; longer than `contact_timeout_ms`.
const CALM: Duration = Duration::from_secs(6);
const STOPPED: Node = Node::Front(0);
/// Pause of a client between an answer and its next operation: the shortest, and what is drawn above it.
const PAUSE_MS: (u64, usize) = (5, 10);

/// One request of a client.
struct Asked {
    id: String,
    what: &'static str,
    timeout: Duration,
    deadline: Duration,
    sent: Instant,
    ended: Instant,
    how: Ended,
}

pub fn run(fleet: &Arc<Fleet>, trouble: bool) -> Verdict {
    let record = &fleet.record;
    let group = Group::new(fleet, SERVICE, false, Duration::from_millis(55));
    if let Err(error) = serve_platform(fleet, Arc::clone(&group)).and_then(|()| fleet.start_all()) {
        return Verdict::NotRun(error.to_string());
    }
    (0..3).for_each(|number| Arc::clone(&group).beat(Arc::clone(fleet), number));
    let body = configuration(7, SERVICE, &ROUTES, 0);
    if !fleet.put_configuration(&body, Duration::from_secs(25)) || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Verdict::NotRun("the deployment does not begin to serve".to_owned());
    }
    record.line("all gateways are ready; clients begin");
    let asked = Arc::new(Mutex::new(Vec::new()));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (database, statement, deadline, count) in SESSIONS {
        for _ in 0..count {
            let (fleet, asked, over) = (Arc::clone(fleet), Arc::clone(&asked), Arc::clone(&over));
            clients.push(std::thread::spawn(move || {
                client(&fleet, &asked, &over, (database, statement, Duration::from_millis(deadline)));
            }));
        }
    }
    std::thread::sleep(CALM);
    if let Some(early) = asked.lock().unwrap().iter().find(|it| matches!(it.how, Ended::Cut { .. })) {
        return Verdict::NotRun(format!("request {} was cut before the signal", early.id));
    }
    let signalled = Instant::now();
    let ended = if trouble { stop(fleet) } else { wait(GRACE + Duration::from_secs(1)) };
    std::thread::sleep(Duration::from_millis(1_500));
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.line_at(ended, "end of the disruption");
    if let Some(other) = fleet.ended().iter().find(|name| !trouble || **name != STOPPED.name()) {
        return Verdict::NotRun(format!("{other} has ended by itself"));
    }
    let asked = std::mem::take(&mut *asked.lock().unwrap());
    judge(&group, &asked, signalled, record)
}

fn wait(time: Duration) -> Instant {
    std::thread::sleep(time);
    Instant::now()
}

/// The platform's stop: SIGTERM, and SIGKILL after the grace. Returns when the process was gone.
fn stop(fleet: &Fleet) -> Instant {
    let signalled = Instant::now();
    fleet.signal(STOPPED, "TERM");
    fleet.record.say(format!("SIGTERM to {}", STOPPED.name()));
    while !fleet.has_ended(STOPPED) {
        if signalled.elapsed() >= GRACE {
            fleet.signal(STOPPED, "KILL");
            fleet.record.say("SIGKILL after the grace");
            break;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let ended = Instant::now();
    let after = (ended - signalled).as_millis();
    fleet.record.say(format!(
        "{} has ended {after} ms after SIGTERM, grace {} ms",
        STOPPED.name(),
        GRACE.as_millis()
    ));
    ended
}

/// A client with one session at the gateway that is stopped; it sends its next operation, a single statement,
/// 5 to 15 ms after an answer. After a close it returns to another gateway.
fn client(
    fleet: &Fleet,
    asked: &Mutex<Vec<Asked>>,
    over: &AtomicBool,
    (database, statement, deadline): (&'static str, &'static str, Duration),
) {
    let mut front = 0;
    let route = ROUTES.iter().find(|route| route.host == database).expect("a route of the case");
    while !over.load(Ordering::Relaxed) {
        let at = fleet.address(Node::Front(front), FRONT_PORT);
        let Ok(mut session) = Session::start(at, database) else {
            front = 1;
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        loop {
            if over.load(Ordering::Relaxed) {
                session.terminate();
                return;
            }
            if session.is_closed() {
                break;
            }
            let id = new_id();
            let text = match statement {
                "WRITE" => format!("WRITE bed-{} {id}", &id[..3]),
                _ => format!("READ bed-{}", &id[..3]),
            };
            let sent = Instant::now();
            let how = session.query(&id, &text, deadline);
            let ended = Instant::now();
            fleet.record.line_at(sent, format!("{at} is sent QUERY {id} {text}"));
            fleet.record.line_at(ended, format!("{at} answered {id}: {how:?}"));
            let is_cut = matches!(how, Ended::Cut { .. });
            let timeout = Duration::from_millis(route.timeout_ms);
            asked.lock().unwrap().push(Asked { id, what: statement, timeout, deadline, sent, ended, how });
            if is_cut {
                break;
            }
            std::thread::sleep(Duration::from_millis(PAUSE_MS.0 + draw(PAUSE_MS.1) as u64));
        }
        front = 1;
    }
}

/// LOST, as written: a request that was passed on to a member ends with no complete answer around a SIGTERM of
/// the machine that took it, up to 1 s after `grace_s`, with its excuses.
fn judge(group: &Group, asked: &[Asked], signalled: Instant, record: &Record) -> Verdict {
    let state = group.lock();
    let mut broken = 0;
    for request in asked.iter().filter(|it| matches!(it.how, Ended::Cut { .. })) {
        let Some((member, arrived, run_ended)) = state.arrivals.get(&request.id) else {
            record.line(format!("{} was cut and reached no member: not counted", request.id));
            continue;
        };
        let around = request.ended >= signalled
            && request.ended <= signalled + GRACE + Duration::from_secs(1)
            && request.sent >= signalled - CONTACT_TIMEOUT;
        let taken = request.ended - request.sent;
        let out_of_time = taken >= request.timeout || taken >= request.deadline;
        let long_at_work = request.sent <= signalled + Duration::from_secs(3)
            && run_ended.is_none_or(|ended| ended >= signalled + GRACE - GRACE / 6);
        let excused = !around || out_of_time || long_at_work;
        record.say(format!(
            "{} {}: sent {:+.3} s from SIGTERM, at {member} {:+.3} s, run ended there {}, connection cut {:+.3} s{}",
            request.what,
            request.id,
            seconds(request.sent, signalled),
            seconds(*arrived, signalled),
            run_ended.map_or("never".to_owned(), |ended| format!("{:+.3} s", seconds(ended, signalled))),
            seconds(request.ended, signalled),
            if excused { ": excused" } else { ": LOST" }
        ));
        broken += usize::from(!excused);
    }
    let answered = asked.iter().filter(|it| matches!(it.how, Ended::Done { .. })).count();
    record.say(format!("{} requests, {answered} done, {broken} lost", asked.len()));
    if answered < 100 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn seconds(at: Instant, from: Instant) -> f64 {
    if at >= from {
        (at - from).as_secs_f64()
    } else {
        -((from - at).as_secs_f64())
    }
}
