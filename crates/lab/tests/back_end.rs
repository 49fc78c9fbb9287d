//! Hollow back ends answer as the contract says, also to control's own client of back ends.

use actix_rt::System;
use corktack_control::{CellStart, ControlListeners, ControlReplica, ControlSettings};
use corktack_core::backend::{
    MemberRole, MemberStatus, NOT_PRIMARY, SHOW_READ_INDEX, SHOW_STATUS, TERM_TOO_LOW,
    fence_statement, promote_statement,
};
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ReplicaId, ZoneName};
use corktack_core::position::{Position, Term};
use corktack_core::view::{Revision, View};
use corktack_lab::scale::back_end;
use corktack_lab::scale::group::{HollowGroup, Life};
use corktack_protocol::cell::CellName;
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use futures_util::{SinkExt, StreamExt};
use prometheus_client::registry::Registry;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};
use tokio_util::codec::Framed;

const GROUP: &str = "records";
const LOOPBACK: (&str, u16) = ("127.0.0.1", 0);

struct Served {
    group: Arc<HollowGroup>,
    names: Vec<MemberName>,
    addresses: Vec<SocketAddr>,
}

/// A group of three, the first of them primary.
async fn serve_group() -> Served {
    let name = |place| MemberName::new(format!("m-{place}")).expect("a valid name");
    let names: Vec<_> = (0..3).map(name).collect();
    let group = Arc::new(HollowGroup::new(names.clone(), 0));
    let mut addresses = Vec::new();
    for place in 0..names.len() {
        let listener = TcpListener::bind(LOOPBACK).await.expect("loopback has a free port");
        addresses.push(listener.local_addr().expect("a bound listener has an address"));
        actix_rt::spawn(back_end::serve(Arc::clone(&group), place, listener));
    }
    Served { group, names, addresses }
}

impl Served {
    async fn connect(&self, place: usize) -> Result<Client, tokio_postgres::Error> {
        let address = self.addresses[place];
        let mut config = tokio_postgres::Config::new();
        config.hostaddr(address.ip()).port(address.port()).user("test").dbname(GROUP);
        let (client, connection) = config.connect(NoTls).await?;
        actix_rt::spawn(async move { drop(connection.await) });
        Ok(client)
    }

    /// The columns of the one row, or the SQLSTATE of the error.
    async fn ask(&self, place: usize, statement: &str) -> Result<Vec<Option<String>>, String> {
        let client = self.connect(place).await.expect("the member accepts");
        let answer = client.simple_query(statement).await;
        let messages = answer.map_err(|it| it.code().expect("a SQLSTATE").code().to_owned())?;
        let row = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        });
        let row = row.expect("one row");
        Ok((0..row.len()).map(|column| row.get(column).map(str::to_owned)).collect())
    }

    async fn status(&self, place: usize) -> MemberStatus {
        let columns = self.ask(place, SHOW_STATUS).await.expect("a status");
        let columns: Vec<_> = columns.iter().map(Option::as_deref).collect();
        MemberStatus::from_columns(&columns).expect("a status as in the contract")
    }

    async fn role(&self, place: usize) -> (MemberRole, Term) {
        let status = self.status(place).await;
        (status.role, status.promised_term)
    }
}

fn refused<T>(state: &str) -> Result<T, String> {
    Err(state.to_owned())
}

#[rstest]
#[actix_rt::test]
async fn a_status_is_as_in_the_contract() {
    let served = serve_group().await;
    let position = Position { term: Term(1), index: 100 };
    for (place, role) in [MemberRole::Primary, MemberRole::Replica].into_iter().enumerate() {
        let expected = MemberStatus {
            member: served.names[place].clone(),
            role,
            promised_term: Term(1),
            last_position: position,
            applied_position: position,
        };
        assert_eq!(served.status(place).await, expected);
        let columns = served.ask(place, SHOW_STATUS).await.expect("a status");
        assert_eq!(columns[5].as_deref(), Some("m-0"));
    }
}

#[rstest]
#[actix_rt::test]
async fn only_the_primary_confirms_a_position() {
    let served = serve_group().await;
    let row = served.ask(0, SHOW_READ_INDEX).await;
    assert_eq!(row, Ok(vec![Some("1/100".to_owned())]));
    assert_eq!(served.ask(1, SHOW_READ_INDEX).await, refused(NOT_PRIMARY));
}

#[rstest]
#[actix_rt::test]
async fn a_fence_is_idempotent_and_lower_terms_are_refused() {
    let served = serve_group().await;
    let promise = vec![Some("3".to_owned()), Some("1/100".to_owned())];
    for _ in 0..2 {
        assert_eq!(served.ask(0, &fence_statement(Term(3))).await, Ok(promise.clone()));
        assert_eq!(served.role(0).await, (MemberRole::Fenced, Term(3)));
    }
    assert_eq!(served.ask(0, &fence_statement(Term(2))).await, refused(TERM_TOO_LOW));
    assert_eq!(served.ask(0, SHOW_READ_INDEX).await, refused(NOT_PRIMARY));
}

#[rstest]
#[actix_rt::test]
async fn a_promoted_member_is_followed_by_those_that_are_alive() {
    let served = serve_group().await;
    served.group.kill(0, Life::Refusing);
    assert!(served.connect(0).await.is_err());
    assert_eq!(served.ask(1, &promote_statement(Term(2))).await, refused(TERM_TOO_LOW));
    served.ask(1, &fence_statement(Term(2))).await.expect("a promise");
    for _ in 0..2 {
        let row = served.ask(1, &promote_statement(Term(2))).await;
        assert_eq!(row, Ok(vec![Some("2/101".to_owned())]));
    }
    assert_eq!(served.role(1).await, (MemberRole::Primary, Term(2)));
    assert_eq!(served.role(2).await, (MemberRole::Replica, Term(2)));
    assert_eq!(served.ask(2, &promote_statement(Term(2))).await, refused(TERM_TOO_LOW));
}

#[rstest]
#[actix_rt::test]
async fn a_member_without_a_majority_is_not_promoted() {
    let served = serve_group().await;
    served.group.kill(0, Life::Refusing);
    served.group.kill(2, Life::Refusing);
    served.ask(1, &fence_statement(Term(2))).await.expect("a promise");
    assert!(served.ask(1, &promote_statement(Term(2))).await.is_err());
    assert_eq!(served.role(1).await, (MemberRole::Fenced, Term(2)));
}

#[rstest]
#[actix_rt::test]
async fn an_open_connection_of_a_dead_member_is_closed() {
    let served = serve_group().await;
    let client = served.connect(0).await.expect("the member accepts");
    served.group.kill(0, Life::Refusing);
    assert!(client.simple_query(SHOW_STATUS).await.is_err());
}

/// A proxy that follows a control replica.
struct Follower {
    connection: Framed<TcpStream, FrameCodec<ProxyMessage, ControlMessage>>,
    view: View,
}

impl Follower {
    async fn connect(control: SocketAddr) -> Self {
        let stream = TcpStream::connect(control).await.expect("the replica accepts");
        let mut connection = Framed::new(stream, FrameCodec::default());
        let hello = ProxyMessage::Hello {
            proxy: ProxyName::new("p-1").expect("a valid name"),
            incarnation: Incarnation(1),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: ZoneName::new("amba.a").expect("a valid name"),
            revision: Revision(0),
        };
        connection.send(hello).await.expect("the replica reads");
        Self { connection, view: View::default() }
    }

    /// Follows until the group has another primary of a higher term; gives both.
    async fn next_primary(&mut self, before: Term) -> (MemberName, Term) {
        let name = GroupName::new(GROUP).expect("a valid name");
        loop {
            if let Some(group) = self.view.groups.get(&name)
                && let Some(primary) = &group.primary
                && group.term > before
            {
                return (primary.clone(), group.term);
            }
            let message = self.connection.next().await.expect("the replica runs");
            match message.expect("a message") {
                ControlMessage::Snapshot(view) => self.view = *view,
                ControlMessage::Delta(delta) => self.view.apply(delta).expect("a newer revision"),
                ControlMessage::HeartbeatAck { .. }
                | ControlMessage::Cell(_)
                | ControlMessage::Led { .. }
                | ControlMessage::Allowances(_) => {}
            }
        }
    }
}

/// Starts a cell of one replica; gives where proxies and operators reach it.
fn start_control(folder: &TempDir) -> (corktack_control::ControlHandle, [SocketAddr; 2]) {
    let bind = || std::net::TcpListener::bind(LOOPBACK).expect("loopback has a free port");
    let listeners = ControlListeners { cell: bind(), proxies: bind(), operators: bind() };
    let address =
        |it: &std::net::TcpListener| it.local_addr().expect("a bound listener has an address");
    let addresses = [address(&listeners.proxies), address(&listeners.operators)];
    let voter = CellMember { id: ReplicaId(1), address: address(&listeners.cell) };
    let start = CellStart::Bootstrap(CellConfig { voters: vec![voter], learners: Vec::new() });
    let name = CellName("test".to_owned());
    let mut settings = ControlSettings::new(name, ReplicaId(1), start, folder.path().to_path_buf());
    settings.incarnation = Incarnation(1);
    // The follower here sends one heartbeat at most; it stays up.
    settings.proxy_heartbeat_timeout = Duration::from_secs(600);
    let handle = ControlReplica::start(settings, listeners, &mut Registry::default());
    (handle.expect("a replica starts"), addresses)
}

async fn declare(operators: SocketAddr, served: &Served) {
    let members = served.names.iter().zip(&served.addresses);
    let members: Vec<_> = members
        .map(|(name, address)| json!({"name": name, "address": address, "zone": "amba.a"}))
        .collect();
    let spec = json!({"database": GROUP, "members": members, "slots": 5, "connections": 15});
    let url = format!("http://{operators}/v1/groups/{GROUP}");
    let body = json!({ "spec": spec });
    loop {
        let answer = awc::Client::default().put(&url).send_json(&body).await;
        if answer.expect("the replica answers").status().is_success() {
            return;
        }
        tokio::task::yield_now().await;
    }
}

#[rstest]
#[case::closed(Life::Refusing)]
#[case::silent(Life::Silent)]
#[actix_rt::test]
async fn control_adopts_the_primary_and_replaces_it_when_it_dies(#[case] death: Life) {
    assert!(System::is_registered(), "control's arbiters belong to a system");
    let folder = TempDir::new().expect("a folder can be made");
    let served = serve_group().await;
    let (control, [proxies, operators]) = start_control(&folder);
    declare(operators, &served).await;
    let mut follower = Follower::connect(proxies).await;
    let (first, term) = follower.next_primary(Term(0)).await;
    assert_eq!((&first, term), (&served.names[0], Term(1)));

    served.group.kill(0, death);
    let (second, next) = follower.next_primary(term).await;
    assert_ne!(second, first);
    let place = served.names.iter().position(|name| *name == second).expect("a member");
    assert_eq!(served.role(place).await, (MemberRole::Primary, next));
    control.stop().await;
}
