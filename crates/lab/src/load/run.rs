//! Runs the callers of a profile against endpoints and sums up what they saw.

use super::caller::{Caller, CallerSettings, Ended};
use super::history::{Violation, Write};
use super::operation::Operation;
use crate::profile::Profile;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Highest latency that a histogram tells apart, in microseconds.
const LATENCY_LIMIT_MICROS: u64 = 120_000_000;
/// Significant digits of a histogram.
const LATENCY_DIGITS: u8 = 3;
/// Time between lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
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
    /// Word before each line of progress.
    pub label: String,
    /// Distinguishes the writes of several runs against the same databases.
    pub run_name: String,
}

/// Latency of one class or kind, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencySummary {
    /// Operations.
    pub count: u64,
    /// Half were faster.
    pub p50: u64,
    /// 99 in 100 were faster.
    pub p99: u64,
    /// The slowest.
    pub max: u64,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Latency of answered operations by priority class.
    pub by_class: BTreeMap<String, Histogram64>,
    /// Latency of answered reads.
    pub reads: Histogram64,
    /// Latency of answered writes.
    pub writes: Histogram64,
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

/// A histogram of microseconds.
#[derive(Clone, Debug)]
pub struct Histogram64(pub Histogram<u64>);

impl Default for Histogram64 {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_LIMIT_MICROS, LATENCY_DIGITS);
        Self(histogram.expect("the constant bounds are valid"))
    }
}

impl Histogram64 {
    /// Counts, median, 99th percentile and maximum.
    #[must_use]
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.0.len(),
            p50: self.0.value_at_quantile(0.5),
            p99: self.0.value_at_quantile(0.99),
            max: self.0.max(),
        }
    }

    fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }
}

/// An operation and the time at which it was to start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    operation: Operation,
    roam: bool,
}

#[derive(Default)]
struct Progress {
    done: AtomicU64,
    not_done: AtomicU64,
}

/// Runs the load and waits for the last answer.
pub async fn run(settings: LoadSettings) -> LoadResult {
    let result = Arc::new(Mutex::new(LoadResult::default()));
    let progress = Arc::new(Progress::default());
    let start = Instant::now();
    let (closing, closed) = watch::channel(false);
    let mut callers = Vec::new();
    let mut arrivals = Vec::new();
    for number in 0..settings.targets.len() {
        let (sender, receiver) = mpsc::unbounded_channel();
        let receiver = Arc::new(tokio::sync::Mutex::new(receiver));
        for (caller, class) in group_callers(&settings, number) {
            let sums = (Arc::clone(&result), Arc::clone(&progress));
            let place = Place { class, database: settings.targets[number].0.clone(), start };
            let work = serve(caller, place, Arc::clone(&receiver), sums, closed.clone());
            callers.push(tokio::spawn(work));
        }
        arrivals.push(tokio::spawn(arrive(settings.clone(), number, start, sender)));
    }
    let shown = tokio::spawn(show_progress(settings.label.clone(), Arc::clone(&progress), start));
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
    shown.abort();
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

type Sums = (Arc<Mutex<LoadResult>>, Arc<Progress>);

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
    (result, progress): Sums,
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
        let counter = if ended == Ended::Done { &progress.done } else { &progress.not_done };
        counter.fetch_add(1, Ordering::Relaxed);
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

async fn show_progress(label: String, progress: Arc<Progress>, start: Instant) {
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        let done = progress.done.load(Ordering::Relaxed);
        let not_done = progress.not_done.load(Ordering::Relaxed);
        eprintln!("{label}: {:>4} s, {done} done, {not_done} not done", start.elapsed().as_secs());
    }
}
