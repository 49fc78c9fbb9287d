//! One caller: a session over one proxy at a time, checking every answer it gets.
//!
//! Owns what the caller wrote, what it was told and the rules that it saw broken; relies on
//! [`super::session`] for the connection and on [`super::outcome`] for what an error means.

use super::history::{Told, Violation, Write, WriteKind};
use super::operation::Operation;
use super::outcome::{Verdict, verdict};
use super::schema::RECORDS;
use super::session::{Session, Token};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Times a keyed write is sent before its outcome counts as unknown.
const KEYED_ATTEMPTS: u32 = 20;
/// Pause before a repeat where the answer did not say when to come back.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// How one caller connects.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Name, unique in the run.
    pub name: String,
    /// User of the connection; bindings give it its class.
    pub user: String,
    /// Database of the group.
    pub database: String,
    /// Proxies, or the primary alone for a baseline.
    pub endpoints: Vec<SocketAddr>,
    /// Whether the endpoints are proxies, which know tokens and keys.
    pub proxied: bool,
    /// Seed of its choices.
    pub seed: u64,
}

/// What became of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Answered.
    Done,
    /// Refused as not run.
    NotRun,
    /// Outcome unknown.
    Unknown,
    /// Error of the database.
    Failed,
    /// The connection was lost or could not be made.
    Closed,
    /// No answer when the run ended.
    Unanswered,
}

/// A caller and what it saw.
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
    /// Its writes and what it was told.
    pub writes: Vec<Write>,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// When its last write was acknowledged.
    pub acknowledged_at: Vec<Instant>,
}

impl Caller {
    /// A caller that is not connected yet.
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

    /// Leaves this proxy for the next, with the session's token.
    pub fn roam(&mut self) {
        self.session = None;
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.len();
    }

    /// Connects if there is no connection.
    pub async fn ensure_connected(&mut self) -> Result<(), tokio_postgres::Error> {
        if self.session.as_ref().is_some_and(|session| !session.client.is_closed()) {
            return Ok(());
        }
        let session = Session::connect(&self.settings, self.endpoint, &self.token).await;
        if session.is_err() {
            self.roam();
        }
        self.session = Some(session?);
        Ok(())
    }

    /// Runs one operation to its end.
    pub async fn run(&mut self, operation: Operation) -> Ended {
        if let Err(error) = self.ensure_connected().await {
            return self.ended_by(&error);
        }
        match operation {
            Operation::Lookup => self.lookup().await,
            Operation::ReadOwn => self.read_own().await,
            Operation::Flag => self.write_flag().await,
            Operation::Charge => self.write_charge().await,
            Operation::Booking => self.write_booking().await,
        }
    }

    /// Counts a write that was given up on while it ran as one of unknown outcome.
    pub fn abandon(&mut self) {
        self.writes.extend(self.in_flight.take());
    }

    fn begin_write(&mut self, kind: WriteKind, id: &str) {
        self.in_flight = Some(Write { kind, id: id.to_owned(), told: Told::Unknown });
    }

    fn end_write(&mut self, kind: WriteKind, id: String, told: Told) {
        self.in_flight = None;
        self.writes.push(Write { kind, id, told });
    }

    async fn lookup(&mut self) -> Ended {
        let Some(session) = &self.session else { return Ended::Closed };
        let line = self.random.random_range(0..RECORDS);
        let rows = match session.client.query(&session.lookup, &[&line]).await {
            Ok(rows) => rows,
            Err(error) => return self.ended_by(&error),
        };
        let answered: Vec<(i64, String)> =
            rows.iter().map(|row| (row.get(0), row.get(1))).collect();
        let expected = vec![(line, format!("detail of line {line}"))];
        if answered != expected {
            let asked = format!("line {line}");
            self.violations
                .push(Violation::WrongAnswer { asked, answered: format!("{answered:?}") });
        }
        Ended::Done
    }

    async fn read_own(&mut self) -> Ended {
        let Some(session) = &self.session else { return Ended::Closed };
        let row = match session.client.query_one(&session.own, &[&self.settings.name]).await {
            Ok(row) => row,
            Err(error) => return self.ended_by(&error),
        };
        let read: i64 = row.get(0);
        if read < self.acknowledged && self.settings.proxied {
            let caller = self.settings.name.clone();
            let acknowledged = self.acknowledged;
            self.violations.push(Violation::StaleRead { caller, acknowledged, read });
        }
        Ended::Done
    }

    async fn write_flag(&mut self) -> Ended {
        self.sequence += 1;
        let sequence = self.sequence;
        let id = format!("{}-{sequence}", self.settings.name);
        self.begin_write(WriteKind::Flag, &id);
        let Some(session) = &self.session else { return Ended::Closed };
        let parameters: [&(dyn tokio_postgres::types::ToSql + Sync); 3] =
            [&id, &self.settings.name, &sequence];
        let result = session.client.execute(&session.flag, &parameters).await;
        if result.is_ok() {
            self.acknowledged = sequence;
        }
        self.finish_write(WriteKind::Flag, id, result.map(drop))
    }

    async fn write_booking(&mut self) -> Ended {
        self.sequence += 1;
        let id = format!("{}-b{}", self.settings.name, self.sequence);
        self.begin_write(WriteKind::Booking, &id);
        let Some(session) = &mut self.session else { return Ended::Closed };
        let (result, committing) = session.run_booking(&id).await;
        let Err(error) = result else { return self.finish_write(WriteKind::Booking, id, Ok(())) };
        // What breaks before COMMIT was sent cannot have committed.
        let verdict = verdict(&error);
        if !committing && verdict == Verdict::Closed {
            self.end_write(WriteKind::Booking, id, Told::NotRun);
            return Ended::Closed;
        }
        self.finish_write(WriteKind::Booking, id, Err(error))
    }

    /// Sends a write under a key until its outcome is known, as a caller would.
    async fn write_charge(&mut self) -> Ended {
        if !self.settings.proxied {
            return self.write_flag().await;
        }
        self.sequence += 1;
        let id = format!("{}-c{}", self.settings.name, self.sequence);
        self.begin_write(WriteKind::Charge, &id);
        let mut maybe_ran = false;
        for _ in 0..KEYED_ATTEMPTS {
            let error = match self.send_charge(&id).await {
                Ok(()) => return self.finish_write(WriteKind::Charge, id, Ok(())),
                Err(error) => error,
            };
            let pause = match verdict(&error) {
                Verdict::NotRun { retry_after_ms } => {
                    Duration::from_millis(u64::from(retry_after_ms.unwrap_or(100)))
                }
                Verdict::Database(_) => break,
                Verdict::Unknown | Verdict::Closed => {
                    maybe_ran = true;
                    self.roam();
                    DEFAULT_PAUSE
                }
            };
            tokio::time::sleep(pause).await;
        }
        let told = if maybe_ran { Told::Unknown } else { Told::NotRun };
        self.end_write(WriteKind::Charge, id, told);
        if maybe_ran { Ended::Unknown } else { Ended::Failed }
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
    ) -> Ended {
        let (told, ended) = match result {
            Ok(()) => {
                self.acknowledged_at.push(Instant::now());
                (Told::Acknowledged, Ended::Done)
            }
            Err(error) => {
                let ended = self.ended_by(&error);
                let told = match ended {
                    Ended::NotRun | Ended::Failed => Told::NotRun,
                    _ => Told::Unknown,
                };
                (told, ended)
            }
        };
        self.end_write(kind, id, told);
        ended
    }

    fn ended_by(&mut self, error: &tokio_postgres::Error) -> Ended {
        match verdict(error) {
            Verdict::NotRun { retry_after_ms } => {
                if retry_after_ms.is_none() {
                    self.violations.push(Violation::NoRetryAfter);
                }
                Ended::NotRun
            }
            Verdict::Unknown => Ended::Unknown,
            Verdict::Database(_) => Ended::Failed,
            Verdict::Closed => {
                self.roam();
                Ended::Closed
            }
        }
    }
}
