//! Follows the configuration in force: which groups this proxy owns, and which it observes.
//!
//! The module owns the tasks of each group (probes, barriers, warm connections) and ends them with what this proxy
//! does for the group; a group that is lost stays until its streams have finished. It relies on the view for who
//! owns a group and on `corktack_core` for who is its second observer.

use crate::barrier;
use crate::connection::Login;
use crate::context::Context;
use crate::group::{CONTROL_APPLICATION_NAME, Group};
use crate::probe::{self, Learner, ProbeTarget};
use crate::warm;
use corktack_core::identity::{GroupName, ProxyName};
use corktack_core::resources::MemberSpec;
use corktack_core::routing::SecondObservers;
use corktack_core::view::{GroupView, View};
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use tokio_util::sync::CancellationToken;

/// A second observer probes this many times slower than the owner. Measured with the owner's probes every 200 ms:
/// a frozen primary, which both observers have to miss, was replaced within 1.0 s at twice and 1.4 s at four times
/// (middle of three runs), for 6.4 and 5.4 KB/s a group (docs/CAPACITY.md).
const OBSERVER_SLOWDOWN: u32 = 2;

/// What this proxy does for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Observer,
}

/// The tasks that run for a group, stopped when dropped.
struct Duty {
    role: Role,
    members: Vec<MemberSpec>,
    database: String,
    probes: CancellationToken,
    tasks: CancellationToken,
}

impl Drop for Duty {
    fn drop(&mut self) {
        self.tasks.cancel();
        self.probes.cancel();
    }
}

/// A group that another proxy owns now. Open streams hold it; until they have
/// finished they must still hear of a change of primary and of silent members.
struct RetiredGroup {
    name: GroupName,
    group: Weak<Group>,
}

impl RetiredGroup {
    /// Passes a view on; false when no stream is open any more.
    fn follow(&self, view: &View) -> bool {
        let Some(group) = self.group.upgrade() else {
            return false;
        };
        if let Some(now) = view.groups.get(&self.name) {
            group.apply_view(now, &view.classes);
        }
        true
    }
}

/// Ends what this proxy does for a group that it lost. Its probes go on by
/// themselves for as long as streams hold the group.
fn retire(context: &Context, name: &GroupName, duty: &mut Duty) -> Option<RetiredGroup> {
    let group = context.remove_group(name)?;
    group.retire();
    duty.probes = CancellationToken::new();
    Some(RetiredGroup { name: name.clone(), group: Arc::downgrade(&group) })
}

/// Applies each view as it comes, until the owner stops.
pub(crate) async fn follow_view(context: Arc<Context>) {
    let mut views = context.view.clone();
    let mut duties = Duties::default();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        duties.apply(&context, &view);
        if views.changed().await.is_err() {
            // No further view can come; what is in force stays in force.
            return std::future::pending().await;
        }
    }
}

/// What this proxy does for all groups under the view applied last.
#[derive(Default)]
struct Duties {
    duties: BTreeMap<GroupName, Duty>,
    retired: Vec<RetiredGroup>,
    observers: SecondObservers,
}

impl Duties {
    fn apply(&mut self, context: &Arc<Context>, view: &View) {
        self.observers.update(view);
        self.end_lost(context, view);
        self.retired.retain(|lost| lost.follow(view));
        for (name, group) in &view.groups {
            let Some(role) = role(&context.settings.proxy, &self.observers, name, group) else {
                continue;
            };
            if role == Role::Owner {
                self.own(context, view, name, group);
            }
            let duty = self.duties.entry(name.clone()).or_insert_with(|| Duty::new(role));
            duty.probe_members(context, name, group);
        }
    }

    fn end_lost(&mut self, context: &Context, view: &View) {
        let Self { duties, retired, observers } = self;
        duties.retain(|name, duty| {
            let keeps = view.groups.get(name).is_some_and(|group| {
                role(&context.settings.proxy, observers, name, group) == Some(duty.role)
            });
            if !keeps {
                retired.extend(retire(context, name, duty));
            }
            keeps
        });
    }

    fn own(
        &mut self,
        context: &Arc<Context>,
        view: &View,
        name: &GroupName,
        group: &Arc<GroupView>,
    ) {
        if let Some(owned) = context.group(name) {
            owned.apply_view(group, &view.classes);
            return;
        }
        let known = self.retired.iter().position(|lost| &lost.name == name);
        let known = known.and_then(|place| self.retired.swap_remove(place).group.upgrade());
        let owned = known.unwrap_or_else(|| {
            Arc::new(Group::new(
                name.clone(),
                Arc::clone(group),
                &view.classes,
                context.settings.clone(),
                context.metrics.clone(),
                context.now(),
            ))
        });
        // Streams that are still open from before count towards the same slots.
        owned.resume();
        let duty = Duty::new(Role::Owner);
        duty.spawn(context, warm::keep_warm(Arc::clone(&owned)));
        duty.spawn(context, barrier::run(Arc::clone(&owned)));
        self.duties.insert(name.clone(), duty);
        context.insert_group(name.clone(), owned);
    }
}

/// What a proxy does for a group under a view.
fn role(
    proxy: &ProxyName,
    observers: &SecondObservers,
    name: &GroupName,
    group: &GroupView,
) -> Option<Role> {
    let owner = group.owner.as_ref();
    if owner == Some(proxy) {
        return Some(Role::Owner);
    }
    (observers.of(name, owner) == Some(proxy)).then_some(Role::Observer)
}

impl Duty {
    fn new(role: Role) -> Self {
        let tasks = CancellationToken::new();
        let probes = CancellationToken::new();
        Self { role, members: Vec::new(), database: String::new(), probes, tasks }
    }

    fn spawn(&self, context: &Context, task: impl Future<Output = ()> + Send + 'static) {
        spawn_until(context, self.tasks.clone(), task);
    }

    fn probe_members(&mut self, context: &Context, name: &GroupName, group: &GroupView) {
        let spec = &group.spec;
        if self.members == spec.members && self.database == spec.database {
            return;
        }
        self.members = spec.members.clone();
        self.database = spec.database.clone();
        self.probes.cancel();
        self.probes = CancellationToken::new();
        for member in &self.members {
            let target = self.probe_target(context, name, member);
            let observations = context.observations.clone();
            spawn_until(context, self.probes.clone(), probe::run(target, observations));
        }
    }

    fn probe_target(
        &self,
        context: &Context,
        name: &GroupName,
        member: &MemberSpec,
    ) -> ProbeTarget {
        let settings = &context.settings;
        let slowdown = if self.role == Role::Owner { 1 } else { OBSERVER_SLOWDOWN };
        ProbeTarget {
            group: name.clone(),
            member: member.name.clone(),
            address: member.address,
            login: Login {
                user: settings.back_end_user.clone(),
                database: self.database.clone(),
                application_name: CONTROL_APPLICATION_NAME,
            },
            interval: settings.probe_interval * slowdown,
            timeout: settings.probe_timeout,
            learner: match context.group(name).filter(|_| self.role == Role::Owner) {
                Some(group) => Learner::Group(Arc::downgrade(&group)),
                None => Learner::Nobody,
            },
        }
    }
}

fn spawn_until(
    context: &Context,
    token: CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) {
    context.spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = task => {}
        }
    });
}
