//! A caller's connection: startup with the token of the session before, prepared statements, transactions.
//!
//! Owns the connection and its statements; keeps the newest token that the proxy reported where its caller
//! finds it. Relies on `tokio_postgres` as any application would.

use super::caller::CallerSettings;
use super::history::BOOKING_PARTS;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, NoTls, Statement};

/// Parameter in which a proxy reports the session's token.
const TOKEN_PARAMETER: &str = "corktack.token";
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// The newest token of a caller's sessions.
pub(super) type Token = Arc<Mutex<Option<String>>>;

/// A connection with the statements that its caller repeats.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) client: Client,
    pub(super) lookup: Statement,
    pub(super) own: Statement,
    pub(super) flag: Statement,
}

impl Session {
    /// Connects to one of the caller's endpoints, with the token if that is a proxy.
    pub(super) async fn connect(
        settings: &CallerSettings,
        endpoint: usize,
        token: &Token,
    ) -> Result<Self, tokio_postgres::Error> {
        let address = settings.endpoints[endpoint];
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&settings.user)
            .dbname(&settings.database)
            .connect_timeout(CONNECT_TIMEOUT);
        let known = token.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let (true, Some(known)) = (settings.proxied, known) {
            config.options(format!("-c {TOKEN_PARAMETER}={known}"));
        }
        let (client, mut connection) = config.connect(NoTls).await?;
        let shared = Arc::clone(token);
        tokio::spawn(async move {
            loop {
                let polled = poll_fn(|context| {
                    let polled = connection.poll_message(context);
                    if let Some(token) = connection.parameter(TOKEN_PARAMETER) {
                        let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
                        *shared = Some(token.to_owned());
                    }
                    polled
                });
                let Some(Ok(_)) = polled.await else { return };
            }
        });
        Self::prepare(client).await
    }

    async fn prepare(client: Client) -> Result<Self, tokio_postgres::Error> {
        let lookup = client
            .prepare_typed("SELECT line, detail FROM record WHERE line = $1", &[Type::INT8])
            .await?;
        let own = client
            .prepare_typed(
                "SELECT coalesce(max(sequence), 0) FROM flag WHERE caller = $1",
                &[Type::TEXT],
            )
            .await?;
        let flag = client
            .prepare_typed(
                "INSERT INTO flag (id, caller, sequence) VALUES ($1, $2, $3)",
                &[Type::TEXT, Type::TEXT, Type::INT8],
            )
            .await?;
        Ok(Self { client, lookup, own, flag })
    }

    /// Runs a booking's transaction; the second value tells whether COMMIT was sent.
    pub(super) async fn run_booking(
        &mut self,
        id: &str,
    ) -> (Result<(), tokio_postgres::Error>, bool) {
        let transaction = match self.client.transaction().await {
            Ok(transaction) => transaction,
            Err(error) => return (Err(error), false),
        };
        for part in 0..BOOKING_PARTS {
            let insert = format!("INSERT INTO ledger (booking, part) VALUES ('{id}', {part})");
            if let Err(error) = transaction.simple_query(&insert).await {
                return (Err(error), false);
            }
        }
        (transaction.commit().await, true)
    }
}
