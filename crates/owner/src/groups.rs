//! Applies the configuration in force: starts and stops the tasks (probes, barriers, warm connections) of the
//! groups that this proxy owns or observes.
//!
//! A group that another proxy owns now stays in memory until its streams have finished. The view names the
//! owner of a group, and `corktack_core` chooses its second observer.

use crate::barrier;
use crate::connection::Login;
use crate::context::OwnerContext;
use crate::group::{CONTROL_APPLICATION_NAME, Group};
use crate::probe::{self, ProbeRecipient, ProbeTarget};
use crate::warm;
use corktack_core::identity::{GroupName, ProxyName};
use corktack_core::resources::MemberSpec;
use corktack_core::routing::SecondObservers;
use corktack_core::view::{GroupView, View};
use corktack_tasks::essential;
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use tokio_util::sync::CancellationToken;

/// Factor between the probe intervals of a second observer and of the owner. A frozen primary is replaced
/// only after both observers miss probes of it: with probes of the owner every 200 ms, that takes 1.0 s at a
/// factor of 2, for 6.4 KB/s per group, and 1.4 s at a factor of 4, for 5.4 KB/s (docs/CAPACITY.md).
const OBSERVER_SLOWDOWN: u32 = 2;

/// Role of this proxy for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Owner,
    Observer,
}

/// The tasks that run for a group; dropping the value stops them.
struct GroupTasks {
    role: Role,
    members: Vec<MemberSpec>,
    database: String,
    probes: CancellationToken,
    tasks: CancellationToken,
}

impl Drop for GroupTasks {
    fn drop(&mut self) {
        self.tasks.cancel();
        self.probes.cancel();
    }
}

/// A group that another proxy owns now. Open streams keep the group alive; until they have finished, they
/// must still be notified of a change of primary and of unresponsive members.
struct RetiredGroup {
    name: GroupName,
    group: Weak<Group>,
}

impl RetiredGroup {
    /// Applies a view to the group; returns false when no stream is open any more.
    fn apply_view(&self, view: &View) -> bool {
        let Some(group) = self.group.upgrade() else {
            return false;
        };
        if let Some(group_view) = view.groups.get(&self.name) {
            group.apply_view(group_view, &view.classes);
        }
        true
    }
}

/// Stops owning a group that another proxy owns now. The group's probes continue detached until no stream
/// holds the group.
fn retire(
    context: &OwnerContext,
    name: &GroupName,
    group_tasks: &mut GroupTasks,
) -> Option<RetiredGroup> {
    let group = context.remove_group(name)?;
    group.retire();
    group_tasks.probes = CancellationToken::new();
    Some(RetiredGroup { name: name.clone(), group: Arc::downgrade(&group) })
}

/// Applies each new view until the owner stops.
pub(crate) async fn apply_views(context: Arc<OwnerContext>) {
    let mut views = context.view.clone();
    let mut manager = GroupManager::default();
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        manager.apply(&context, &view);
        if views.changed().await.is_err() {
            // The sender is gone: the last view stays in force.
            return std::future::pending().await;
        }
    }
}

/// The groups that this proxy owns, observes or has retired under the last view.
#[derive(Default)]
struct GroupManager {
    tasks_by_group: BTreeMap<GroupName, GroupTasks>,
    retired: Vec<RetiredGroup>,
    observers: SecondObservers,
}

impl GroupManager {
    fn apply(&mut self, context: &Arc<OwnerContext>, view: &View) {
        self.observers.update(view);
        self.stop_lost(context, view);
        self.retired.retain(|retired| retired.apply_view(view));
        for (name, group) in &view.groups {
            let Some(role) = role_of(&context.settings.proxy, &self.observers, name, group) else {
                continue;
            };
            if role == Role::Owner {
                self.start_or_update_owned(context, view, name, group);
            }
            let group_tasks =
                self.tasks_by_group.entry(name.clone()).or_insert_with(|| GroupTasks::new(role));
            group_tasks.update_probes(context, name, group);
        }
    }

    fn stop_lost(&mut self, context: &OwnerContext, view: &View) {
        let Self { tasks_by_group, retired, observers } = self;
        tasks_by_group.retain(|name, group_tasks| {
            let keeps_role = view.groups.get(name).is_some_and(|group| {
                role_of(&context.settings.proxy, observers, name, group) == Some(group_tasks.role)
            });
            if !keeps_role {
                retired.extend(retire(context, name, group_tasks));
            }
            keeps_role
        });
    }

    fn start_or_update_owned(
        &mut self,
        context: &Arc<OwnerContext>,
        view: &View,
        name: &GroupName,
        group: &Arc<GroupView>,
    ) {
        if let Some(owned) = context.group(name) {
            owned.apply_view(group, &view.classes);
            return;
        }
        let retired_group = self.retired.iter().position(|retired| &retired.name == name);
        let retired_group =
            retired_group.and_then(|index| self.retired.swap_remove(index).group.upgrade());
        let owned = retired_group.unwrap_or_else(|| {
            Arc::new(Group::new(
                name.clone(),
                Arc::clone(group),
                &view.classes,
                context.settings.clone(),
                context.metrics.clone(),
                context.now(),
            ))
        });
        // Streams still open from an earlier ownership count towards the same slots.
        owned.resume();
        let group_tasks = GroupTasks::new(Role::Owner);
        group_tasks.spawn(context, warm::keep_warm(Arc::clone(&owned)));
        group_tasks.spawn(context, barrier::run(Arc::clone(&owned)));
        self.tasks_by_group.insert(name.clone(), group_tasks);
        context.insert_group(name.clone(), owned);
    }
}

/// Returns the role of a proxy for a group, if it has one.
fn role_of(
    proxy: &ProxyName,
    observers: &SecondObservers,
    name: &GroupName,
    group: &GroupView,
) -> Option<Role> {
    let owner = group.owner.as_ref();
    if owner == Some(proxy) {
        return Some(Role::Owner);
    }
    (observers.observer_of(name, owner) == Some(proxy)).then_some(Role::Observer)
}

impl GroupTasks {
    fn new(role: Role) -> Self {
        let tasks = CancellationToken::new();
        let probes = CancellationToken::new();
        Self { role, members: Vec::new(), database: String::new(), probes, tasks }
    }

    fn spawn(&self, context: &OwnerContext, task: impl Future<Output = ()> + Send + 'static) {
        spawn_until(context, self.tasks.clone(), task);
    }

    fn update_probes(&mut self, context: &OwnerContext, name: &GroupName, group: &GroupView) {
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
        context: &OwnerContext,
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
            recipient: match context.group(name).filter(|_| self.role == Role::Owner) {
                Some(group) => ProbeRecipient::Group(Arc::downgrade(&group)),
                None => ProbeRecipient::ControlOnly,
            },
        }
    }
}

fn spawn_until(
    context: &OwnerContext,
    token: CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) {
    context.spawn(essential("group-task", async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = task => {}
        }
    }));
}
