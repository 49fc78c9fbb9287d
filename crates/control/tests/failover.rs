//! Failover of a group of stand-in members after its primary stops, also when the leader stops too.

mod support;

use corktack_control::api::GroupBody;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::position::Term;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use corktack_standin::{Group, GroupSettings};
use rstest::rstest;
use serde_json::json;
use support::operator::Operator;
use support::proxy::Proxy;
use support::{Cell, wait_until};
use tempfile::TempDir;

const GROUP: &str = "records";

fn start_group(folder: &TempDir) -> Group {
    let name = GroupName::new(GROUP).expect("a valid name");
    Group::start(GroupSettings::new(name, folder.path().to_path_buf())).expect("a group starts")
}

/// Creates the group through the resource interface.
async fn declare_group(operator: &Operator, group: &Group) {
    let members = group.peers().iter().zip(group.postgres_addresses());
    let members: Vec<_> = members
        .map(|(peer, address)| json!({"name": peer.name, "address": address, "zone": "amba.a"}))
        .collect();
    let spec = json!({"database": GROUP, "members": members, "slots": 5, "connections": 15});
    operator.put(&format!("/v1/groups/{GROUP}"), json!({ "spec": spec })).await.accepted();
}

async fn current_primary(operator: &Operator) -> Option<(MemberName, Term)> {
    let status = operator.status().await;
    let group: &GroupBody = status.groups.first()?;
    Some((group.primary.clone()?, group.term))
}

fn unreachable_observation(member: &MemberName) -> Observation {
    let group = GroupName::new(GROUP).expect("a valid name");
    Observation { group, member: member.clone(), health: MemberHealth::Unreachable }
}

/// Checks that a member accepts a write.
async fn check_write(group: &Group, member: &MemberName) {
    let index = group.peers().iter().position(|peer| peer.name == *member).expect("a member");
    let address = group.postgres_addresses()[index];
    let mut config = tokio_postgres::Config::new();
    config.hostaddr(address.ip()).port(address.port()).user("test").dbname(GROUP);
    let (client, connection) = config.connect(tokio_postgres::NoTls).await.expect("a connection");
    actix_rt::spawn(async move { drop(connection.await) });
    let statement = "CREATE TABLE flags (line TEXT)";
    client.simple_query(statement).await.expect("the primary accepts a write");
}

#[rstest]
#[case::the_leader_stays(false)]
#[case::the_leader_stops_too(true)]
#[actix_rt::test]
async fn a_failed_primary_is_replaced(#[case] leader_stops: bool) {
    let folder = TempDir::new().expect("a folder can be made");
    let mut group = start_group(&folder);
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let follower = cell.follower().await;
    let operator = cell.replicas[follower].operator();
    let mut proxy = Proxy::connect(cell.replicas[follower].proxies, "p-1", View::default()).await;
    declare_group(&operator, &group).await;
    let (old_primary, term) = wait_until("the group's own primary is adopted", async || {
        proxy.heartbeat_is_current().await;
        current_primary(&operator).await
    })
    .await;
    assert_eq!(old_primary, group.peers()[0].name);

    group.stop_member(0);
    if leader_stops {
        cell.replicas[leader].stop().await;
    }
    proxy.heartbeat(false, vec![unreachable_observation(&old_primary)]).await;
    let (new_primary, next_term) = wait_until("another primary", async || {
        proxy.heartbeat_is_current().await;
        current_primary(&operator).await.filter(|(_, new_term)| *new_term > term)
    })
    .await;
    assert_ne!(new_primary, old_primary);
    check_write(&group, &new_primary).await;
    let primary_in_view = wait_until("the proxy has the new primary", async || {
        proxy.heartbeat_is_current().await;
        let view = &proxy.view.groups[&GroupName::new(GROUP).ok()?];
        (view.term == next_term).then(|| view.primary.clone())
    })
    .await;
    assert_eq!(primary_in_view, Some(new_primary));
}
