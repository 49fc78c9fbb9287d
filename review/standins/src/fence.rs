//! The primary crashes, the platform leaves the call for a promotion unanswered, and at that moment all
//! processes of the core are killed and come back within a second.
//!
//! Rule ONE: no two holders promote under one fencing token. The platform checks fences: a call whose fence is
//! lower than one that it has seen is refused. It carries out an unanswered call some seconds later, when the
//! fence is checked.
//!
//! `TROUBLE=0`: nothing is disturbed. `TROUBLE=crash`: the primary crashes and the first call stays
//! unanswered, but the core is not killed.

use crate::fleet::{FRONT_PORT, Folder, Machine, Network, core_settings, front_settings};
use crate::member::{self, Service, member_id, split};
use crate::sigterm::{put_configuration, wait_until_ready};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CORES: u8 = 5;
const FRONTS: u8 = 3;
const MEMBERS: usize = 3;
const SEEDS: [u8; 3] = [0, 1, 2];
const CALM: Duration = Duration::from_secs(6);
/// Time from a promotion's call until the member leads.
const PROMOTE: Duration = Duration::from_millis(600);
/// Time after which an unanswered call is carried out.
const LATE: Duration = Duration::from_secs(5);
/// Time from the kill until the core's processes are back; the one that had made the call comes last.
const BACK: Duration = Duration::from_millis(300);
const HOLDER_BACK: Duration = Duration::from_millis(950);
const WATCHED: Duration = Duration::from_secs(15);
const WORK_MS: (u64, u64) = (5, 20);

type Error = Box<dyn std::error::Error>;

/// A call for a promotion, as the platform got it.
#[derive(Clone, Debug)]
struct Call {
    at: Instant,
    holder: String,
    fence: u64,
    target: String,
    /// What the platform did, and when; none while the call is neither answered nor carried out.
    outcome: Option<(Instant, &'static str)>,
}

/// The platform's API for promotions.
struct Platform {
    service: Arc<Service>,
    calls: Mutex<Vec<Call>>,
    highest_fence: AtomicU64,
    /// Holder whose calls stay unanswered: the first one that calls.
    unanswered: Mutex<Option<String>>,
}

impl Platform {
    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let platform = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = Arc::clone(&platform);
                thread::spawn(move || platform.answer(stream));
            }
        });
    }

    fn answer(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let (mut holder, mut fence, mut length) = (String::new(), 0, 0);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                if line.trim_end().is_empty() {
                    break;
                }
                continue;
            };
            match name.to_ascii_lowercase().as_str() {
                "duty-holder" => holder = value.to_owned(),
                "fencing-token" => fence = value.parse().ok()?,
                "content-length" => length = value.parse().ok()?,
                _ => (),
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        let target = (0..MEMBERS).map(member_id).find(|id| body.contains(id.as_str()))?;
        let call =
            Call { at: Instant::now(), holder: holder.clone(), fence, target, outcome: None };
        let place = {
            let mut calls = self.calls.lock().unwrap();
            calls.push(call);
            calls.len() - 1
        };
        let is_unanswered =
            *self.unanswered.lock().unwrap().get_or_insert_with(|| holder.clone()) == holder;
        if is_unanswered {
            thread::sleep(LATE);
        }
        let status = self.carry_out(place);
        if !is_unanswered {
            let answer =
                format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            stream.write_all(answer.as_bytes()).ok()?;
        }
        Some(())
    }

    /// Carries out a call if its fence is not lower than one that was seen.
    fn carry_out(&self, place: usize) -> &'static str {
        let call = self.calls.lock().unwrap()[place].clone();
        let highest = self.highest_fence.fetch_max(call.fence, Ordering::SeqCst);
        let number = (0..MEMBERS).find(|number| member_id(*number) == call.target);
        let number = number.filter(|number| !self.service.is_down(*number));
        let (status, outcome) = match number {
            _ if call.fence < highest => ("409 Conflict", "refused: a higher fence was seen"),
            None => ("409 Conflict", "refused: this member is not running"),
            Some(number) if self.service.primary() == number => {
                ("200 OK", "carried out, no change")
            }
            Some(number) => {
                let service = Arc::clone(&self.service);
                thread::spawn(move || {
                    thread::sleep(PROMOTE);
                    service.promote(number);
                });
                ("200 OK", "carried out")
            }
        };
        self.calls.lock().unwrap()[place].outcome = Some((Instant::now(), outcome));
        status
    }
}

/// A session that writes, so that the fronts find out whether they reach the primary.
fn client(network: Network, front: u8, stopping: &AtomicBool) {
    let mut number = 0_u64;
    while !stopping.load(Ordering::SeqCst) {
        let address = SocketAddr::new(network.front(front), FRONT_PORT);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let Ok(clone) = stream.try_clone() else { continue };
        let mut lines = BufReader::new(clone).lines().map_while(Result::ok);
        let mut is_open = stream.write_all(b"START book1 u1\r\n").is_ok()
            && lines.next().is_some_and(|line| line.starts_with("READY"));
        while is_open && !stopping.load(Ordering::SeqCst) {
            number += 1;
            let text =
                format!("QUERY 7f{front:02x}{number:012x} WRITE {:x} qz\r\n", number % 2_000);
            is_open = stream.write_all(text.as_bytes()).is_ok()
                && lines.any(|line| split(&line).0 == "READY");
            thread::sleep(Duration::from_millis(40));
        }
    }
}

/// Plays the scenario; returns the number of fencing tokens under which two holders promoted.
pub fn play(root: &Path, record: &Path, trouble: &str) -> Result<usize, Error> {
    let network = Network::find(CORES, FRONTS, MEMBERS as u8).ok_or("no free addresses")?;
    let folder = Folder::create()?;
    let service = Service::new(WORK_MS);
    let platform = Arc::new(Platform {
        service: Arc::clone(&service),
        calls: Mutex::default(),
        highest_fence: AtomicU64::new(0),
        unanswered: Mutex::default(),
    });
    platform.serve(TcpListener::bind(network.authority())?);
    let start_core = |core: u8, bootstrap: bool| {
        let text = core_settings(network, core, &SEEDS, bootstrap, &folder.0);
        Machine::start(root, &folder.0, &format!("core-{core}"), "core", &text)
    };
    let mut cores = Vec::new();
    for core in 0..CORES {
        cores.push(start_core(core, true)?);
    }
    let mut fronts = Vec::new();
    for front in 0..FRONTS {
        let text = front_settings(network, front, usize::from(front), &SEEDS);
        fronts.push(Machine::start(root, &folder.0, &format!("front-{front}"), "front", &text)?);
    }
    put_configuration(network)?;
    for number in 0..MEMBERS {
        member::start(&service, network, CORES, number)?;
    }
    wait_until_ready(network, FRONTS)?;
    let stopping = Arc::new(AtomicBool::new(false));
    for front in 0..FRONTS {
        for _ in 0..2 {
            let stopping = Arc::clone(&stopping);
            thread::spawn(move || client(network, front, &stopping));
        }
    }
    thread::sleep(CALM);

    let began = Instant::now();
    let mut text = String::new();
    let mut note = |text_of: &str| {
        let _ = writeln!(text, "{:7.3} s  {text_of}", began.elapsed().as_secs_f64());
    };
    if trouble != "0" {
        service.crash(0);
        note(&format!("the primary {} crashes", member_id(0)));
        let first = wait_for_call(&platform, began).ok_or("no call for a promotion came")?;
        note(&format!(
            "the platform gets the first call, from {}, and leaves it unanswered",
            first.holder
        ));
        if trouble != "crash" {
            for core in &mut cores {
                core.kill();
            }
            let killed = Instant::now();
            note("all processes of the core are killed");
            let is_holder = |core: u8| first.holder == format!("core-{core}");
            thread::sleep(BACK.saturating_sub(killed.elapsed()));
            for core in (0..CORES).filter(|core| !is_holder(*core)) {
                cores[usize::from(core)] = start_core(core, false)?;
            }
            thread::sleep(HOLDER_BACK.saturating_sub(killed.elapsed()));
            for core in (0..CORES).filter(|core| is_holder(*core)) {
                cores[usize::from(core)] = start_core(core, false)?;
            }
            note("all of them are back");
        }
    }
    thread::sleep(WATCHED.saturating_sub(began.elapsed()));
    stopping.store(true, Ordering::SeqCst);
    if let Some(ended) =
        cores.iter_mut().chain(&mut fronts).find_map(|it| it.has_ended().then(|| it.name.clone()))
    {
        return Err(format!("{ended} ended by itself").into());
    }
    let calls = platform.calls.lock().unwrap().clone();
    let since = |at: Instant| at.saturating_duration_since(began).as_secs_f64();
    let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for call in &calls {
        let Call { holder, fence, target, .. } = call;
        let outcome = call.outcome.map_or_else(
            || "neither answered nor carried out".to_owned(),
            |(at, outcome)| format!("{outcome} at {:.3} s", since(at)),
        );
        let _ = writeln!(
            text,
            "{:7.3} s  POST /promotion of {target}, Duty-Holder {holder}, Fencing-Token {fence}: {outcome}",
            since(call.at)
        );
        if call.outcome.is_some_and(|(_, outcome)| outcome.starts_with("carried out")) {
            holders.entry(*fence).or_default().insert(holder);
        }
    }
    let shared: Vec<_> = holders.iter().filter(|(_, holders)| holders.len() > 1).collect();
    let _ = match shared.is_empty() {
        true => writeln!(text, "held: no two holders promoted under one fencing token"),
        false => writeln!(text, "BROKEN: two holders promoted under one fencing token: {shared:?}"),
    };
    std::fs::write(record, &text)?;
    Ok(shared.len())
}

fn wait_for_call(platform: &Platform, since: Instant) -> Option<Call> {
    while since.elapsed() < Duration::from_secs(12) {
        if let Some(first) = platform.calls.lock().unwrap().first() {
            return Some(first.clone());
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}
