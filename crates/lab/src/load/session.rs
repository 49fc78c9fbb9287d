//! Connection of a caller: startup with the token of the previous session, prepared statements, transactions.
//!
//! A session owns its connection and prepared statements, and stores the newest token that the proxy reported
//! for the caller's next session. It uses `tokio_postgres` as an ordinary application would.

use super::caller::CallerSettings;
use super::history::ROWS_PER_BOOKING;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, NoTls, Statement};

/// Parameter in which a proxy reports the session's token.
const TOKEN_PARAMETER: &str = "corktack.token";
/// Timeout of connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// Newest session token of a caller, shared with the task that drives the connection.
pub(super) type Token = Arc<Mutex<Option<String>>>;

/// A connection with its prepared statements.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) client: Client,
    pub(super) lookup: Statement,
    pub(super) own_read: Statement,
    pub(super) flag_insert: Statement,
}

impl Session {
    /// Connects to one of the caller's endpoints and passes the token if the endpoint is a proxy.
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
        let current_token = token.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let (true, Some(current_token)) = (settings.proxied, current_token) {
            config.options(format!("-c {TOKEN_PARAMETER}={current_token}"));
        }
        let (client, mut connection) = config.connect(NoTls).await?;
        let shared_token = Arc::clone(token);
        tokio::spawn(async move {
            loop {
                let polled_message = poll_fn(|context| {
                    let polled = connection.poll_message(context);
                    if let Some(token) = connection.parameter(TOKEN_PARAMETER) {
                        let mut newest_token =
                            shared_token.lock().unwrap_or_else(PoisonError::into_inner);
                        *newest_token = Some(token.to_owned());
                    }
                    polled
                });
                let Some(Ok(_)) = polled_message.await else { return };
            }
        });
        Self::prepare(client).await
    }

    async fn prepare(client: Client) -> Result<Self, tokio_postgres::Error> {
        let lookup = client
            .prepare_typed("SELECT line, detail FROM record WHERE line = $1", &[Type::INT8])
            .await?;
        let own_read = client
            .prepare_typed(
                "SELECT coalesce(max(sequence), 0) FROM flag WHERE caller = $1",
                &[Type::TEXT],
            )
            .await?;
        let flag_insert = client
            .prepare_typed(
                "INSERT INTO flag (id, caller, sequence) VALUES ($1, $2, $3)",
                &[Type::TEXT, Type::TEXT, Type::INT8],
            )
            .await?;
        Ok(Self { client, lookup, own_read, flag_insert })
    }

    /// Runs the transaction of a booking. The second value tells whether COMMIT was sent.
    pub(super) async fn run_booking(
        &mut self,
        id: &str,
    ) -> (Result<(), tokio_postgres::Error>, bool) {
        let transaction = match self.client.transaction().await {
            Ok(transaction) => transaction,
            Err(error) => return (Err(error), false),
        };
        for part in 0..ROWS_PER_BOOKING {
            let insert = format!("INSERT INTO ledger (booking, part) VALUES ('{id}', {part})");
            if let Err(error) = transaction.simple_query(&insert).await {
                return (Err(error), false);
            }
        }
        (transaction.commit().await, true)
    }
}
