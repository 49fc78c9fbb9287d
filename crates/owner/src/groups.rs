//! Follows the view: which groups this proxy owns, and which it observes.

use crate::barrier;
use crate::connection::Login;
use crate::context::Context;
use crate::group::{CONTROL_APPLICATION_NAME, Group};
use crate::lease;
use crate::probe::{self, ProbeTarget};
use corktack_core::identity::GroupName;
use corktack_core::resources::MemberSpec;
use corktack_core::routing::second_observer;
use corktack_core::view::{GroupView, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A second observer probes this many times slower than the owner.
const OBSERVER_SLOWDOWN: u32 = 4;

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
    }
}

/// Applies each view as it comes, until the owner stops.
pub(crate) async fn follow_view(context: Arc<Context>) {
    let mut views = context.view.clone();
    let mut duties = BTreeMap::new();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        apply(&context, &mut duties, &view);
        if views.changed().await.is_err() {
            // No further view can come; what is in force stays in force.
            return std::future::pending().await;
        }
    }
}

fn apply(context: &Arc<Context>, duties: &mut BTreeMap<GroupName, Duty>, view: &View) {
    duties.retain(|name, _| {
        let keeps =
            view.groups.get(name).is_some_and(|group| role(context, view, name, group).is_some());
        if !keeps {
            // Open streams hold the group and finish.
            drop(context.remove_group(name));
        }
        keeps
    });
    for (name, group) in &view.groups {
        let Some(role) = role(context, view, name, group) else {
            continue;
        };
        if duties.get(name).is_some_and(|duty| duty.role != role) {
            drop(context.remove_group(name));
            duties.remove(name);
        }
        if role == Role::Owner {
            own(context, view, name, group, duties);
        }
        let duty = duties.entry(name.clone()).or_insert_with(|| Duty::new(role));
        duty.probe_members(context, name, group);
    }
}

fn role(context: &Context, view: &View, name: &GroupName, group: &GroupView) -> Option<Role> {
    let proxy = &context.settings.proxy;
    if group.owner.as_ref() == Some(proxy) {
        return Some(Role::Owner);
    }
    (second_observer(view, name, group) == Some(proxy)).then_some(Role::Observer)
}

fn own(
    context: &Arc<Context>,
    view: &View,
    name: &GroupName,
    group: &Arc<GroupView>,
    duties: &mut BTreeMap<GroupName, Duty>,
) {
    if let Some(owned) = context.group(name) {
        owned.apply_view(group, &view.classes);
        return;
    }
    let owned = Arc::new(Group::new(context, name.clone(), Arc::clone(group), &view.classes));
    let duty = Duty::new(Role::Owner);
    duty.spawn(context, lease::keep_warm(Arc::clone(&owned)));
    duty.spawn(context, barrier::run(Arc::clone(&owned)));
    duties.insert(name.clone(), duty);
    context.insert_group(name.clone(), owned);
}

impl Duty {
    fn new(role: Role) -> Self {
        let tasks = CancellationToken::new();
        let probes = tasks.child_token();
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
        self.probes = self.tasks.child_token();
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
            learner: context.group(name).filter(|_| self.role == Role::Owner),
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
