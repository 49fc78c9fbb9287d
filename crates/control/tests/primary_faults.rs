//! Failover of groups of stand-in members whose primary is killed, cut off or frozen.

mod support;

use corktack_control::ControlSettings;
use corktack_core::identity::MemberName;
use corktack_core::position::Term;
use corktack_core::view::{ProxyState, View};
use corktack_protocol::control::{MemberHealth, Observation};
use futures_util::future::join_all;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use support::gate::GateState;
use support::group::GatedGroup;
use support::operator::Operator;
use support::proxy::Proxy;
use support::{Cell, wait_until};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const CREATE: &str = "CREATE TABLE flags (line TEXT PRIMARY KEY)";
/// An interval longer than any test runs.
const NEVER: Duration = Duration::from_secs(3_600);

/// Fault of a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Killed,
    Cut,
    Frozen,
}

impl Fault {
    fn inject(self, group: &mut GatedGroup, index: usize) {
        match self {
            Self::Killed => group.kill(index),
            Self::Cut => group.set_gates(index, GateState::Cut),
            Self::Frozen => group.set_gates(index, GateState::Frozen),
        }
    }
}

/// Connects to a member as a caller.
async fn connect_caller(address: SocketAddr) -> Client {
    let mut config = tokio_postgres::Config::new();
    config.hostaddr(address.ip()).port(address.port()).user("test").dbname("records");
    let (client, connection) = config.connect(NoTls).await.expect("a connection");
    actix_rt::spawn(async move { drop(connection.await) });
    client
}

async fn read_lines(client: &Client) -> Vec<String> {
    let rows = client.simple_query("SELECT line FROM flags ORDER BY line").await;
    let rows = rows.expect("the primary reads").into_iter();
    rows.filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
    .collect()
}

async fn current_primary(operator: &Operator, group: &GatedGroup) -> Option<(MemberName, Term)> {
    let status = operator.status().await;
    let found = status.groups.iter().find(|found| found.name == group.name)?;
    Some((found.primary.clone()?, found.term))
}

fn observation(group: &GatedGroup, member: &MemberName, health: MemberHealth) -> Observation {
    Observation { group: group.name.clone(), member: member.clone(), health }
}

/// A cell of three replicas with one proxy, which owns the groups.
struct Fleet {
    cell: Cell,
    leader: usize,
    operator: Operator,
    proxy: Proxy,
}

impl Fleet {
    async fn start(adjust: impl Fn(&mut corktack_control::ControlSettings)) -> Self {
        let cell = Cell::start_with(3, adjust);
        let leader = cell.leader().await;
        let follower = &cell.replicas[cell.follower().await];
        let operator = follower.operator();
        let proxy = Proxy::connect(follower.proxies, "p-1", View::default()).await;
        Self { operator, proxy, leader, cell }
    }

    /// Creates a group and waits until the cell has adopted the group's own primary.
    async fn declare_group(&mut self, group: &GatedGroup) -> (MemberName, Term) {
        let path = format!("/v1/groups/{}", group.name);
        self.operator.put(&path, group.spec()).await.accepted();
        self.wait_for_primary_above(group, Term(0)).await
    }

    /// Returns the number of probes that the leader has made.
    async fn probe_count(&self) -> u64 {
        let leader = &self.cell.replicas[self.cell.leader().await];
        leader.metric("corktack_control_failover_steps_total{phase=\"probe\"}").await
    }

    /// Reports the health of a member as the group's owner; an unreachable member is reported until the
    /// leader has probed 30 times more.
    async fn report_health(
        &mut self,
        group: &GatedGroup,
        member: &MemberName,
        health: MemberHealth,
    ) {
        let probes_before = self.probe_count().await;
        wait_until("probes", async || {
            let observations = vec![observation(group, member, health)];
            self.proxy.report(observations).await.expect("the connection stays open");
            let is_done = health != MemberHealth::Unreachable
                || self.probe_count().await >= probes_before + 30;
            is_done.then_some(())
        })
        .await;
    }

    /// Waits for a primary with a term above `term`, while the proxy keeps sending heartbeats.
    async fn wait_for_primary_above(
        &mut self,
        group: &GatedGroup,
        term: Term,
    ) -> (MemberName, Term) {
        wait_until("a primary", async || {
            self.proxy.heartbeat_is_current().await;
            current_primary(&self.operator, group).await.filter(|(_, new_term)| *new_term > term)
        })
        .await
    }
}

#[rstest]
#[actix_rt::test]
async fn a_faulty_primary_is_replaced_and_acknowledges_nothing_after(
    #[values(Fault::Killed, Fault::Cut, Fault::Frozen)] fault: Fault,
    #[values(false, true)] leader_stops: bool,
) {
    let mut group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|_| ()).await;
    let (old_primary, term) = fleet.declare_group(&group).await;
    let old = group.index_of(&old_primary);
    let caller_of_old = connect_caller(group.postgres_address(old)).await;
    caller_of_old.simple_query(CREATE).await.expect("the primary accepts a write");
    let insert = "INSERT INTO flags VALUES ('before')";
    caller_of_old.simple_query(insert).await.expect("the primary accepts a write");

    fault.inject(&mut group, old);
    if leader_stops {
        let leader = fleet.leader;
        drop(fleet.cell.replicas[leader].handle.take());
    }
    let unreachable = vec![observation(&group, &old_primary, MemberHealth::Unreachable)];
    fleet.proxy.heartbeat(false, unreachable).await;
    let (new_primary, _) = fleet.wait_for_primary_above(&group, term).await;
    assert_ne!(new_primary, old_primary);
    // Callers still reach the old primary, which does not know that it was replaced.
    let late_write = actix_rt::spawn(async move {
        caller_of_old.simple_query("INSERT INTO flags VALUES ('late')").await.map(drop)
    });
    let caller_of_new = connect_caller(group.postgres_address(group.index_of(&new_primary))).await;
    let insert = "INSERT INTO flags VALUES ('after')";
    caller_of_new.simple_query(insert).await.expect("the new primary accepts a write");

    group.set_gates(old, GateState::Open);
    wait_until("the late write has its answer", async || late_write.is_finished().then_some(()))
        .await;
    let answer = late_write.await.expect("the caller's task ends");
    assert!(answer.is_err(), "a replaced primary acknowledged a write");
    assert_eq!(read_lines(&caller_of_new).await, ["after", "before"]);
}

#[actix_rt::test]
async fn several_primaries_lost_at_once_are_all_replaced() {
    let mut groups: Vec<_> =
        ["alpha", "beta", "gamma", "delta"].into_iter().map(GatedGroup::start).collect();
    let mut fleet = Fleet::start(|_| ()).await;
    let mut old_primaries = Vec::new();
    for group in &groups {
        old_primaries.push(fleet.declare_group(group).await);
    }
    let mut observations = Vec::new();
    for (group, (old_primary, _)) in groups.iter_mut().zip(&old_primaries) {
        group.kill(group.index_of(old_primary));
        observations.push(observation(group, old_primary, MemberHealth::Unreachable));
    }
    fleet.proxy.heartbeat(false, observations).await;
    for (group, (old_primary, term)) in groups.iter().zip(&old_primaries) {
        let (new_primary, _) = fleet.wait_for_primary_above(group, *term).await;
        assert_ne!(new_primary, *old_primary);
    }
    let callers = groups.iter().map(|group| async {
        let (new_primary, _) = current_primary(&fleet.operator, group).await.expect("a primary");
        let client = connect_caller(group.postgres_address(group.index_of(&new_primary))).await;
        client.simple_query(CREATE).await.expect("the new primary accepts a write");
    });
    join_all(callers).await;
}

/// Guards against tests that disturb each other: a member of another group that is bound to the port of a
/// killed one must not get the requests of the killed one's group.
#[actix_rt::test]
async fn nobody_connects_to_the_ports_of_a_killed_member() {
    let mut group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|_| ()).await;
    let (old_primary, term) = fleet.declare_group(&group).await;
    let old = group.index_of(&old_primary);
    group.kill(old);
    let listeners = group.bind_ports_of(old);
    let unreachable = vec![observation(&group, &old_primary, MemberHealth::Unreachable)];
    fleet.proxy.heartbeat(false, unreachable).await;
    let (new_primary, _) = fleet.wait_for_primary_above(&group, term).await;
    let client = connect_caller(group.postgres_address(group.index_of(&new_primary))).await;
    client.simple_query(CREATE).await.expect("the new primary accepts a write");
    for listener in listeners {
        listener.set_nonblocking(true).expect("the listener is ours");
        assert!(listener.accept().is_err(), "a request for the killed member arrived");
    }
}

/// Guards against a failover while each report of an unreachable primary is followed by one of a healthy
/// primary.
#[actix_rt::test]
async fn an_observer_that_alternates_its_reports_does_not_replace_the_primary() {
    let group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|settings| {
        settings.proxy_heartbeat_interval = Duration::from_millis(10);
        settings.failover.suspicion = Duration::from_millis(1);
    })
    .await;
    let (old_primary, term) = fleet.declare_group(&group).await;
    for _ in 0..200 {
        for health in [MemberHealth::Unreachable, MemberHealth::Primary(term)] {
            let observations = vec![observation(&group, &old_primary, health)];
            fleet.proxy.report(observations).await.expect("the connection stays open");
        }
    }
    assert_eq!(current_primary(&fleet.operator, &group).await, Some((old_primary, term)));
}

#[actix_rt::test]
async fn a_group_that_failed_over_does_not_fail_over_again_in_its_cooldown() {
    let group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|settings| {
        settings.failover.suspicion = Duration::from_millis(10);
        settings.failover.probe_interval = Duration::from_millis(10);
        settings.failover.cooldown_minimum = Duration::from_secs(3_600);
        settings.failover.cooldown_maximum = Duration::from_secs(3_600);
    })
    .await;
    let (old_primary, term) = fleet.declare_group(&group).await;
    group.set_gates(group.index_of(&old_primary), GateState::Cut);
    let unreachable = vec![observation(&group, &old_primary, MemberHealth::Unreachable)];
    fleet.proxy.report(unreachable).await.expect("the connection stays open");
    let (new_primary, next_term) = fleet.wait_for_primary_above(&group, term).await;
    // All members are reachable again, and the new primary flaps.
    group.set_gates(group.index_of(&old_primary), GateState::Open);
    let index = group.index_of(&new_primary);
    for _ in 0..5 {
        group.set_gates(index, GateState::Cut);
        fleet.report_health(&group, &new_primary, MemberHealth::Unreachable).await;
        group.set_gates(index, GateState::Open);
        fleet.report_health(&group, &new_primary, MemberHealth::Primary(next_term)).await;
    }
    let found = fleet.wait_for_primary_above(&group, term).await;
    assert_eq!(found, (new_primary, next_term));
}

/// Disables heartbeats, confirmations and probes of a healthy primary for the time of a test, so that only an
/// observation can make the leader suspect a primary.
fn disable_periodic_checks(settings: &mut ControlSettings) {
    settings.proxy_heartbeat_interval = NEVER;
    settings.proxy_heartbeat_timeout = NEVER;
    settings.failover.unobserved_interval = NEVER;
    settings.failover.sweep_interval = NEVER;
}

/// An observation must reach the leader without waiting for the next tick. The cell has one replica, so that
/// no summary is lost when the leader changes.
#[actix_rt::test]
async fn observations_reach_the_leader_between_heartbeats() {
    let mut group = GatedGroup::start("records");
    let cell = Cell::start_with(1, disable_periodic_checks);
    cell.leader().await;
    let operator = cell.replicas[0].operator();
    let mut proxy = Proxy::connect(cell.replicas[0].proxies, "p-1", View::default()).await;
    operator.put("/v1/groups/records", group.spec()).await.accepted();
    let (old_primary, term) =
        wait_until("the primary is adopted", async || current_primary(&operator, &group).await)
            .await;
    proxy
        .heartbeat(false, vec![observation(&group, &old_primary, MemberHealth::Primary(term))])
        .await;
    wait_until("the leader knows the proxy", async || {
        let status = operator.status().await;
        status.proxies.iter().any(|proxy| proxy.state == ProxyState::Live).then_some(())
    })
    .await;
    group.kill(group.index_of(&old_primary));
    proxy
        .heartbeat(false, vec![observation(&group, &old_primary, MemberHealth::Unreachable)])
        .await;
    let (new_primary, _) = wait_until("another primary", async || {
        current_primary(&operator, &group).await.filter(|(_, new_term)| *new_term > term)
    })
    .await;
    assert_ne!(new_primary, old_primary);
}
