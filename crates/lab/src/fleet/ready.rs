//! Waits until the processes of a fleet serve, and asks who leads control.

use super::{Fleet, FleetError};
use crate::load::schema;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Client, NoTls};

/// Longest wait for a fleet's control state, or for its callers to be served.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

impl Fleet {
    pub(super) async fn wait_for_control(&self) -> Result<(), FleetError> {
        let control = || async { Ok(self.corktack(&["get", "groups"])?) };
        wait_for("control", control).await
    }

    pub(super) async fn wait_until_served(&self) -> Result<(), FleetError> {
        for (database, callers) in self.targets() {
            for address in callers {
                let what = format!("{database} at {address}");
                wait_for(&what, || async {
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
    /// [`FleetError::NotReady`] when a group does not take them in time.
    pub async fn create_tables(&self) -> Result<(), FleetError> {
        for (database, callers) in self.targets() {
            wait_for(&format!("tables of {database}"), || async {
                let client = connect(callers[0], &database, "lab").await?;
                Ok(schema::create(&client).await?)
            })
            .await?;
        }
        Ok(())
    }

    /// Place of the leading control replica among [`Fleet::controls`].
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when none says who leads.
    pub async fn control_leader(&self) -> Result<usize, FleetError> {
        let status = self.corktack(&["status", "-o", "json"])?;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        let leader = status.get("leader").and_then(serde_json::Value::as_u64);
        let place = self.plan.controls.iter().position(|control| Some(control.id) == leader);
        let what = "a leading control replica".to_owned();
        let last = status.to_string();
        place.ok_or(FleetError::NotReady { what, waited: Duration::ZERO, last })
    }
}

/// Connects as a plain client.
///
/// # Errors
/// The client's error.
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
    what: &str,
    mut attempt: impl FnMut() -> F,
) -> Result<(), FleetError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let Err(last) = attempt().await else { return Ok(()) };
        if Instant::now() >= deadline {
            let (what, last) = (what.to_owned(), format!("{last:?}"));
            return Err(FleetError::NotReady { what, waited: READY_TIMEOUT, last });
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
}
