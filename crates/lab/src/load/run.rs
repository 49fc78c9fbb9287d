//! Runs the callers of a profile against endpoints and sums up what they saw.
//!
//! Owns the arrivals, the callers' tasks and the sums; relies on [`super::caller`] for what one caller does.

use super::caller::{Caller, CallerSettings, Ended};
use super::history::{Violation, Write};
use super::operation::Operation;
use crate::profile::Profile;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Longest wait for the last answers after the last arrival.
const LAST_ANSWERS: Duration = Duration::from_secs(60);

/// One run of load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The workload.
    pub profile: Profile,
    /// Databases of the groups, each with its endpoints.
    pub targets: Vec<(String, Vec<SocketAddr>)>,
    /// Whether the endpoints are proxies.
    pub proxied: bool,
    /// How long operations arrive.
    pub duration: Duration,
    /// Factor on the profile's arrivals.
    pub rate: f64,
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Distinguishes the writes of several runs against the same databases.
    pub run_name: String,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Latency of answered operations by priority class.
    pub by_class: BTreeMap<String, Latencies>,
    /// Latency of answered reads.
    pub reads: Latencies,
    /// Latency of answered writes.
    pub writes: Latencies,
    /// Operations by how they ended.
    pub ended: BTreeMap<String, u64>,
    /// Statements answered.
    pub statements: u64,
    /// Writes of all callers, a group each.
    pub written: BTreeMap<String, Vec<Write>>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Times of acknowledged writes by database, in order, in microseconds since the start.
    pub acknowledged_micros: BTreeMap<String, Vec<u64>>,
    /// How long operations arrived.
    pub duration: Duration,
}

/// Latencies in microseconds, in the order of their answers.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<u64>);

impl Latencies {
    fn record(&mut self, latency: Duration) {
        self.0.push(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
}

/// Count, median, 99th percentile and maximum, in milliseconds, by nearest rank.
impl fmt::Display for Latencies {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let count = sorted.len();
        let at = |quantile: f64| {
            let rank = (count as f64 * quantile).ceil() as usize;
            sorted.get(rank.saturating_sub(1)).map_or(0.0, |micros| *micros as f64 / 1_000.0)
        };
        let (p50, p99, max) = (at(0.5), at(0.99), at(1.0));
        write!(formatter, "{count} p50 {p50:.1} ms, p99 {p99:.1} ms, max {max:.1} ms")
    }
}

/// An operation and the time at which it was to start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    operation: Operation,
    roam: bool,
}

/// Runs the load and waits for the last answer.
pub async fn run(settings: LoadSettings) -> LoadResult {
    let result = Arc::new(Mutex::new(LoadResult::default()));
    let start = Instant::now();
    let (closing, closed) = watch::channel(false);
    let mut callers = Vec::new();
    let mut arrivals = Vec::new();
    for number in 0..settings.targets.len() {
        let (sender, receiver) = mpsc::unbounded_channel();
        let receiver = Arc::new(tokio::sync::Mutex::new(receiver));
        for (caller, class) in group_callers(&settings, number) {
            let place = Place { class, database: settings.targets[number].0.clone(), start };
            let work =
                serve(caller, place, Arc::clone(&receiver), Arc::clone(&result), closed.clone());
            callers.push(tokio::spawn(work));
        }
        arrivals.push(tokio::spawn(arrive(settings.clone(), number, start, sender)));
    }
    for arrival in arrivals {
        let _ = arrival.await;
    }
    let deadline = Instant::now() + LAST_ANSWERS;
    for caller in &mut callers {
        let _ = tokio::time::timeout_at(deadline, caller).await;
    }
    // Those still waiting give up, so that what they wrote is counted too.
    let _ = closing.send(true);
    for caller in callers.into_iter().filter(|caller| !caller.is_finished()) {
        let _ = caller.await;
    }
    let mut result = std::mem::take(&mut *result.lock().unwrap_or_else(PoisonError::into_inner));
    result.duration = settings.duration;
    for times in result.acknowledged_micros.values_mut() {
        times.sort_unstable();
    }
    result
}

fn group_callers(settings: &LoadSettings, group: usize) -> Vec<(Caller, String)> {
    let (database, endpoints) = &settings.targets[group];
    let profile = &settings.profile;
    let caller = |number: u32| {
        let class = class_of(profile, number);
        let name = format!("{}-{database}-{number}", settings.run_name);
        let caller = CallerSettings {
            name,
            user: class.clone(),
            database: database.clone(),
            endpoints: endpoints.clone(),
            proxied: settings.proxied,
            seed: settings.seed ^ (group as u64) << 32 ^ u64::from(number),
        };
        (Caller::new(caller), class)
    };
    (0..profile.connections).map(caller).collect()
}

fn class_of(profile: &Profile, number: u32) -> String {
    let place = (f64::from(number) + 0.5) / f64::from(profile.connections);
    let mut upper = 0.0;
    for class in &profile.classes {
        upper += class.share;
        if place < upper {
            return class.name.clone();
        }
    }
    profile.classes.last().map_or_else(String::new, |class| class.name.clone())
}

async fn arrive(
    settings: LoadSettings,
    group: usize,
    start: Instant,
    sender: mpsc::UnboundedSender<Arrival>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(group as u64));
    let rate = settings.profile.arrivals_per_second * settings.rate;
    let mut at = start;
    while at < start + settings.duration {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        let operation = Operation::draw(&settings.profile, &mut random);
        let roam = settings.proxied && random.random_bool(settings.profile.roaming_share);
        tokio::time::sleep_until(at).await;
        if sender.send(Arrival { at, operation, roam }).is_err() {
            return;
        }
    }
}

/// Where a caller belongs and when the run began.
struct Place {
    class: String,
    database: String,
    start: Instant,
}

async fn serve(
    mut caller: Caller,
    place: Place,
    arrivals: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<Arrival>>>,
    result: Arc<Mutex<LoadResult>>,
    mut closing: watch::Receiver<bool>,
) {
    let _ = caller.ensure_connected().await;
    loop {
        let arrival = tokio::select! {
            arrival = async { arrivals.lock().await.recv().await } => arrival,
            _ = closing.changed() => None,
        };
        let Some(arrival) = arrival else { break };
        if arrival.roam {
            caller.roam();
        }
        let ended = tokio::select! {
            ended = caller.run(arrival.operation) => ended,
            _ = closing.changed() => Ended::Unanswered,
        };
        let latency = arrival.at.elapsed();
        let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
        record(&mut result, &place.class, arrival.operation, ended, latency);
        if ended == Ended::Unanswered {
            break;
        }
    }
    caller.abandon();
    let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
    result.violations.append(&mut caller.violations);
    let micros = caller.acknowledged_at.iter().map(|at| (*at - place.start).as_micros() as u64);
    result.acknowledged_micros.entry(place.database.clone()).or_default().extend(micros);
    result.written.entry(place.database).or_default().append(&mut caller.writes);
}

fn record(
    result: &mut LoadResult,
    class: &str,
    operation: Operation,
    ended: Ended,
    latency: Duration,
) {
    *result.ended.entry(format!("{ended:?}")).or_default() += 1;
    if ended != Ended::Done {
        return;
    }
    result.statements += operation.statements();
    result.by_class.entry(class.to_owned()).or_default().record(latency);
    let kind = if operation.writes() { &mut result.writes } else { &mut result.reads };
    kind.record(latency);
}
