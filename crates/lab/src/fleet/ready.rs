//! Waits until the processes of a fleet serve requests, and finds the leader of the control cell.

use super::{Fleet, FleetError};
use crate::load::schema;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Timeout of each wait: for the control cell, for a proxy to serve a database, for the tables.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

impl Fleet {
    pub(super) async fn wait_for_control(&self) -> Result<(), FleetError> {
        let control = || async { Ok(self.run_corktack(&["get", "groups"])?) };
        wait_for("control", control).await
    }

    pub(super) async fn wait_until_served(&self) -> Result<(), FleetError> {
        for (database, callers) in self.targets() {
            for address in callers {
                let awaited = format!("{database} at {address}");
                wait_for(&awaited, || async {
                    let client = connect(address, &database, "lab").await?;
                    Ok(client.simple_query("SELECT 1").await?)
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Creates the tables of the workloads through the first proxy.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when the tables of a group cannot be created in time.
    pub async fn create_tables(&self) -> Result<(), FleetError> {
        for (database, callers) in self.targets() {
            wait_for(&format!("tables of {database}"), || async {
                let client = connect(callers[0], &database, "lab").await?;
                Ok(schema::create_tables(&client).await?)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the index of the leading control replica in [`Fleet::controls`].
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when the status names no leader; [`FleetError::Command`] when the status
    /// cannot be read.
    pub async fn control_leader(&self) -> Result<usize, FleetError> {
        let status = self.run_corktack(&["status", "-o", "json"])?;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        let leader = status.get("leader").and_then(serde_json::Value::as_u64);
        let index = self.plan.controls.iter().position(|control| Some(control.id) == leader);
        let awaited = "a leading control replica".to_owned();
        let last_answer = status.to_string();
        index.ok_or(FleetError::NotReady { awaited, waited: Duration::ZERO, last_answer })
    }
}

/// Connects as an ordinary PostgreSQL client without a session token.
///
/// # Errors
/// The error of the client library.
pub async fn connect(
    address: SocketAddr,
    database: &str,
    user: &str,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port()).user(user).dbname(database);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn wait_for<T, F: Future<Output = eyre::Result<T>>>(
    awaited: &str,
    mut attempt: impl FnMut() -> F,
) -> Result<(), FleetError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let Err(last_answer) = attempt().await else { return Ok(()) };
        if Instant::now() >= deadline {
            let (awaited, last_answer) = (awaited.to_owned(), format!("{last_answer:?}"));
            return Err(FleetError::NotReady { awaited, waited: READY_TIMEOUT, last_answer });
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
}
