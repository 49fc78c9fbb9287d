//! A replica leaves as planned; while it still serves, the primary crashes for a moment and returns. Commits need
//! one replica's receipt.

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
const PRIMARY: usize = 0;
const LEAVING: usize = 1;
const CALM: Duration = Duration::from_secs(5);
/// From the acknowledgement of the leaving until the primary crashes.
const UNTIL_CRASH: Duration = Duration::from_millis(1_000);
/// How long the primary is down; the sheet's dose is 7 s.
const DOWN_FOR: Duration = Duration::from_millis(3_000);
/// What a member serves on beyond `drain_timeout_ms`, and the time until the new one at its address is up.
const DRAIN_MORE: Duration = Duration::from_millis(500);
const UNTIL_SUCCESSOR: Duration = Duration::from_millis(1_000);
const WRITERS: usize = 4;

pub fn run(fleet: &Arc<Fleet>, trouble: bool) -> Verdict {
    let record = &fleet.record;
    let group = Group::new(fleet, SERVICE, true, Duration::from_millis(55));
    if let Err(error) = serve_platform(fleet, Arc::clone(&group)).and_then(|()| fleet.start_all()) {
        return Verdict::NotRun(error.to_string());
    }
    (0..3).for_each(|number| Arc::clone(&group).beat(Arc::clone(fleet), number));
    let body = configuration(7, SERVICE, &ROUTES, 1);
    if !fleet.put_configuration(&body, Duration::from_secs(25)) || !fleet.wait_ready(Duration::from_secs(20))
    {
        return Verdict::NotRun("the deployment does not begin to serve".to_owned());
    }
    record.line("all gateways are ready; clients begin");
    // Writes that clients have an acknowledgement of, with the time.
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..WRITERS {
        let (fleet, acknowledged, over) = (Arc::clone(fleet), Arc::clone(&acknowledged), Arc::clone(&over));
        clients.push(std::thread::spawn(move || client(&fleet, number, &acknowledged, &over)));
    }
    std::thread::sleep(CALM);
    if acknowledged.lock().unwrap().len() < 20 {
        return Verdict::NotRun("too few writes were served".to_owned());
    }
    if trouble {
        if let Err(why) = disrupt(fleet, &group) {
            return Verdict::NotRun(why);
        }
    } else {
        std::thread::sleep(Duration::from_secs(15));
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if let Some(other) = fleet.ended().first() {
        return Verdict::NotRun(format!("{other} has ended by itself"));
    }
    let acknowledged = std::mem::take(&mut *acknowledged.lock().unwrap());
    judge(&group, &acknowledged, record)
}

fn disrupt(fleet: &Arc<Fleet>, group: &Arc<Group>) -> Result<(), String> {
    let record = &fleet.record;
    let id = group.lock().members[LEAVING].id.clone();
    record.say(format!("replica {id} is to be replaced: it says that it is draining"));
    group.lock().members[LEAVING].draining = true;
    let until = Instant::now() + Duration::from_secs(5);
    let acknowledged = loop {
        if let Some(at) = group.lock().members[LEAVING].drain_acknowledged {
            break at;
        }
        if Instant::now() >= until {
            return Err("the leaving is not acknowledged".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    // The leaving replica goes its way beside the disruption.
    let (leaving_fleet, leaving_group) = (Arc::clone(fleet), Arc::clone(group));
    let leaving = std::thread::spawn(move || {
        sleep_until(acknowledged + DRAIN_TIMEOUT + DRAIN_MORE);
        leaving_group.lock().members[LEAVING].beats = false;
        leaving_group.delete(&leaving_fleet, LEAVING);
        leaving_group.crash(LEAVING);
        leaving_fleet.record.say("the leaving replica has ended");
        std::thread::sleep(UNTIL_SUCCESSOR);
        leaving_group.come_back(LEAVING, Some("i-1b1".to_owned()));
        leaving_fleet.record.say("the new member i-1b1 runs at its address, with its log");
    });
    let lengths = || -> Vec<usize> { group.lock().members.iter().map(|it| it.log.len()).collect() };
    sleep_until(acknowledged + UNTIL_CRASH);
    group.crash(PRIMARY);
    record.say(format!("the primary crashes; the members' logs have {:?} commits", lengths()));
    sleep_until(acknowledged + UNTIL_CRASH + DOWN_FOR);
    group.come_back(PRIMARY, None);
    record.say("the primary is back with its log, and leads: no other was promoted");
    sleep_until(acknowledged + DRAIN_TIMEOUT);
    record.say(format!("before the leaving replica ends, the members' logs have {:?} commits", lengths()));
    let _ = leaving.join();
    std::thread::sleep(Duration::from_secs(4));
    Ok(())
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A client that writes every 100 ms, each time as one operation, and returns after a close.
fn client(fleet: &Fleet, number: usize, acknowledged: &Mutex<Vec<(Instant, String)>>, over: &AtomicBool) {
    let mut session = None;
    let mut front = number as u8;
    while !over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(100));
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
        let text = format!("WRITE bed-{number} {id}");
        fleet.record.line(format!("{at} is sent QUERY {id} {text}"));
        let how = open.query(&id, &text, Duration::from_secs(4));
        let now = Instant::now();
        fleet.record.line(format!("{at} answered {id}: {how:?}"));
        match how {
            Ended::Done { ref signature, .. } if *signature == format!("s.{id}") => {
                acknowledged.lock().unwrap().push((now, id));
                session = Some(open);
            }
            Ended::Failed { ref state, .. } if state == "I" => session = Some(open),
            _ => (),
        }
    }
}

/// LOST, as written: the service has `sync_replicas`, and the log of the member that is promoted lacks an
/// acknowledged commit.
fn judge(group: &Group, acknowledged: &[(Instant, String)], record: &Record) -> Verdict {
    let state = group.lock();
    let mut broken = false;
    for (at, member, log) in &state.promotions {
        let lacking = acknowledged.iter().filter(|(when, id)| when < at && !log.contains(id));
        let lacking: Vec<&(Instant, String)> = lacking.collect();
        record.say(format!(
            "{member} was promoted with {} commits; it lacks {} of {} that were acknowledged before",
            log.len(),
            lacking.len(),
            acknowledged.iter().filter(|(when, _)| when < at).count()
        ));
        for (when, id) in &lacking {
            record.line(format!(
                "commit {id}, acknowledged at {:.3} s, is lacking: LOST",
                record.seconds(*when)
            ));
        }
        broken |= !lacking.is_empty();
    }
    record.say(format!("{} writes acknowledged, {} promotions", acknowledged.len(), state.promotions.len()));
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
