//! The names, kinds and labels of a control replica's metrics, which operators' rules rely on.
//!
//! `UPDATE_EXPECT=1` writes the expected file anew where a metric is changed on purpose.

mod support;

use corktack_core::position::Term;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use expect_test::expect_file;
use std::collections::BTreeSet;
use support::group::GatedGroup;
use support::operator::Operator;
use support::proxy::Proxy;
use support::{Cell, until};

/// Waits for a primary of a term above `term`; the proxy reports `seen` meanwhile.
async fn primary_above(
    operator: &Operator,
    proxy: &mut Proxy,
    seen: &[Observation],
    term: Term,
) -> (corktack_core::identity::MemberName, Term) {
    until("a primary", async || {
        proxy.report(seen.to_vec()).await.expect("the connection goes on");
        let status = operator.status().await;
        let group = status.groups.into_iter().next()?;
        (group.term > term).then_some((group.primary?, group.term))
    })
    .await
}

/// The lines of the text form without their values. A failover makes its steps known.
#[actix_rt::test]
async fn every_metric_has_its_name_and_labels() {
    let cell = Cell::start(1);
    let replica = &cell.replicas[cell.leader().await];
    let operator = replica.operator();
    let mut group = GatedGroup::start("records");
    let mut proxy = Proxy::connect(replica.proxies, "p-1", View::default()).await;
    operator.put("/v1/groups/records", group.spec()).await.accepted();
    let (member, term) = primary_above(&operator, &mut proxy, &[], Term(0)).await;
    group.kill(group.place_of(&member));
    let name = group.name.clone();
    let seen = [Observation { group: name, member, health: MemberHealth::Unreachable }];
    primary_above(&operator, &mut proxy, &seen, term).await;

    let body = operator.get("/metrics").await.body;
    let text = String::from_utf8(body.to_vec()).expect("UTF-8 text");
    let name = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => name.to_owned(),
        _ => line.to_owned(),
    };
    // The order of labels is that of a hash map.
    let names: BTreeSet<String> = text.lines().map(name).collect();
    let names: Vec<String> = names.into_iter().collect();
    expect_file!["./metrics.txt"].assert_eq(&(names.join("\n") + "\n"));
}
