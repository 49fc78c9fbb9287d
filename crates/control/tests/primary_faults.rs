//! Failover of stand-in groups whose primary is killed, cut off or frozen.

mod support;

use corktack_core::identity::MemberName;
use corktack_core::position::Term;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use futures_util::future::join_all;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use support::gate::GateState;
use support::group::GatedGroup;
use support::operator::Operator;
use support::proxy::Proxy;
use support::{Cell, until};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

const CREATE: &str = "CREATE TABLE flags (line TEXT PRIMARY KEY)";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Killed,
    Cut,
    Frozen,
}

impl Fault {
    fn bring_about(self, group: &mut GatedGroup, place: usize) {
        match self {
            Self::Killed => group.kill(place),
            Self::Cut => group.set(place, GateState::Cut),
            Self::Frozen => group.set(place, GateState::Frozen),
        }
    }
}

async fn caller(address: SocketAddr) -> Client {
    let mut config = tokio_postgres::Config::new();
    config.hostaddr(address.ip()).port(address.port()).user("test").dbname("records");
    let (client, connection) = config.connect(NoTls).await.expect("a connection");
    actix_rt::spawn(async move { drop(connection.await) });
    client
}

async fn lines(client: &Client) -> Vec<String> {
    let rows = client.simple_query("SELECT line FROM flags ORDER BY line").await;
    let rows = rows.expect("the primary reads").into_iter();
    rows.filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
    .collect()
}

async fn primary(operator: &Operator, group: &GatedGroup) -> Option<(MemberName, Term)> {
    let status = operator.status().await;
    let found = status.groups.iter().find(|it| it.name == group.name)?;
    Some((found.primary.clone()?, found.term))
}

fn observed(group: &GatedGroup, member: &MemberName, health: MemberHealth) -> Observation {
    Observation { group: group.name.clone(), member: member.clone(), health }
}

/// A cell with one proxy, which owns the groups.
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

    async fn adopt(&mut self, group: &GatedGroup) -> (MemberName, Term) {
        let path = format!("/v1/groups/{}", group.name);
        self.operator.put(&path, group.spec()).await.accepted();
        self.primary_above(group, Term(0)).await
    }

    /// Probes made by the leader.
    async fn probes(&self) -> u64 {
        let leader = &self.cell.replicas[self.cell.leader().await];
        leader.metric("corktack_control_failover_steps_total{phase=\"probe\"}").await
    }

    /// The owner sees a member so, until control has looked itself several times or
    /// has no doubt.
    async fn see(&mut self, group: &GatedGroup, member: &MemberName, health: MemberHealth) {
        let before = self.probes().await;
        until("probes", async || {
            let observations = vec![observed(group, member, health)];
            self.proxy.report(observations).await.expect("the connection goes on");
            let enough = health != MemberHealth::Unreachable || self.probes().await >= before + 30;
            enough.then_some(())
        })
        .await;
    }

    /// Waits for a primary of a term above `term`, while the proxy stays alive.
    async fn primary_above(&mut self, group: &GatedGroup, term: Term) -> (MemberName, Term) {
        until("a primary", async || {
            self.proxy.confirm().await;
            primary(&self.operator, group).await.filter(|(_, found)| *found > term)
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
    let (first, term) = fleet.adopt(&group).await;
    let old = group.place_of(&first);
    let caller_of_old = caller(group.postgres(old)).await;
    caller_of_old.simple_query(CREATE).await.expect("the primary takes a write");
    let insert = "INSERT INTO flags VALUES ('before')";
    caller_of_old.simple_query(insert).await.expect("the primary takes a write");

    fault.bring_about(&mut group, old);
    if leader_stops {
        let leader = fleet.leader;
        drop(fleet.cell.replicas[leader].handle.take());
    }
    let unreachable = vec![observed(&group, &first, MemberHealth::Unreachable)];
    fleet.proxy.heartbeat(false, unreachable).await;
    let (second, _) = fleet.primary_above(&group, term).await;
    assert_ne!(second, first);
    // The old primary is still reached by its callers, and does not know.
    let late = actix_rt::spawn(async move {
        caller_of_old.simple_query("INSERT INTO flags VALUES ('late')").await.map(drop)
    });
    let caller_of_new = caller(group.postgres(group.place_of(&second))).await;
    let insert = "INSERT INTO flags VALUES ('after')";
    caller_of_new.simple_query(insert).await.expect("the new primary takes a write");

    group.set(old, GateState::Open);
    until("the late write has its answer", async || late.is_finished().then_some(())).await;
    let answer = late.await.expect("the caller's task ends");
    assert!(answer.is_err(), "a replaced primary acknowledged a write");
    assert_eq!(lines(&caller_of_new).await, ["after", "before"]);
}

#[actix_rt::test]
async fn several_primaries_lost_at_once_are_all_replaced() {
    let mut groups: Vec<_> =
        ["alpha", "beta", "gamma", "delta"].into_iter().map(GatedGroup::start).collect();
    let mut fleet = Fleet::start(|_| ()).await;
    let mut firsts = Vec::new();
    for group in &groups {
        firsts.push(fleet.adopt(group).await);
    }
    let mut observations = Vec::new();
    for (group, (first, _)) in groups.iter_mut().zip(&firsts) {
        group.kill(group.place_of(first));
        observations.push(observed(group, first, MemberHealth::Unreachable));
    }
    fleet.proxy.heartbeat(false, observations).await;
    for (group, (first, term)) in groups.iter().zip(&firsts) {
        let (second, _) = fleet.primary_above(group, *term).await;
        assert_ne!(second, *first);
    }
    let callers = groups.iter().map(|group| async {
        let (second, _) = primary(&fleet.operator, group).await.expect("a primary");
        let client = caller(group.postgres(group.place_of(&second))).await;
        client.simple_query(CREATE).await.expect("the new primary takes a write");
    });
    join_all(callers).await;
}

#[actix_rt::test]
async fn an_observer_that_changes_its_mind_all_the_time_changes_nothing() {
    let group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|settings| {
        settings.proxy_heartbeat_interval = Duration::from_millis(10);
        settings.failover.suspicion = Duration::from_millis(1);
    })
    .await;
    let (first, term) = fleet.adopt(&group).await;
    for _ in 0..200 {
        for health in [MemberHealth::Unreachable, MemberHealth::Primary(term)] {
            let observations = vec![observed(&group, &first, health)];
            fleet.proxy.report(observations).await.expect("the connection goes on");
        }
    }
    assert_eq!(primary(&fleet.operator, &group).await, Some((first, term)));
}

#[actix_rt::test]
async fn a_group_that_failed_over_is_left_alone_for_its_cooldown() {
    let group = GatedGroup::start("records");
    let mut fleet = Fleet::start(|settings| {
        settings.failover.suspicion = Duration::from_millis(10);
        settings.failover.probe_interval = Duration::from_millis(10);
        settings.failover.cooldown_first = Duration::from_secs(3_600);
        settings.failover.cooldown_last = Duration::from_secs(3_600);
    })
    .await;
    let (first, term) = fleet.adopt(&group).await;
    group.set(group.place_of(&first), GateState::Cut);
    let unreachable = vec![observed(&group, &first, MemberHealth::Unreachable)];
    fleet.proxy.report(unreachable).await.expect("the connection goes on");
    let (second, next_term) = fleet.primary_above(&group, term).await;
    // All members are there again, and the new primary flaps.
    group.set(group.place_of(&first), GateState::Open);
    let place = group.place_of(&second);
    for _ in 0..5 {
        group.set(place, GateState::Cut);
        fleet.see(&group, &second, MemberHealth::Unreachable).await;
        group.set(place, GateState::Open);
        fleet.see(&group, &second, MemberHealth::Primary(next_term)).await;
    }
    let found = fleet.primary_above(&group, term).await;
    assert_eq!(found, (second, next_term));
}
