//! A client of the proxies' watch.

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::view::{Revision, View};
use corktack_protocol::control::{ControlMessage, Observation, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// A proxy that applies what its replica sends, and counts snapshots and deltas.
pub struct Proxy {
    connection: Framed<TcpStream, FrameCodec<ProxyMessage, ControlMessage>>,
    pub view: View,
    pub snapshots: usize,
    pub deltas: usize,
    /// Term of the leader, as last received.
    pub leader_term: Option<Term>,
    /// Allowance grants received from the leader.
    pub grants: Vec<AllowanceGrant>,
    sequence: u64,
    acknowledged: u64,
}

impl Proxy {
    /// Connects to a replica as a proxy that has `view` in force.
    pub async fn connect(control: SocketAddr, name: &str, view: View) -> Self {
        let stream = TcpStream::connect(control).await.expect("the replica accepts");
        let mut connection = Framed::new(stream, FrameCodec::default());
        let hello = ProxyMessage::Hello {
            proxy: ProxyName::new(name).expect("a valid name"),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: ZoneName::new("amba.a").expect("a valid name"),
            revision: view.revision,
        };
        connection.send(hello).await.expect("the replica takes the hello");
        Self {
            connection,
            view,
            snapshots: 0,
            deltas: 0,
            leader_term: None,
            grants: Vec::new(),
            sequence: 0,
            acknowledged: 0,
        }
    }

    /// Sends a heartbeat without waiting for its acknowledgement.
    pub async fn heartbeat(&mut self, draining: bool, observations: Vec<Observation>) {
        self.sequence += 1;
        let heartbeat = ProxyMessage::Heartbeat {
            sequence: self.sequence,
            revision: self.view.revision,
            draining,
            observations,
        };
        self.connection.send(heartbeat).await.expect("the replica takes the heartbeat");
    }

    /// Reports the proxy's allowances of tenants' limits.
    pub async fn report_allowances(&mut self, report: AllowanceReport) {
        let message = ProxyMessage::Allowances(report);
        self.connection.send(message).await.expect("the replica takes the report");
    }

    /// Applies the next message. Returns `None` at the end of the connection, and `Some(Some(current))` for
    /// an acknowledgement, which says whether the replica is current.
    pub async fn apply_next_message(&mut self) -> Option<Option<bool>> {
        let message = self.connection.next().await?.ok()?;
        Some(match message {
            ControlMessage::Snapshot(view) => {
                self.view.replace(*view).expect("a snapshot is newer");
                self.snapshots += 1;
                None
            }
            ControlMessage::Delta(delta) => {
                self.view.apply(delta).expect("a delta is newer");
                self.deltas += 1;
                None
            }
            ControlMessage::Cell(_) => None,
            ControlMessage::LeaderElected { term } => {
                self.leader_term = Some(term);
                None
            }
            ControlMessage::Allowances(grant) => {
                self.grants.push(grant);
                None
            }
            ControlMessage::HeartbeatAck { sequence, current } => {
                assert!(sequence <= self.sequence, "an answer to a heartbeat that was sent");
                assert!(sequence > self.acknowledged, "answers come in order");
                self.acknowledged = sequence;
                Some(current)
            }
        })
    }

    /// Sends a heartbeat; returns whether its acknowledgement says that the replica is current.
    pub async fn heartbeat_is_current(&mut self) -> Option<bool> {
        self.report(Vec::new()).await
    }

    /// Sends a heartbeat with observations; returns the same as [`Proxy::heartbeat_is_current`].
    pub async fn report(&mut self, observations: Vec<Observation>) -> Option<bool> {
        self.heartbeat(false, observations).await;
        loop {
            let acknowledged = self.apply_next_message().await?;
            if let Some(current) = acknowledged.filter(|_| self.acknowledged == self.sequence) {
                return Some(current);
            }
        }
    }

    /// Applies messages until the view reaches `revision`.
    pub async fn apply_until(&mut self, revision: Revision) {
        while self.view.revision < revision {
            self.apply_next_message().await.expect("the connection goes on");
        }
    }
}
