//! The server connections of a group, within the group's limit. A connection counts towards the limit from
//! before it is opened until it is dropped.

use super::Group;
use crate::connection::{ConnectionError, Login, ServerConnection};
use corktack_core::identity::MemberName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Notify;

/// `application_name` of connections that serve callers' transactions.
const APPLICATION_NAME: &str = "corktack";
/// `application_name` of the connections for probes and barriers, which need no slot.
pub(crate) const CONTROL_APPLICATION_NAME: &str = "corktack-control";

/// A server connection that counts towards the group's limit until it is dropped.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: ServerConnection,
    _reservation: ConnectionReservation,
}

/// A reservation of one of the connections that the group's limit allows.
#[derive(Debug)]
pub(crate) struct ConnectionReservation {
    open_count: Arc<AtomicU32>,
    connection_freed: Arc<Notify>,
}

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::Relaxed);
        self.connection_freed.notify_one();
    }
}

impl Group {
    /// Reserves a connection under the group's limit, if one is left.
    pub fn reserve_connection(&self) -> Option<ConnectionReservation> {
        let limit = self.view().spec.connections;
        let incremented = |open| (open < limit).then_some(open + 1);
        self.open_count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, incremented).ok()?;
        Some(ConnectionReservation {
            open_count: Arc::clone(&self.open_count),
            connection_freed: Arc::clone(&self.connection_freed),
        })
    }

    /// Opens a new server connection to a member under a reservation.
    pub async fn connect(
        &self,
        member: &MemberName,
        reservation: ConnectionReservation,
    ) -> Result<PooledConnection, ConnectionError> {
        let (address, login) = self.login(member, APPLICATION_NAME);
        let address = address.ok_or(ConnectionError::Closed)?;
        let connection = ServerConnection::connect(address, &login).await?;
        Ok(PooledConnection { connection, _reservation: reservation })
    }

    /// Returns the number of server connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Returns a member's address, if the view has the member, and the parameters to log in with.
    pub fn login(
        &self,
        member: &MemberName,
        application_name: &'static str,
    ) -> (Option<SocketAddr>, Login) {
        let view = self.view();
        let declared = view.spec.members.iter().find(|declared| &declared.name == member);
        let user = self.settings.back_end_user.clone();
        let login = Login { user, database: view.spec.database.clone(), application_name };
        (declared.map(|declared| declared.address), login)
    }
}
