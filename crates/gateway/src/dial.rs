//! Opens connections to members: connects the socket, sends the start message, and waits until the member is
//! ready. The timeouts are in the settings.

use crate::byte_budget::ByteBudget;
use crate::connection::MemberConnection;
use crate::error::{DialError, LinkError};
use crate::settings::GatewaySettings;
use crate::transport::Transport;
use crate::wire::Wire;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::statement::{MemberRequest, ReadyState, Reply};
use corktack_core::tenancy::{Principal, TenantName};
use corktack_protocol::liveness::Liveness;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Member to which a connection is opened, and the principal for which it is opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Destination<'d> {
    pub(crate) group: &'d GroupName,
    pub(crate) member: &'d MemberName,
    pub(crate) address: SocketAddr,
    pub(crate) principal: &'d Principal,
}

/// Opens a connection and waits until the member is ready for statements; returns the connection and the
/// member's state.
pub(crate) async fn dial<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    destination: Destination<'_>,
    answers: &Rc<ByteBudget>,
) -> Result<(MemberConnection<W>, ReadyState), DialError> {
    let stream = timeout(settings.connect_timeout, TcpStream::connect(destination.address)).await;
    let stream = stream.map_err(|_| DialError::Unreachable(LinkError::TimedOut))?;
    let stream = stream.map_err(|error| DialError::Unreachable(LinkError::Io(error)))?;
    let opening = open(wire, settings, destination, stream, Rc::clone(answers));
    let opened = timeout(settings.dial_timeout, opening).await;
    opened.map_err(|_| DialError::Link(LinkError::TimedOut))?.map_err(DialError::into_startup_error)
}

async fn open<W: Wire>(
    wire: &W,
    settings: &GatewaySettings,
    Destination { group, member, principal, .. }: Destination<'_>,
    stream: TcpStream,
    answers: Rc<ByteBudget>,
) -> Result<(MemberConnection<W>, ReadyState), DialError> {
    Liveness::WITHIN_DEPLOYMENT.apply(&stream).map_err(LinkError::Io)?;
    let mut connection =
        MemberConnection::new(wire.clone(), Transport::Direct(stream), principal.clone(), answers);
    let start = MemberRequest::Start {
        group: group.as_str(),
        client_name: principal.tenant().map_or(settings.name.as_str(), TenantName::as_str),
        member: member.as_str(),
    };
    connection.send(&start).await?;
    match connection.read_reply().await? {
        Reply::Ready(ready) => Ok((connection, ready)),
        Reply::Error { code, text } => Err(DialError::Refused { code, text }),
        _ => Err(LinkError::Closed.into()),
    }
}
