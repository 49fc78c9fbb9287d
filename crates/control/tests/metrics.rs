//! Names, types and labels of a control replica's metrics, on which the alerting rules of operators rely.
//!
//! After an intended change of a metric, `UPDATE_EXPECT=1` rewrites the expected file.

mod support;

use corktack_core::position::Term;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use expect_test::expect_file;
use std::collections::BTreeSet;
use support::group::GatedGroup;
use support::operator::Operator;
use support::proxy::Proxy;
use support::{Cell, wait_until};

/// Waits for a primary with a term above `term`; the proxy reports `observations` meanwhile.
async fn wait_for_primary_above(
    operator: &Operator,
    proxy: &mut Proxy,
    observations: &[Observation],
    term: Term,
) -> (corktack_core::identity::MemberName, Term) {
    wait_until("a primary", async || {
        proxy.report(observations.to_vec()).await.expect("the connection stays open");
        let status = operator.status().await;
        let group = status.groups.into_iter().next()?;
        (group.term > term).then_some((group.primary?, group.term))
    })
    .await
}

/// Compares the lines of the metrics' text format without their values. The test makes a failover happen,
/// because the labels of its phases only appear after the first failover.
#[actix_rt::test]
async fn every_metric_has_its_name_and_labels() {
    let cell = Cell::start(1);
    let replica = &cell.replicas[cell.leader().await];
    let operator = replica.operator();
    let mut group = GatedGroup::start("records");
    let mut proxy = Proxy::connect(replica.proxies, "p-1", View::default()).await;
    operator.put("/v1/groups/records", group.spec()).await.accepted();
    let (member, term) = wait_for_primary_above(&operator, &mut proxy, &[], Term(0)).await;
    group.kill(group.index_of(&member));
    let group_name = group.name.clone();
    let observations =
        [Observation { group: group_name, member, health: MemberHealth::Unreachable }];
    wait_for_primary_above(&operator, &mut proxy, &observations, term).await;

    let body = operator.get("/metrics").await.body;
    let text = String::from_utf8(body.to_vec()).expect("UTF-8 text");
    let name = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => name.to_owned(),
        _ => line.to_owned(),
    };
    // Labels come in the order of a hash map, so the lines are sorted.
    let names: BTreeSet<String> = text.lines().map(name).collect();
    let names: Vec<String> = names.into_iter().collect();
    expect_file!["./metrics.txt"].assert_eq(&(names.join("\n") + "\n"));
}
