//! Measures how many short statements a group's primary serves: callers insert a row and read it back.
//!
//! `cargo run --release -p corktack-standin --example rate -- FOLDER CALLERS SECONDS`

use corktack_core::identity::{GroupName, NameError};
use corktack_standin::{Group, GroupSettings, MemberError};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio_postgres::{Client, Config, NoTls};

const DEFAULT_CALLERS: u64 = 16;
const DEFAULT_SECONDS: u64 = 5;
/// Identifiers of one caller.
const RANGE: u64 = 1_000_000_000;

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
enum RateError {
    #[error("usage: rate FOLDER [CALLERS [SECONDS]]")]
    Usage,
    #[error(transparent)]
    Name(#[from] NameError),
    #[error(transparent)]
    Member(#[from] MemberError),
    #[error(transparent)]
    Database(#[from] tokio_postgres::Error),
    #[error("a caller's task ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
    #[error("the data folder cannot be made: {0}")]
    Folder(#[from] std::io::Error),
}

/// Pairs of an insert and a select done so far, and time spent in each, in nanoseconds.
#[derive(Default)]
struct Counters {
    pairs: AtomicU64,
    inserting: AtomicU64,
    selecting: AtomicU64,
}

fn main() -> Result<(), RateError> {
    let mut arguments = std::env::args().skip(1);
    let folder = PathBuf::from(arguments.next().ok_or(RateError::Usage)?);
    let mut number = |default: u64| match arguments.next() {
        Some(text) => text.parse().map_err(|_| RateError::Usage),
        None => Ok(default),
    };
    let (callers, seconds) = (number(DEFAULT_CALLERS)?, number(DEFAULT_SECONDS)?);
    std::fs::create_dir_all(&folder)?;
    let mut settings = GroupSettings::new(GroupName::new("rate")?, folder);
    settings.connection_limit = usize::try_from(callers).map_err(|_| RateError::Usage)? + 1;
    let group = Group::start(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(measure(&group, callers, Duration::from_secs(seconds)));
    drop(group);
    result
}

async fn measure(group: &Group, callers: u64, length: Duration) -> Result<(), RateError> {
    let first = connect(group).await?;
    first.batch_execute("CREATE TABLE calls (id BIGINT PRIMARY KEY, line TEXT)").await?;
    let counters = Arc::new(Counters::default());
    let mut clients = Vec::new();
    for _ in 0..callers {
        clients.push(connect(group).await?);
    }
    let start = Instant::now();
    let work = |(caller, client)| run_caller(client, caller, start + length, counters.clone());
    let tasks: Vec<_> = (0..callers).zip(clients).map(work).map(tokio::spawn).collect();
    for task in tasks {
        task.await??;
    }
    report(callers, start.elapsed(), &counters);
    Ok(())
}

async fn connect(group: &Group) -> Result<Client, RateError> {
    let address = group.postgres_addresses()[0];
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("clerk").dbname("rate");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn run_caller(
    client: Client,
    caller: u64,
    end: Instant,
    counters: Arc<Counters>,
) -> Result<(), tokio_postgres::Error> {
    let insert = client.prepare("INSERT INTO calls VALUES ($1, $2)").await?;
    let select = client.prepare("SELECT line FROM calls WHERE id = $1").await?;
    let mut id = (caller * RANGE).cast_signed();
    while Instant::now() < end {
        let started = Instant::now();
        client.execute(&insert, &[&id, &"54-11"]).await?;
        let inserted = Instant::now();
        client.query_one(&select, &[&id]).await?;
        add(&counters.inserting, inserted - started);
        add(&counters.selecting, inserted.elapsed());
        counters.pairs.fetch_add(1, Ordering::Relaxed);
        id += 1;
    }
    Ok(())
}

fn add(counter: &AtomicU64, time: Duration) {
    let nanoseconds = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    counter.fetch_add(nanoseconds, Ordering::Relaxed);
}

fn report(callers: u64, elapsed: Duration, counters: &Counters) {
    let pairs = counters.pairs.load(Ordering::Relaxed);
    let mean = |total: &AtomicU64| {
        total.load(Ordering::Relaxed) as f64 / pairs.max(1) as f64 / 1_000_000.0
    };
    println!(
        "{callers} callers: {:.0} statements/s, mean insert {:.3} ms, mean select {:.3} ms",
        2.0 * pairs as f64 / elapsed.as_secs_f64(),
        mean(&counters.inserting),
        mean(&counters.selecting),
    );
}
