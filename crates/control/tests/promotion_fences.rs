//! Promotions of registered members through an external authority, while leaders are replaced.

mod support;

use corktack_control::{
    ControlSettings, MemberCalls, MemberTarget, PromotionAuthority, RegistryCalls,
};
use corktack_core::identity::{GroupName, MemberName, ReplicaId};
use corktack_core::position::{Position, Term};
use corktack_core::registry::{MemberAnswer, PromotionAnswer};
use corktack_core::statement::MemberStatus;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, pending, ready};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use support::proxy::Proxy;
use support::registered_group::{MEMBERS, document, first_report, group, member};
use support::{Cell, wait_until};

const REPLICAS: usize = 3;

/// Members of which all but the primary answer; member 2 is the most advanced replica.
#[derive(Debug)]
struct Members;

impl MemberCalls for Members {
    fn status(&self, call: MemberTarget, _hold: bool) -> LocalBoxFuture<'static, MemberAnswer> {
        let index = if call.member == member(2) { 20 } else { 10 };
        let received = Position { term: Term(1), index };
        let status = MemberStatus { primary: false, term: 1, received, pause_term: 0 };
        let is_lost = call.member == member(1);
        let answer = if is_lost { MemberAnswer::Unreachable } else { MemberAnswer::Status(status) };
        ready(answer).boxed_local()
    }

    fn release(&self, _call: MemberTarget) -> LocalBoxFuture<'static, ()> {
        ready(()).boxed_local()
    }
}

/// A call for a promotion, as the authority received it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Call {
    holder: ReplicaId,
    fence: u64,
}

type Calls = Arc<Mutex<Vec<Call>>>;

/// An authority that answers no call: it may carry out each of them later.
#[derive(Debug)]
struct SilentAuthority {
    holder: ReplicaId,
    calls: Calls,
}

impl PromotionAuthority for SilentAuthority {
    fn promote(
        &self,
        _group: GroupName,
        _target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer> {
        let call = Call { holder: self.holder, fence };
        self.calls.lock().expect("no test panics with the lock").push(call);
        pending().boxed_local()
    }
}

/// A cell whose replicas replace primaries through a [`SilentAuthority`].
struct Fleet {
    cell: Cell,
    calls: Calls,
}

impl Fleet {
    /// Starts the cell and registers a group of three members.
    async fn start() -> Self {
        let calls = Calls::default();
        let cell = Cell::start_with(REPLICAS as u64, |settings| use_authority(settings, &calls));
        let leader = cell.leader().await;
        let registry = cell.replicas[leader].running().registry();
        assert_eq!(registry.put_document(document(0)).await, Ok(1));
        for number in 1..=MEMBERS {
            let registered = registry.apply_report(member(number), first_report(number)).await;
            assert_eq!(registered, Ok(()));
        }
        Self { cell, calls }
    }

    /// Lets two gateways report the primary as unreachable until a replica that `is_holder` accepts has
    /// called the authority.
    async fn lose_primary_until_call(&self, is_holder: impl Fn(ReplicaId) -> bool) -> Call {
        let running = self.cell.replicas.iter().filter(|replica| replica.handle.is_some());
        let mut gateways = Vec::new();
        for (replica, name) in running.zip(["g-1", "g-2"]) {
            gateways.push(Proxy::connect(replica.proxies, name, View::default()).await);
        }
        wait_until("a call for a promotion", async || {
            for gateway in &mut gateways {
                let (group, member) = (group(), member(1));
                let health = MemberHealth::Unreachable;
                gateway.report(vec![Observation { group, member, health }]).await?;
            }
            self.calls().into_iter().find(|call| is_holder(call.holder))
        })
        .await
    }

    fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no test panics with the lock").clone()
    }

    /// Stops every replica, the followers first, so that none of them learns of further commits.
    async fn stop_all(&mut self) {
        let leader = self.cell.leader().await;
        let followers = (0..REPLICAS).filter(|index| *index != leader);
        for index in followers.chain([leader]).collect::<Vec<_>>() {
            self.cell.replicas[index].stop().await;
        }
    }

    /// Starts all replicas but one again, each on its data folder.
    async fn restart_all_but(&mut self, holder: ReplicaId) {
        let calls = self.calls.clone();
        for replica in self.cell.replicas.iter_mut().filter(|replica| replica.id != holder) {
            replica.restart(&|settings: &mut _| use_authority(settings, &calls)).await;
        }
    }
}

fn use_authority(settings: &mut ControlSettings, calls: &Calls) {
    let authority = SilentAuthority { holder: settings.replica, calls: calls.clone() };
    let authority = Arc::new(authority);
    settings.registry_calls = Some(RegistryCalls { members: Arc::new(Members), authority });
}

/// Guards against a new leader that acts on its predecessor's decision: after a restart it did not know that
/// decision yet when its duties began, and took it for its own.
#[actix_rt::test]
async fn two_holders_never_call_for_a_promotion_under_one_fence() {
    let mut fleet = Fleet::start().await;
    let first = fleet.lose_primary_until_call(|_| true).await;
    fleet.stop_all().await;
    fleet.restart_all_but(first.holder).await;
    let second = fleet.lose_primary_until_call(|holder| holder != first.holder).await;
    assert!(second.fence > first.fence, "{first:?}, then {second:?}");
    let mut holders: BTreeMap<u64, BTreeSet<ReplicaId>> = BTreeMap::new();
    for call in fleet.calls() {
        holders.entry(call.fence).or_default().insert(call.holder);
    }
    assert!(holders.values().all(|holders| holders.len() == 1), "{holders:?}");
}
