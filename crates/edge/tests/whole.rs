//! Callers through the edge and a real owner to a group of stand-in servers.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use corktack_core::resources::MemberSpec;
use corktack_core::view::View;
use corktack_edge::{Edge, EdgeHandle};
use corktack_owner::{Owner, OwnerHandle, OwnerSettings};
use corktack_standin::{Group, GroupSettings};
use prometheus_client::registry::Registry;
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use support::extended::{bind, execute, flush, parse, sync, target};
use support::wire::RawCaller;
use support::{group, proxy_view, settings, view_with_owner};
use tokio::sync::{mpsc, watch};
use tokio_postgres::{Client, Config};

const CALLERS: usize = 8;
/// Writes of each caller before, and after, the handover.
const WRITES_PER_PHASE: usize = 20;

/// A stand-in group, its owners and an edge.
struct TestDeployment {
    edge: EdgeHandle,
    owners: Vec<OwnerHandle>,
    views: Vec<View>,
    view: watch::Sender<Arc<View>>,
    _group: Group,
    _folder: tempfile::TempDir,
    _registry: Registry,
}

fn owner_name(number: usize) -> ProxyName {
    ProxyName::new(format!("owner-{number}")).expect("a valid name")
}

/// Returns the view in which this owner owns the group; the view lists all owners.
fn view_of(owner: usize, addresses: &[std::net::SocketAddr], members: &[MemberSpec]) -> View {
    let name = owner_name(owner);
    let mut view = view_with_owner(Some((name.as_str(), addresses[owner])));
    for (number, address) in addresses.iter().enumerate() {
        view.proxies.insert(owner_name(number), proxy_view(*address));
    }
    let mut entry = (*view.groups[&group()]).clone();
    entry.primary = Some(members[0].name.clone());
    entry.spec.members = members.to_vec();
    view.groups.insert(group(), Arc::new(entry));
    view
}

impl TestDeployment {
    fn start(owners: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder for the group");
        let started = Group::start(GroupSettings::new(group(), folder.path().to_owned()));
        let standin = started.expect("the group starts");
        let zone = ZoneName::new("amba.a").expect("a valid name");
        let member =
            |(peer, address): (&corktack_standin::Peer, &std::net::SocketAddr)| MemberSpec {
                name: peer.name.clone(),
                address: *address,
                zone: zone.clone(),
                draining: false,
            };
        let members: Vec<MemberSpec> =
            standin.peers().iter().zip(standin.postgres_addresses()).map(member).collect();
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listeners: Vec<TcpListener> = (0..owners).map(|_| bind()).collect();
        let addresses: Vec<_> =
            listeners.iter().map(|listener| listener.local_addr().expect("it is bound")).collect();
        let views: Vec<View> =
            (0..owners).map(|owner| view_of(owner, &addresses, &members)).collect();
        let (view, in_force) = watch::channel(Arc::new(views[0].clone()));
        let mut registry = Registry::default();
        let mut start_owner = |(number, listener)| {
            let settings = OwnerSettings::new(owner_name(number), Incarnation(7), zone.clone());
            let (observations, _) = mpsc::unbounded_channel();
            let mut own = Registry::default();
            Owner::start(settings, listener, in_force.clone(), observations, &mut own)
                .expect("the owner starts")
        };
        let owners = listeners.into_iter().enumerate().map(&mut start_owner).collect();
        let edge = Edge::start(settings(), bind(), in_force.clone(), &mut registry);
        let edge = edge.expect("the edge starts");
        Self { edge, owners, views, view, _group: standin, _folder: folder, _registry: registry }
    }

    fn config(&self) -> Config {
        let mut config = Config::new();
        let address = self.edge.address();
        config.host(address.ip().to_string()).port(address.port()).user("clerk").dbname("cdr");
        config
    }

    async fn caller(&self) -> Client {
        support::connect(&self.config()).await.expect("the caller is admitted")
    }
}

async fn count(caller: &Client, condition: &str) -> i64 {
    let text = format!("SELECT count(*) FROM entries WHERE {condition}");
    caller.query_one(&text, &[]).await.expect("the count is read").get(0)
}

#[actix_rt::test]
async fn writes_are_read_through_another_session_by_the_token() {
    let deployment = TestDeployment::start(1);
    let writer = deployment.caller().await;
    writer.batch_execute("CREATE TABLE entries (id int)").await.expect("the table is created");
    writer.batch_execute("INSERT INTO entries VALUES (1)").await.expect("the row is written");
    let token: String =
        writer.query_one("SHOW corktack.token", &[]).await.expect("the token is shown").get(0);
    assert!(token.starts_with("cdr="), "{token}");
    let mut config = deployment.config();
    config.options(format!("-c corktack.token={token}"));
    let reader = support::connect(&config).await.expect("the token is accepted");
    assert_eq!(count(&reader, "id = 1").await, 1);
}

#[actix_rt::test]
async fn error_of_the_edge_commits_nothing_of_the_transaction() {
    let deployment = TestDeployment::start(1);
    let caller = deployment.caller().await;
    caller.batch_execute("CREATE TABLE entries (id int)").await.expect("the table is created");
    caller.batch_execute("BEGIN").await.expect("the block begins");
    caller.batch_execute("INSERT INTO entries VALUES (1)").await.expect("the row is written");
    caller.batch_execute("LISTEN flags").await.expect_err("LISTEN is refused");
    let later = caller.batch_execute("INSERT INTO entries VALUES (2)").await;
    assert_eq!(support::error_fields(&later.expect_err("the transaction failed")).0, "25P02");
    caller.batch_execute("COMMIT").await.expect("the block ends");
    assert_eq!(count(&caller, "id > 0").await, 0);
}

async fn write(caller: &Client, first: usize, done: &Cell<usize>) {
    for id in first..first + WRITES_PER_PHASE {
        let text = format!("INSERT INTO entries VALUES ({id})");
        caller.batch_execute(&text).await.expect("the handover causes no error");
        done.set(done.get() + 1);
    }
}

#[actix_rt::test]
async fn planned_handover_causes_no_error_and_loses_no_write() {
    let mut deployment = TestDeployment::start(2);
    let setup = deployment.caller().await;
    setup.batch_execute("CREATE TABLE entries (id int)").await.expect("the table is created");
    let done = Rc::new(Cell::new(0));
    let mut writers = Vec::new();
    for number in 0..CALLERS {
        let (caller, done) = (deployment.caller().await, done.clone());
        writers.push(actix_rt::spawn(async move {
            write(&caller, 2 * WRITES_PER_PHASE * number, &done).await;
            write(&caller, 2 * WRITES_PER_PHASE * number + WRITES_PER_PHASE, &done).await;
        }));
    }
    while done.get() < CALLERS * WRITES_PER_PHASE / 2 {
        actix_rt::task::yield_now().await;
    }
    let stopping = actix_rt::spawn(deployment.owners.remove(0).drain());
    deployment.view.send_replace(Arc::new(deployment.views[1].clone()));
    for writer in writers {
        writer.await.expect("every write is acknowledged");
    }
    stopping.await.expect("the first owner ends");
    // A session without a token requires a barrier; one with an older token may read older state.
    let reader = deployment.caller().await;
    assert_eq!(count(&reader, "id >= 0").await, (2 * CALLERS * WRITES_PER_PHASE) as i64);
}

/// Several drivers send a statement with parameters in this form.
#[actix_rt::test]
async fn flushed_write_runs_once_and_is_read_by_its_session() {
    let deployment = TestDeployment::start(1);
    let setup = deployment.caller().await;
    setup.batch_execute("CREATE TABLE entries (id int)").await.expect("the table is created");
    let mut caller = RawCaller::start(deployment.edge.address()).await;
    let insert = "INSERT INTO entries VALUES (1)";
    caller.send(&[parse("", insert), target('D', 'S', ""), flush()].concat()).await;
    assert_eq!(caller.read_message_types(3).await, "1tn");
    caller.send(&[bind("", ""), target('D', 'P', ""), flush()].concat()).await;
    assert_eq!(caller.read_message_types(2).await, "2n");
    caller.send(&[execute("", 0), flush()].concat()).await;
    assert_eq!(
        caller.read_message_types(2).await,
        "SC",
        "the position comes before the completion"
    );
    caller.send(&sync()).await;
    assert_eq!(caller.read_ready_status().await, 'I');
    let select = [parse("", "SELECT id FROM entries"), bind("", ""), execute("", 0), flush()];
    caller.send(&select.concat()).await;
    assert_eq!(read_answer_types(&mut caller, 4).await, "12DC");
    caller.send(&sync()).await;
    assert_eq!(caller.read_ready_status().await, 'I');
    assert_eq!(count(&caller_with_token(&deployment, &mut caller).await, "id = 1").await, 1);
}

/// Reads `count` messages and returns their types; skips `ParameterStatus`, which reports the session's
/// position.
async fn read_answer_types(caller: &mut RawCaller, count: usize) -> String {
    let mut kinds = String::new();
    while kinds.len() < count {
        kinds.extend(Some(caller.read().await.0).filter(|kind| *kind != 'S'));
    }
    kinds
}

/// Starts a session with the token of `caller`.
async fn caller_with_token(deployment: &TestDeployment, caller: &mut RawCaller) -> Client {
    caller.send(&support::wire::query("SHOW corktack.token")).await;
    assert_eq!(caller.read().await.0, 'T');
    let (_, row) = caller.read().await;
    caller.read_ready_status().await;
    // A row of one column: number of columns, length, text.
    let token = String::from_utf8(row[6..].to_vec()).expect("tokens are text");
    let mut config = deployment.config();
    config.options(format!("-c corktack.token={token}"));
    support::connect(&config).await.expect("the token is accepted")
}

#[actix_rt::test]
async fn error_between_flushes_frees_the_session_and_its_connection() {
    let deployment = TestDeployment::start(1);
    let setup = deployment.caller().await;
    setup.batch_execute("CREATE TABLE entries (id int)").await.expect("the table is created");
    let mut caller = RawCaller::start(deployment.edge.address()).await;
    for _ in 0..3 {
        let part = [parse("", "SELECT id FROM entries"), bind("", ""), execute("", 0), flush()];
        caller.send(&part.concat()).await;
        assert_eq!(read_answer_types(&mut caller, 3).await, "12C");
        caller.send(&[parse("", "SELECT id FROM missing"), flush()].concat()).await;
        assert_eq!(caller.read_error_code().await, "42P01");
        caller.send(&[bind("", ""), execute("", 0), flush(), sync()].concat()).await;
        assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    }
    assert_eq!(count(&setup, "id > 0").await, 0);
}
