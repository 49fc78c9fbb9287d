//! Test support: scripted back ends, an edge, and a fleet of one owner over scripted members.
#![allow(dead_code, clippy::unwrap_used)]

pub mod back_end;
pub mod edge;
pub mod group;
pub mod owner;
pub mod relay;

use back_end::FakeMember;
use corktack_core::identity::{ClassName, GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec, PriorityClassSpec};
use corktack_core::view::{GroupView, Revision, View};
use corktack_owner::{OwnerHandle, OwnerSettings};
use corktack_protocol::control::Observation;
use corktack_protocol::peer::{Access, Failure, NotRunReason};
use edge::TestEdge;
use owner::TestOwner;
use prometheus_client::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

pub const GROUP: &str = "calls";

/// One owner over scripted members.
pub struct Fleet {
    pub members: Vec<FakeMember>,
    pub views: watch::Sender<Arc<View>>,
    pub owner: OwnerHandle,
    pub observations: mpsc::UnboundedReceiver<Observation>,
    pub registry: Registry,
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

pub fn classes() -> BTreeMap<ClassName, PriorityClassSpec> {
    let class = |name: &str, priority, guaranteed_percent| {
        (ClassName::new(name).unwrap(), PriorityClassSpec { priority, guaranteed_percent })
    };
    [class("gold", 10, 50), class("basic", 1, 10)].into_iter().collect()
}

fn member_spec(member: &FakeMember) -> MemberSpec {
    let name = MemberName::new(member.name()).unwrap();
    MemberSpec { name, address: member.address(), zone: zone("amba.a"), draining: false }
}

pub fn group_view(members: &[FakeMember], slots: u32, queue_limit: u32) -> GroupView {
    GroupView {
        spec: DatabaseGroupSpec {
            database: GROUP.to_owned(),
            members: members.iter().map(member_spec).collect(),
            slots,
            connections: slots * 6,
            queue_limit,
            queue_timeout_ms: 5_000,
            replica_wait_ms: 20,
        },
        primary: Some(MemberName::new(members[0].name()).unwrap()),
        term: Term(1),
        owner: Some(ProxyName::new("proxy-1").unwrap()),
        draining: BTreeSet::new(),
    }
}

impl Fleet {
    /// Starts three members, of which the first is the primary of term 1, and their owner.
    pub async fn start(slots: u32, queue_limit: u32) -> Self {
        Self::start_with(slots, queue_limit, |_| {}).await
    }

    pub async fn start_with(
        slots: u32,
        queue_limit: u32,
        adjust: impl Fn(&mut OwnerSettings),
    ) -> Self {
        let mut members = Vec::new();
        for name in ["m1", "m2", "m3"] {
            members.push(FakeMember::start(name).await);
        }
        members[0].set_primary(1);
        let mut view = View { revision: Revision(1), classes: classes(), ..View::default() };
        let group = group_view(&members, slots, queue_limit);
        view.groups.insert(GroupName::new(GROUP).unwrap(), Arc::new(group));
        let name = ProxyName::new("proxy-1").unwrap();
        let started = TestOwner::start(name, Incarnation(7), view, adjust);
        let TestOwner { owner, observations, registry, views } = started;
        Self { members, views, owner, observations, registry }
    }

    pub async fn edge(&self) -> TestEdge {
        TestEdge::connect(self.owner.address()).await
    }

    /// Changes the group in the view.
    pub fn change_group(&self, change: impl FnOnce(&mut GroupView)) {
        let name = GroupName::new(GROUP).unwrap();
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision.0 += 1;
            let mut group = GroupView::clone(&next.groups[&name]);
            change(&mut group);
            next.groups.insert(name, Arc::new(group));
            *view = Arc::new(next);
        });
    }

    /// Changes all priority classes in the view.
    pub fn change_classes(&self, change: impl Fn(&mut PriorityClassSpec)) {
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision.0 += 1;
            next.classes.values_mut().for_each(&change);
            *view = Arc::new(next);
        });
    }

    /// Makes another member primary of a term, in the back ends and in the view.
    pub fn promote(&self, index: usize, term: u64) {
        for member in &self.members {
            member.set_replica(term);
        }
        self.members[index].set_primary(term);
        let primary = MemberName::new(self.members[index].name()).unwrap();
        self.change_group(|group| {
            group.primary = Some(primary);
            group.term = Term(term);
        });
    }

    /// Waits until the encoded metrics contain a line.
    pub async fn wait_for_metric(&self, line: &str) {
        loop {
            let mut text = String::new();
            prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
            if text.contains(line) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the owner has reported the health of all members, and so has probed each of them.
    pub async fn wait_for_replicas(&mut self) {
        for _ in &self.members {
            self.observations.recv().await.unwrap();
        }
    }

    /// Waits until the owner has applied the current view: adds a group without a primary in a later view,
    /// and opens streams to the group until the refusals show that the owner has the group.
    pub async fn wait_for_view(&self, edge: &mut TestEdge) {
        let revision = self.views.borrow().revision.0;
        let marker = GroupName::new(format!("marker-{revision}")).unwrap();
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision.0 += 1;
            let mut group = GroupView::clone(&next.groups[&GroupName::new(GROUP).unwrap()]);
            group.owner = Some(ProxyName::new("proxy-1").unwrap());
            group.spec.queue_timeout_ms = 1;
            group.primary = None;
            next.groups.insert(marker.clone(), Arc::new(group));
            *view = Arc::new(next);
        });
        loop {
            let mut probe = edge::request(Access::Write, edge::query("write never"));
            probe.group = marker.clone();
            let stream = edge.open(probe).await;
            let failure = edge.answer(stream).await.failure.unwrap();
            if matches!(failure, Failure::NotRun { reason: NotRunReason::NoBackEnd, .. }) {
                return;
            }
        }
    }
}
