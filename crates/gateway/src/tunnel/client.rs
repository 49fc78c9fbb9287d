//! The side of a tunnel that needs a connection: asks holders for leases and statements, and keeps
//! tunnels that nobody uses.

use super::{TunnelWish, link_error, result_of};
use crate::answer::Answer;
use crate::error::LinkError;
use crate::run::Unanswered;
use bytes::BytesMut;
use corktack_core::gateway::ConnectionProfile;
use corktack_core::position::Position;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply, TunnelRequest};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Longest wait until another gateway accepts a tunnel.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// How much longer than the wait itself a grant may take, for the way.
const GRANT_SLACK: Duration = Duration::from_millis(150);
/// Longest wait for a gateway to take the end of a lease.
const RELEASE_LIMIT: Duration = Duration::from_millis(500);
/// Tunnels to one gateway that are kept while nobody uses them.
const IDLE_TUNNELS: usize = 4;

type ClientFrames = Framed<TcpStream, FrameCodec<TunnelRequest, TunnelReply>>;

/// A tunnel as the gateway sees it that needs a connection.
#[derive(Debug)]
pub(crate) struct TunnelClient {
    frames: ClientFrames,
    holder: SocketAddr,
}

/// What a holder answered.
#[derive(Debug)]
pub(crate) enum Grant {
    /// A connection, what it knows, and the holder's newest position with its age.
    Granted(Box<TunnelClient>, ConnectionProfile, Option<(Duration, Position)>),
    /// None.
    Refused(TunnelRefusal),
}

/// What a holder made of a statement.
#[derive(Debug)]
pub(crate) enum RunReply {
    /// It ran it, with this outcome and its newest position and age.
    Ran(Result<Answer, Unanswered>, Option<(Duration, Position)>),
    /// It has no connection to run it on.
    Refused(TunnelRefusal),
}

/// Why a holder said nothing of a statement.
#[derive(Debug)]
pub(crate) enum RunError {
    /// It did not get it.
    NotSent(LinkError),
    /// It may have run it.
    Sent(LinkError),
}

impl TunnelClient {
    async fn connect(holder: SocketAddr) -> Result<Self, LinkError> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(holder)).await;
        let stream = stream.map_err(|_| LinkError::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Self { frames: Framed::new(stream, FrameCodec::default()), holder })
    }

    async fn acquire(mut self, wish: TunnelWish) -> Result<Grant, LinkError> {
        let TunnelWish { group, member, priority, wait } = wish;
        let request = TunnelRequest::Acquire { group, member, priority, wait };
        self.frames.send(request).await.map_err(link_error)?;
        let reply = timeout(wait + GRANT_SLACK, self.frames.next()).await;
        match reply.map_err(|_| LinkError::TimedOut)? {
            Some(Ok(TunnelReply::Granted { profile, newest })) => {
                Ok(Grant::Granted(Box::new(self), profile, newest))
            }
            Some(Ok(TunnelReply::Refused(refusal))) => Ok(Grant::Refused(refusal)),
            Some(Ok(_)) | None => Err(LinkError::Closed),
            Some(Err(error)) => Err(link_error(error)),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let request = TunnelRequest::Bytes(bytes.to_vec());
        self.frames.send(request).await.map_err(link_error)
    }

    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        match self.frames.next().await {
            Some(Ok(TunnelReply::Bytes(bytes))) => {
                buffer.extend_from_slice(&bytes);
                Ok(())
            }
            Some(Err(error)) => Err(link_error(error)),
            Some(Ok(_)) | None => Err(LinkError::Closed),
        }
    }

    /// Whether the holder closed the tunnel, or sent something unasked, while nobody used it.
    fn is_broken(&self) -> bool {
        let mut byte = [0_u8; 1];
        let unread = !self.frames.read_buffer().is_empty();
        let read = self.frames.get_ref().try_read(&mut byte);
        unread || !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Has a statement run. A frame that was not sent whole is no statement.
    async fn run(
        &mut self,
        wish: &TunnelWish,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RunReply, RunError> {
        let request = TunnelRequest::Run {
            group: wish.group.clone(),
            member: wish.member.clone(),
            priority: wish.priority,
            wait: wish.wait,
            limit,
            statement: Box::new(statement),
        };
        let sent = self.frames.send(request).await;
        sent.map_err(|error| RunError::NotSent(link_error(error)))?;
        let reply = timeout(limit + GRANT_SLACK, self.frames.next()).await;
        match reply.map_err(|_| RunError::Sent(LinkError::TimedOut))? {
            Some(Ok(TunnelReply::Ran { outcome, newest })) => {
                Ok(RunReply::Ran(result_of(outcome), newest))
            }
            Some(Ok(TunnelReply::Refused(refusal))) => Ok(RunReply::Refused(refusal)),
            Some(Ok(_)) | None => Err(RunError::Sent(LinkError::Closed)),
            Some(Err(error)) => Err(RunError::Sent(link_error(error))),
        }
    }

    async fn release(&mut self, profile: ConnectionProfile) -> Result<(), LinkError> {
        let sending = self.frames.send(TunnelRequest::Release { profile });
        let sent = timeout(RELEASE_LIMIT, sending).await;
        sent.map_err(|_| LinkError::TimedOut)?.map_err(link_error)
    }
}

/// The tunnels of a gateway that nobody uses now, by holder.
#[derive(Debug, Default)]
pub(crate) struct Tunnels {
    idle: RefCell<HashMap<SocketAddr, Vec<TunnelClient>>>,
}

impl Tunnels {
    /// Asks a holder for a connection.
    pub(crate) async fn acquire(
        &self,
        holder: SocketAddr,
        wish: &TunnelWish,
    ) -> Result<Grant, LinkError> {
        if let Some(tunnel) = self.kept(holder) {
            // The holder may have gone since; a new tunnel tells.
            if let Ok(grant) = tunnel.acquire(wish.clone()).await {
                return Ok(grant);
            }
        }
        let tunnel = TunnelClient::connect(holder).await?;
        tunnel.acquire(wish.clone()).await
    }

    /// Has a holder run a statement.
    pub(crate) async fn run(
        &self,
        holder: SocketAddr,
        wish: &TunnelWish,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RunReply, RunError> {
        let mut tunnel = match self.kept(holder) {
            Some(kept) => kept,
            None => TunnelClient::connect(holder).await.map_err(RunError::NotSent)?,
        };
        let reply = tunnel.run(wish, statement, limit).await?;
        self.keep(tunnel);
        Ok(reply)
    }

    /// A tunnel that nobody uses and that is still open.
    fn kept(&self, holder: SocketAddr) -> Option<TunnelClient> {
        let mut idle = self.idle.borrow_mut();
        let tunnels = idle.get_mut(&holder)?;
        while let Some(tunnel) = tunnels.pop() {
            if !tunnel.is_broken() {
                return Some(tunnel);
            }
        }
        None
    }

    fn keep(&self, tunnel: TunnelClient) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(tunnel.holder).or_default();
        if kept.len() < IDLE_TUNNELS {
            kept.push(tunnel);
        }
    }

    /// Ends a lease in the background and keeps the tunnel.
    pub(crate) fn release(
        self: &Rc<Self>,
        mut tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            if tunnel.release(profile).await.is_ok() {
                tunnels.keep(*tunnel);
            }
        });
    }
}
