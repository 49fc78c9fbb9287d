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
    _open: OpenConnection,
}

/// A reservation of one of the connections that the group's limit allows.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    open: Arc<AtomicU32>,
    room: Arc<Notify>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.room.notify_one();
    }
}

impl Group {
    /// Reserves a connection under the group's limit, if one is left.
    pub fn reserve_connection(&self) -> Option<OpenConnection> {
        let limit = self.view().spec.connections;
        let one_more = |open| (open < limit).then_some(open + 1);
        self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more).ok()?;
        Some(OpenConnection { open: Arc::clone(&self.open), room: Arc::clone(&self.room) })
    }

    /// Opens a new server connection to a member under a reservation.
    pub async fn connect(
        &self,
        member: &MemberName,
        open: OpenConnection,
    ) -> Result<PooledConnection, ConnectionError> {
        let (address, login) = self.login(member, APPLICATION_NAME);
        let address = address.ok_or(ConnectionError::Closed)?;
        let connection = ServerConnection::connect(address, &login).await?;
        Ok(PooledConnection { connection, _open: open })
    }

    /// Returns the number of server connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
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
