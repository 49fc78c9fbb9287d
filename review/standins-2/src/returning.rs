//! A primary crashes while its replica receives nothing; the replica is promoted, leads and crashes in its
//! turn; then the first one is back with its log.

use crate::fleet::{configuration, serve_platform, Fleet, Node, Route, DRAIN_TIMEOUT, FRONT_PORT};
use crate::members::Group;
use crate::net::{new_id, Ended, Record, Session};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "huvo11a";
const ROUTES: [Route; 1] =
    [Route { host: "book-db", kind: "primary", timeout_ms: 1_000, target_ms: 400, priority: 1 }];
const FIRST: usize = 0;
const SECOND: usize = 1;
const LEAVING: usize = 2;
const CALM: Duration = Duration::from_secs(5);
/// What the leaving member serves on beyond `drain_timeout_ms`.
const DRAIN_MORE: Duration = Duration::from_millis(500);
/// How long the replica receives nothing, and when in that time the primary crashes; the sheet's dose is 6.5 s.
const DEAF_FOR: Duration = Duration::from_millis(6_500);
const UNTIL_CRASH: Duration = Duration::from_millis(3_000);
/// How long each primary is down; the sheet's dose is 7 s.
const DOWN_FOR: Duration = Duration::from_millis(7_000);
const CLIENTS: usize = 4;

/// What the clients saw: commits with the time of their acknowledgement, reads with the time of their first byte.
#[derive(Default)]
struct Seen {
    commits: Vec<(Instant, String)>,
    reads: Vec<(Instant, String)>,
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
    let seen = Arc::new(Mutex::new(Seen::default()));
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fleet, seen, over) = (Arc::clone(fleet), Arc::clone(&seen), Arc::clone(&over));
            std::thread::spawn(move || client(&fleet, number, &seen, &over))
        })
        .collect();
    std::thread::sleep(CALM);
    if seen.lock().unwrap().commits.len() < 20 {
        return Verdict::NotRun("too few writes were served".to_owned());
    }
    // One member leaves for good, as planned, with or without the disruption.
    if let Err(why) = leave(fleet, &group) {
        return Verdict::NotRun(why);
    }
    if trouble {
        disrupt(fleet, &group);
    } else {
        std::thread::sleep(Duration::from_secs(20));
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if let Some(other) = fleet.ended().first() {
        return Verdict::NotRun(format!("{other} has ended by itself"));
    }
    let seen = std::mem::take(&mut *seen.lock().unwrap());
    judge(&group, &seen, record)
}

fn leave(fleet: &Fleet, group: &Group) -> Result<(), String> {
    group.lock().members[LEAVING].draining = true;
    let until = Instant::now() + Duration::from_secs(5);
    while group.lock().members[LEAVING].drain_acknowledged.is_none() {
        if Instant::now() >= until {
            return Err("the leaving is not acknowledged".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(DRAIN_TIMEOUT + DRAIN_MORE);
    group.lock().members[LEAVING].beats = false;
    if !group.delete(fleet, LEAVING) {
        return Err("the DELETE is not acknowledged".to_owned());
    }
    group.crash(LEAVING);
    fleet.record.say("one replica has left as planned; two members stay");
    std::thread::sleep(Duration::from_secs(1));
    Ok(())
}

fn disrupt(fleet: &Fleet, group: &Group) {
    let record = &fleet.record;
    let lengths = || -> Vec<usize> { group.lock().members.iter().take(2).map(|it| it.log.len()).collect() };
    group.lock().members[SECOND].deaf = true;
    let deaf = Instant::now();
    record.say(format!("the replica receives nothing from now on; logs: {:?} commits", lengths()));
    sleep_until(deaf + UNTIL_CRASH);
    group.crash(FIRST);
    let first_crash = Instant::now();
    record.say(format!("the primary crashes; logs: {:?} commits", lengths()));
    sleep_until(deaf + DEAF_FOR);
    group.lock().members[SECOND].deaf = false;
    group.crash(SECOND);
    let second_crash = Instant::now();
    record.say(format!("the second primary crashes; logs: {:?} commits", lengths()));
    sleep_until(first_crash + DOWN_FOR);
    group.come_back(FIRST, None);
    record.say("the first primary is back, with its log");
    sleep_until(second_crash + DOWN_FOR);
    group.come_back(SECOND, None);
    record.say("the second primary is back, with its log");
    std::thread::sleep(Duration::from_secs(4));
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A client that writes and reads by turns, one operation every 50 ms, and returns after a close.
fn client(fleet: &Fleet, number: usize, seen: &Mutex<Seen>, over: &AtomicBool) {
    let mut session = None;
    let mut front = number as u8;
    let mut reads = false;
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
        let at = fleet.address(Node::Front(front % fleet.fronts), FRONT_PORT);
        let mut open = match session.take() {
            Some(open) => open,
            None => match Session::start(at, "book-db") {
                Ok(open) => open,
                Err(_) => {
                    front += 1;
                    continue;
                }
            },
        };
        if open.is_closed() {
            continue;
        }
        let id = new_id();
        let text = if reads { format!("READ bed-{number}") } else { format!("WRITE bed-{number} {id}") };
        let sent = Instant::now();
        fleet.record.line(format!("{at} is sent QUERY {id} {text}"));
        let how = open.query(&id, &text, Duration::from_secs(4));
        let now = Instant::now();
        fleet.record.line(format!("{at} answered {id}: {how:?}"));
        match how {
            Ended::Done { ref signature, .. } if *signature == format!("s.{id}") => {
                let mut seen = seen.lock().unwrap();
                if reads {
                    seen.reads.push((sent, id))
                } else {
                    seen.commits.push((now, id))
                }
                session = Some(open);
            }
            Ended::Failed { ref state, .. } if state == "I" => session = Some(open),
            _ => (),
        }
        reads = !reads;
    }
}

/// STALE, as written, on a `primary` route: a read ran on a log that lacks a commit acknowledged before the
/// read's first byte. Commits rolled back by a promote are not counted: those that are not in the log that holds.
fn judge(group: &Group, seen: &Seen, record: &Record) -> Verdict {
    let state = group.lock();
    let Some(leader) = state.members.iter().find(|it| it.primary && it.up) else {
        return Verdict::NotRun("no member leads at the end".to_owned());
    };
    let holds: Vec<&str> = leader.log.iter().map(|entry| entry.id.as_str()).collect();
    let mut stale = 0;
    for (sent, id) in &seen.reads {
        let Some((member, log)) = state.reads.get(id) else { continue };
        let lacks = |commit: &&(Instant, String)| {
            commit.0 < *sent && holds.contains(&commit.1.as_str()) && !log.contains(&commit.1)
        };
        if let Some((when, commit)) = seen.commits.iter().find(lacks) {
            stale += 1;
            let text = format!(
                "read {id}, sent at {:.3} s, ran at {member} on {} commits and lacked {commit}, acknowledged at {:.3} s: STALE",
                record.seconds(*sent),
                log.len(),
                record.seconds(*when)
            );
            if stale <= 3 {
                record.say(text)
            } else {
                record.line(text)
            }
        }
    }
    let undone = seen.commits.iter().filter(|(_, id)| !holds.contains(&id.as_str())).count();
    record.say(format!(
        "{} reads, {stale} of them stale; {} commits acknowledged, {undone} of them undone; {} promotions",
        seen.reads.len(),
        seen.commits.len(),
        state.promotions.len()
    ));
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
