//! The server connections of a group, within the limit that they have together.
//!
//! The module owns the count; a connection counts from before it is opened until it is dropped.

use super::Group;
use crate::connection::{ConnectionError, Login, ServerConnection};
use corktack_core::identity::MemberName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::Notify;

/// `application_name` of connections that serve callers.
const APPLICATION_NAME: &str = "corktack";
/// `application_name` of probes and barriers; it is exempt from slots.
pub(crate) const CONTROL_APPLICATION_NAME: &str = "corktack-control";

/// A server connection that counts towards the group's limit.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: ServerConnection,
    _open: OpenConnection,
}

/// One of the connections that the group's limit allows, open or being opened.
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
    /// Takes one of the connections that the limit allows, if any is left.
    pub fn reserve_connection(&self) -> Option<OpenConnection> {
        let limit = self.view().spec.connections;
        let one_more = |open| (open < limit).then_some(open + 1);
        self.open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_more).ok()?;
        Some(OpenConnection { open: Arc::clone(&self.open), room: Arc::clone(&self.room) })
    }

    /// Opens a new server connection.
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

    /// Server connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Address of a member, and how to log in there.
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
