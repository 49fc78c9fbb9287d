//! A caller that runs operations over one proxy at a time and checks every answer.
//!
//! The caller records its writes, their reported outcomes and the violations that it sees. It relies on
//! [`super::session`] for the connection and on [`super::outcome`] for the classification of errors.

use super::history::{ReportedOutcome, Violation, Write, WriteKind};
use super::operation::Operation;
use super::outcome::{ErrorClass, classify_error};
use super::schema::RECORD_COUNT;
use super::session::{Session, Token};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Attempts at a write with an idempotency key before the caller gives up.
const MAX_KEYED_ATTEMPTS: u32 = 20;
/// Delay before a retry when the outcome is unknown or the connection was lost.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Identity and endpoints of one caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Name of the caller, unique in the run.
    pub name: String,
    /// User name of the connection; a binding maps the user to a priority class.
    pub user: String,
    /// Database of the group.
    pub database: String,
    /// Addresses of the proxies, or of the primary in a baseline.
    pub endpoints: Vec<SocketAddr>,
    /// Whether the endpoints are proxies, which support session tokens and idempotency keys.
    pub proxied: bool,
    /// Seed of the caller's random choices.
    pub seed: u64,
}

/// Outcome of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The operation was answered.
    Done,
    /// The operation was refused and did not run.
    NotRun,
    /// The operation may or may not have run.
    Unknown,
    /// The database answered with an error.
    Failed,
    /// The connection was lost or could not be established.
    Closed,
    /// The run ended before the answer came.
    Unanswered,
}

/// A caller with its writes and the violations that it saw.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    random: ChaCha8Rng,
    endpoint: usize,
    session: Option<Session>,
    token: Token,
    sequence: i64,
    acknowledged: i64,
    in_flight: Option<Write>,
    /// Writes of the caller with their reported outcomes.
    pub writes: Vec<Write>,
    /// Violations that the caller saw in its answers.
    pub violations: Vec<Violation>,
    /// Times at which writes were acknowledged.
    pub acknowledged_at: Vec<Instant>,
}

impl Caller {
    /// Creates a caller that is not connected yet.
    #[must_use]
    pub fn new(settings: CallerSettings) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let endpoint = random.random_range(0..settings.endpoints.len());
        Self {
            settings,
            random,
            endpoint,
            session: None,
            token: Token::default(),
            sequence: 0,
            acknowledged: 0,
            in_flight: None,
            writes: Vec::new(),
            violations: Vec::new(),
            acknowledged_at: Vec::new(),
        }
    }

    /// Closes the session and selects the next endpoint; the next session presents the same token.
    pub fn switch_endpoint(&mut self) {
        self.session = None;
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.len();
    }

    /// Connects unless the caller has an open connection.
    pub async fn ensure_connected(&mut self) -> Result<(), tokio_postgres::Error> {
        if self.session.as_ref().is_some_and(|session| !session.client.is_closed()) {
            return Ok(());
        }
        let session = Session::connect(&self.settings, self.endpoint, &self.token).await;
        if session.is_err() {
            self.switch_endpoint();
        }
        self.session = Some(session?);
        Ok(())
    }

    /// Runs one operation to completion.
    pub async fn run(&mut self, operation: Operation) -> OperationOutcome {
        if let Err(error) = self.ensure_connected().await {
            return self.handle_error(&error);
        }
        match operation {
            Operation::Lookup => self.lookup().await,
            Operation::ReadOwn => self.read_own().await,
            Operation::Flag => self.write_flag().await,
            Operation::Charge => self.write_charge().await,
            Operation::Booking => self.write_booking().await,
        }
    }

    /// Records a write that was interrupted in flight as a write of unknown outcome.
    pub fn abandon_in_flight_write(&mut self) {
        self.writes.extend(self.in_flight.take());
    }

    fn begin_write(&mut self, kind: WriteKind, id: &str) {
        self.in_flight = Some(Write { kind, id: id.to_owned(), told: ReportedOutcome::Unknown });
    }

    fn record_write(&mut self, kind: WriteKind, id: String, told: ReportedOutcome) {
        self.in_flight = None;
        self.writes.push(Write { kind, id, told });
    }

    async fn lookup(&mut self) -> OperationOutcome {
        let Some(session) = &self.session else { return OperationOutcome::Closed };
        let line = self.random.random_range(0..RECORD_COUNT);
        let rows = match session.client.query(&session.lookup, &[&line]).await {
            Ok(rows) => rows,
            Err(error) => return self.handle_error(&error),
        };
        let received: Vec<(i64, String)> =
            rows.iter().map(|row| (row.get(0), row.get(1))).collect();
        let expected = vec![(line, format!("detail of line {line}"))];
        if received != expected {
            let asked = format!("line {line}");
            self.violations
                .push(Violation::WrongAnswer { asked, answered: format!("{received:?}") });
        }
        OperationOutcome::Done
    }

    async fn read_own(&mut self) -> OperationOutcome {
        let Some(session) = &self.session else { return OperationOutcome::Closed };
        let row = match session.client.query_one(&session.own_read, &[&self.settings.name]).await {
            Ok(row) => row,
            Err(error) => return self.handle_error(&error),
        };
        let read: i64 = row.get(0);
        if read < self.acknowledged && self.settings.proxied {
            let caller = self.settings.name.clone();
            let acknowledged = self.acknowledged;
            self.violations.push(Violation::StaleRead { caller, acknowledged, read });
        }
        OperationOutcome::Done
    }

    async fn write_flag(&mut self) -> OperationOutcome {
        self.sequence += 1;
        let sequence = self.sequence;
        let id = format!("{}-{sequence}", self.settings.name);
        self.begin_write(WriteKind::Flag, &id);
        let Some(session) = &self.session else { return OperationOutcome::Closed };
        let parameters: [&(dyn tokio_postgres::types::ToSql + Sync); 3] =
            [&id, &self.settings.name, &sequence];
        let result = session.client.execute(&session.flag_insert, &parameters).await;
        if result.is_ok() {
            self.acknowledged = sequence;
        }
        self.finish_write(WriteKind::Flag, id, result.map(drop))
    }

    async fn write_booking(&mut self) -> OperationOutcome {
        self.sequence += 1;
        let id = format!("{}-b{}", self.settings.name, self.sequence);
        self.begin_write(WriteKind::Booking, &id);
        let Some(session) = &mut self.session else { return OperationOutcome::Closed };
        let (result, commit_sent) = session.run_booking(&id).await;
        let Err(error) = result else { return self.finish_write(WriteKind::Booking, id, Ok(())) };
        // A transaction whose connection breaks before COMMIT is sent cannot have committed.
        let class = classify_error(&error);
        if !commit_sent && class == ErrorClass::Closed {
            self.record_write(WriteKind::Booking, id, ReportedOutcome::NotRun);
            return OperationOutcome::Closed;
        }
        self.finish_write(WriteKind::Booking, id, Err(error))
    }

    /// Sends a write with an idempotency key and retries until its outcome is known.
    async fn write_charge(&mut self) -> OperationOutcome {
        if !self.settings.proxied {
            return self.write_flag().await;
        }
        self.sequence += 1;
        let id = format!("{}-c{}", self.settings.name, self.sequence);
        self.begin_write(WriteKind::Charge, &id);
        let mut may_have_run = false;
        for _ in 0..MAX_KEYED_ATTEMPTS {
            let error = match self.send_charge(&id).await {
                Ok(()) => return self.finish_write(WriteKind::Charge, id, Ok(())),
                Err(error) => error,
            };
            let retry_delay = match classify_error(&error) {
                ErrorClass::NotRun { retry_after_ms } => {
                    Duration::from_millis(u64::from(retry_after_ms.unwrap_or(100)))
                }
                ErrorClass::Database(_) => break,
                ErrorClass::Unknown | ErrorClass::Closed => {
                    may_have_run = true;
                    self.switch_endpoint();
                    DEFAULT_RETRY_DELAY
                }
            };
            tokio::time::sleep(retry_delay).await;
        }
        let told = if may_have_run { ReportedOutcome::Unknown } else { ReportedOutcome::NotRun };
        self.record_write(WriteKind::Charge, id, told);
        if may_have_run { OperationOutcome::Unknown } else { OperationOutcome::Failed }
    }

    async fn send_charge(&mut self, id: &str) -> Result<(), tokio_postgres::Error> {
        self.ensure_connected().await?;
        let Some(session) = &self.session else { return Ok(()) };
        let key = format!("SET corktack.idempotency_key = '{id}'");
        session.client.simple_query(&key).await?;
        let caller = &self.settings.name;
        let insert = format!("INSERT INTO charge (id, caller) VALUES ('{id}', '{caller}')");
        session.client.simple_query(&insert).await.map(drop)
    }

    fn finish_write(
        &mut self,
        kind: WriteKind,
        id: String,
        result: Result<(), tokio_postgres::Error>,
    ) -> OperationOutcome {
        let (told, outcome) = match result {
            Ok(()) => {
                self.acknowledged_at.push(Instant::now());
                (ReportedOutcome::Acknowledged, OperationOutcome::Done)
            }
            Err(error) => {
                let outcome = self.handle_error(&error);
                let told = match outcome {
                    OperationOutcome::NotRun | OperationOutcome::Failed => ReportedOutcome::NotRun,
                    _ => ReportedOutcome::Unknown,
                };
                (told, outcome)
            }
        };
        self.record_write(kind, id, told);
        outcome
    }

    fn handle_error(&mut self, error: &tokio_postgres::Error) -> OperationOutcome {
        match classify_error(error) {
            ErrorClass::NotRun { retry_after_ms } => {
                if retry_after_ms.is_none() {
                    self.violations.push(Violation::NoRetryAfter);
                }
                OperationOutcome::NotRun
            }
            ErrorClass::Unknown => OperationOutcome::Unknown,
            ErrorClass::Database(_) => OperationOutcome::Failed,
            ErrorClass::Closed => {
                self.switch_endpoint();
                OperationOutcome::Closed
            }
        }
    }
}
