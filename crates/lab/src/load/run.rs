//! Runs the callers of a profile against endpoints and collects latencies, outcomes and violations.
//!
//! This module generates the arrivals and runs one task per caller; [`super::caller`] runs single operations.

use super::caller::{Caller, CallerSettings, OperationOutcome};
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

/// Time that callers get for the last answers after the last arrival.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of one load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Workload and topology.
    pub profile: Profile,
    /// Database of each group with its endpoints.
    pub targets: Vec<(String, Vec<SocketAddr>)>,
    /// Whether the endpoints are proxies.
    pub proxied: bool,
    /// Period during which operations arrive.
    pub duration: Duration,
    /// Factor on the profile's arrival rate.
    pub rate: f64,
    /// Seed of the arrival times and of the random choices.
    pub seed: u64,
    /// Prefix of caller names, which keeps the writes of several runs on the same databases apart.
    pub run_name: String,
}

/// Result of a load run.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Latency of answered operations by priority class.
    pub latencies_by_class: BTreeMap<String, Latencies>,
    /// Latency of answered reads.
    pub read_latencies: Latencies,
    /// Latency of answered writes.
    pub write_latencies: Latencies,
    /// Number of operations by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of SQL statements that were answered.
    pub statements: u64,
    /// Writes of all callers by database.
    pub writes_by_database: BTreeMap<String, Vec<Write>>,
    /// Violations that callers saw in their answers.
    pub violations: Vec<Violation>,
    /// Times of acknowledged writes by database, ascending, in microseconds since the start.
    pub acknowledged_micros: BTreeMap<String, Vec<u64>>,
    /// Period during which operations arrived.
    pub duration: Duration,
}

/// Latencies in microseconds, in the order of the answers.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<u64>);

impl Latencies {
    fn record(&mut self, latency: Duration) {
        self.0.push(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
}

/// Prints the count, and the median, 99th percentile and maximum in milliseconds by the nearest-rank method.
impl fmt::Display for Latencies {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let count = sorted.len();
        let quantile_ms = |quantile: f64| {
            let rank = (count as f64 * quantile).ceil() as usize;
            sorted.get(rank.saturating_sub(1)).map_or(0.0, |micros| *micros as f64 / 1_000.0)
        };
        let (p50, p99, max) = (quantile_ms(0.5), quantile_ms(0.99), quantile_ms(1.0));
        write!(formatter, "{count} p50 {p50:.1} ms, p99 {p99:.1} ms, max {max:.1} ms")
    }
}

/// An operation and its scheduled start time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    scheduled_at: Instant,
    operation: Operation,
    switch_endpoint: bool,
}

/// Runs the load and waits for the last answers, for at most `LAST_ANSWER_TIMEOUT`.
pub async fn run_load(settings: LoadSettings) -> LoadResult {
    let result = Arc::new(Mutex::new(LoadResult::default()));
    let start = Instant::now();
    let (stop_sender, stop_receiver) = watch::channel(false);
    let mut callers = Vec::new();
    let mut arrivals = Vec::new();
    for group in 0..settings.targets.len() {
        let (sender, receiver) = mpsc::unbounded_channel();
        let receiver = Arc::new(tokio::sync::Mutex::new(receiver));
        for (caller, class) in create_group_callers(&settings, group) {
            let context =
                CallerContext { class, database: settings.targets[group].0.clone(), start };
            let work = run_caller(
                caller,
                context,
                Arc::clone(&receiver),
                Arc::clone(&result),
                stop_receiver.clone(),
            );
            callers.push(tokio::spawn(work));
        }
        arrivals.push(tokio::spawn(generate_arrivals(settings.clone(), group, start, sender)));
    }
    for arrival in arrivals {
        let _ = arrival.await;
    }
    let deadline = Instant::now() + LAST_ANSWER_TIMEOUT;
    for caller in &mut callers {
        let _ = tokio::time::timeout_at(deadline, caller).await;
    }
    // Callers that still wait for an answer stop, so that their writes are counted too.
    let _ = stop_sender.send(true);
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

fn create_group_callers(settings: &LoadSettings, group: usize) -> Vec<(Caller, String)> {
    let (database, endpoints) = &settings.targets[group];
    let profile = &settings.profile;
    let create_caller = |index: u32| {
        let class = class_of_caller(profile, index);
        let name = format!("{}-{database}-{index}", settings.run_name);
        let caller_settings = CallerSettings {
            name,
            user: class.clone(),
            database: database.clone(),
            endpoints: endpoints.clone(),
            proxied: settings.proxied,
            seed: settings.seed ^ (group as u64) << 32 ^ u64::from(index),
        };
        (Caller::new(caller_settings), class)
    };
    (0..profile.connections).map(create_caller).collect()
}

fn class_of_caller(profile: &Profile, index: u32) -> String {
    let position = (f64::from(index) + 0.5) / f64::from(profile.connections);
    let mut upper_bound = 0.0;
    for class in &profile.classes {
        upper_bound += class.fraction;
        if position < upper_bound {
            return class.name.clone();
        }
    }
    profile.classes.last().map_or_else(String::new, |class| class.name.clone())
}

async fn generate_arrivals(
    settings: LoadSettings,
    group: usize,
    start: Instant,
    sender: mpsc::UnboundedSender<Arrival>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed.wrapping_add(group as u64));
    let rate = settings.profile.arrivals_per_second * settings.rate;
    let mut scheduled_at = start;
    while scheduled_at < start + settings.duration {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        scheduled_at += Duration::from_secs_f64(-uniform.ln() / rate);
        let operation = Operation::draw(&settings.profile, &mut random);
        let switch_endpoint =
            settings.proxied && random.random_bool(settings.profile.endpoint_switch_fraction);
        tokio::time::sleep_until(scheduled_at).await;
        if sender.send(Arrival { scheduled_at, operation, switch_endpoint }).is_err() {
            return;
        }
    }
}

/// Class and database of a caller, and the start of the run.
struct CallerContext {
    class: String,
    database: String,
    start: Instant,
}

async fn run_caller(
    mut caller: Caller,
    context: CallerContext,
    arrivals: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<Arrival>>>,
    result: Arc<Mutex<LoadResult>>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = caller.ensure_connected().await;
    loop {
        let arrival = tokio::select! {
            arrival = async { arrivals.lock().await.recv().await } => arrival,
            _ = stop.changed() => None,
        };
        let Some(arrival) = arrival else { break };
        if arrival.switch_endpoint {
            caller.switch_endpoint();
        }
        let outcome = tokio::select! {
            outcome = caller.run(arrival.operation) => outcome,
            _ = stop.changed() => OperationOutcome::Unanswered,
        };
        let latency = arrival.scheduled_at.elapsed();
        let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
        record_outcome(&mut result, &context.class, arrival.operation, outcome, latency);
        if outcome == OperationOutcome::Unanswered {
            break;
        }
    }
    caller.abandon_in_flight_write();
    let mut result = result.lock().unwrap_or_else(PoisonError::into_inner);
    result.violations.append(&mut caller.violations);
    let micros = caller
        .acknowledged_at
        .iter()
        .map(|acknowledged_at| (*acknowledged_at - context.start).as_micros() as u64);
    result.acknowledged_micros.entry(context.database.clone()).or_default().extend(micros);
    result.writes_by_database.entry(context.database).or_default().append(&mut caller.writes);
}

fn record_outcome(
    result: &mut LoadResult,
    class: &str,
    operation: Operation,
    outcome: OperationOutcome,
    latency: Duration,
) {
    *result.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    if outcome != OperationOutcome::Done {
        return;
    }
    result.statements += operation.statement_count();
    result.latencies_by_class.entry(class.to_owned()).or_default().record(latency);
    let latencies =
        if operation.is_write() { &mut result.write_latencies } else { &mut result.read_latencies };
    latencies.record(latency);
}
