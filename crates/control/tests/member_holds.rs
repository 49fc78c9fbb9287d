//! The leader's calls that hold and release replicas of a group with synchronous replicas.

mod support;

use corktack_control::{MemberCalls, MemberTarget, PromotionAuthority, RegistryCalls};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::position::{Position, Term};
use corktack_core::registry::{MemberAnswer, PromotionAnswer};
use corktack_core::statement::MemberStatus;
use corktack_core::view::View;
use corktack_protocol::control::{MemberHealth, Observation};
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::proxy::Proxy;
use support::registered_group::{MEMBERS, document, first_report, group, member};
use support::{Cell, wait_until};

/// Time that a member takes for a release; longer than the leader waits before it holds the member again.
const RELEASE_TIME: Duration = Duration::from_millis(300);
/// Number of holds of one replica after which the test ends.
const HOLDS: usize = 3;

/// What one member saw of the calls that hold and release it.
#[derive(Clone, Debug, Default)]
struct Seen {
    holds: usize,
    releases_running: usize,
    /// Holds that arrived while a release was running.
    overlaps: usize,
}

type SeenByMember = Arc<Mutex<BTreeMap<MemberName, Seen>>>;

/// Members whose primary serves, and which take a while for a release.
#[derive(Clone, Debug, Default)]
struct Members {
    seen: SeenByMember,
}

impl Members {
    fn with<T>(&self, member: &MemberName, change: impl FnOnce(&mut Seen) -> T) -> T {
        let mut seen = self.seen.lock().expect("no test panics with the lock");
        change(seen.entry(member.clone()).or_default())
    }
}

impl MemberCalls for Members {
    fn status(&self, call: MemberTarget, hold: bool) -> LocalBoxFuture<'static, MemberAnswer> {
        let members = self.clone();
        async move {
            if hold {
                members.with(&call.member, |seen| {
                    seen.holds += 1;
                    seen.overlaps += usize::from(seen.releases_running > 0);
                });
            }
            let received = Position { term: Term(1), index: 10 };
            let primary = call.member == member(1);
            MemberAnswer::Status(MemberStatus { primary, term: 1, received, pause_term: 0 })
        }
        .boxed_local()
    }

    fn release(&self, call: MemberTarget) -> LocalBoxFuture<'static, ()> {
        let members = self.clone();
        async move {
            members.with(&call.member, |seen| seen.releases_running += 1);
            tokio::time::sleep(RELEASE_TIME).await;
            members.with(&call.member, |seen| seen.releases_running -= 1);
        }
        .boxed_local()
    }
}

/// An authority that is not called, as the primary serves.
#[derive(Debug)]
struct UnusedAuthority;

impl PromotionAuthority for UnusedAuthority {
    fn promote(
        &self,
        _group: GroupName,
        _target: MemberName,
        _fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer> {
        ready(PromotionAnswer::Refused).boxed_local()
    }
}

/// Guards against a release that reaches a replica after the next hold: the leader would take the replica for
/// held while it receives and acknowledges commits.
#[actix_rt::test]
async fn a_replica_is_held_again_only_after_its_release_has_ended() {
    let members = Members::default();
    let calls =
        RegistryCalls { members: Arc::new(members.clone()), authority: Arc::new(UnusedAuthority) };
    let cell = Cell::start_with(1, |settings| settings.registry_calls = Some(calls.clone()));
    let leader = cell.leader().await;
    let registry = cell.replicas[leader].running().registry();
    assert_eq!(registry.put_document(document(1)).await, Ok(1));
    for number in 1..=MEMBERS {
        assert_eq!(registry.apply_report(member(number), first_report(number)).await, Ok(()));
    }
    let mut gateway = Proxy::connect(cell.replicas[leader].proxies, "g-1", View::default()).await;
    // The primary serves, so that each suspicion ends with a release, and the next one holds the replicas.
    wait_until("several holds", async || {
        let health = MemberHealth::Unreachable;
        let observation = Observation { group: group(), member: member(1), health };
        gateway.report(vec![observation]).await?;
        (members.with(&member(2), |seen| seen.holds) >= HOLDS).then_some(())
    })
    .await;
    for number in 2..=MEMBERS {
        let seen = members.with(&member(number), |seen| seen.clone());
        assert_eq!(seen.overlaps, 0, "{seen:?}");
    }
}
