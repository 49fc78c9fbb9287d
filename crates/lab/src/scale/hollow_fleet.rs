//! Real control replicas with hollow nodes and hollow back ends.

use super::back_end;
use super::group::HollowGroup;
use super::node::{self, Counters, NodeHandle, Request};
use super::nodes::{CONVERGE_TIMEOUT, revisions, start_arbiters, start_nodes};
use super::observe::{HollowGroups, Observer};
use super::plan::{self, MEMBERS};
use super::second_observers::SecondObservers;
use crate::fleet::plan::FleetPlan;
use crate::fleet::{Fleet, Programs};
use crate::profile::Profile;
use actix_rt::Arbiter;
use corktack_core::identity::{GroupName, MemberName, ProxyName, ZoneName};
use corktack_core::view::View;
use eyre::{OptionExt, bail};
use rustix::process::{Resource, getrlimit};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Slots of each group.
const SLOTS: u32 = 10;
/// Time between two looks at a node's configuration.
const SHOW_INTERVAL: Duration = Duration::from_millis(200);
/// Descriptors for all but nodes and back ends.
const SPARE_DESCRIPTORS: u64 = 500;

/// Sizes of a hollow fleet.
#[derive(Clone, Copy, Debug)]
pub struct HollowSize {
    /// Hollow nodes.
    pub nodes: u32,
    /// Control replicas, each a process.
    pub controls: u64,
    /// Event loops (threads) of the hollow nodes and back ends.
    pub threads: usize,
}

/// A hollow node.
#[derive(Debug)]
pub struct HollowNode {
    /// Its name.
    pub name: ProxyName,
    /// Its zone.
    pub zone: ZoneName,
    /// What it may be asked.
    pub handle: NodeHandle,
    /// What it counts.
    pub counters: Arc<Counters>,
}

impl HollowNode {
    /// Bytes so far, both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        let Counters { bytes_in, bytes_out, .. } = &*self.counters;
        bytes_in.load(Ordering::Relaxed) + bytes_out.load(Ordering::Relaxed)
    }
}

/// A hollow back end.
#[derive(Debug)]
pub struct HollowMember {
    /// Its name.
    pub name: MemberName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its group.
    pub group: Arc<HollowGroup>,
    /// Its place in the group.
    pub place: usize,
}

/// Control replicas, hollow nodes and hollow back ends.
#[derive(Debug)]
pub struct HollowFleet {
    /// The control replicas.
    pub control: Fleet,
    /// The nodes, in the order of their numbers.
    pub nodes: Vec<HollowNode>,
    /// The back ends.
    pub members: Vec<HollowMember>,
    /// Groups.
    pub groups: u32,
}

impl HollowFleet {
    /// Starts all, and waits until every node has every group with a primary and an owner.
    ///
    /// # Errors
    /// The first failure; what was started is ended.
    pub async fn start(size: HollowSize, folder: &Path) -> eyre::Result<Self> {
        let profile = Profile { groups: 0, ..Profile::huts() };
        let plan = FleetPlan::new(profile, folder, size.controls, 0)?;
        let replicas: Vec<SocketAddr> = plan.controls.iter().map(|it| it.proxies).collect();
        let control = Fleet::start(plan, Programs::beside_this_one()?).await?;
        let groups = plan::groups_for(size.nodes);
        let arbiters = start_arbiters(size.threads);
        let (members, manifests) = start_members(groups, &arbiters)?;
        let nodes = start_hollow_nodes(size.nodes, &replicas, &members, &arbiters).await?;
        let path = folder.join("groups.yaml");
        std::fs::write(&path, manifests)?;
        control.corktack(&["apply", "-f", &path.to_string_lossy()])?;
        let fleet = Self { control, nodes, members, groups };
        fleet.wait_until_whole().await?;
        Ok(fleet)
    }

    /// The configuration in force on a node.
    ///
    /// # Errors
    /// The node has ended.
    pub async fn view(&self) -> eyre::Result<View> {
        let node = self.nodes.first().ok_or_eyre("there is no node")?;
        let (sender, shown) = oneshot::channel();
        node.handle.requests.send(Request::Show(sender))?;
        Ok(shown.await?)
    }

    async fn wait_until_whole(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + CONVERGE_TIMEOUT;
        while Instant::now() < deadline {
            let view = self.view().await?;
            let whole =
                view.groups.values().filter(|it| it.primary.is_some() && it.owner.is_some());
            let handles = self.nodes.iter().map(|node| &node.handle);
            let (lowest, highest) = revisions(handles);
            let equal = lowest == highest && lowest == view.revision.0;
            if equal && whole.count() == self.groups as usize {
                return Ok(());
            }
            tokio::time::sleep(SHOW_INTERVAL).await;
        }
        bail!("not every group had a primary and an owner within {CONVERGE_TIMEOUT:?}");
    }
}

/// The largest number of nodes, at most `wanted`, that this process has descriptors for.
#[must_use]
pub fn nodes_that_fit(wanted: u32) -> u32 {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let needed = |nodes: u32| {
        // A member has a listener and, with control asking, a connection.
        u64::from(nodes) + u64::from(plan::groups_for(nodes) * MEMBERS * 2) + SPARE_DESCRIPTORS
    };
    (0..=wanted).rev().find(|nodes| needed(*nodes) <= limit).unwrap_or(0)
}

/// Binds and serves all members; gives them with the manifests of their groups.
fn start_members(groups: u32, arbiters: &[Arbiter]) -> eyre::Result<(Vec<HollowMember>, String)> {
    let (mut members, mut manifests) = (Vec::new(), Vec::new());
    for number in 0..groups {
        let names: Result<Vec<MemberName>, _> =
            (0..MEMBERS).map(|it| MemberName::new(plan::member_name(number, it))).collect();
        let names = names?;
        let group = Arc::new(HollowGroup::new(names.clone(), 0));
        let mut addresses = [plan::member_address(number, 0, 0); MEMBERS as usize];
        for (place, name) in names.into_iter().enumerate() {
            let listener = TcpListener::bind(plan::member_address(number, place as u32, 0))?;
            listener.set_nonblocking(true)?;
            addresses[place] = listener.local_addr()?;
            let served = Arc::clone(&group);
            arbiters[number as usize % arbiters.len()].spawn(async move {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => back_end::serve(served, place, listener).await,
                    Err(error) => log::error!(error:%; "a hollow back end was not started"),
                }
            });
            let zone = plan::zone(number + place as u32)?;
            members.push(HollowMember { name, zone, group: Arc::clone(&group), place });
        }
        manifests.push(plan::group_manifest_at(number, addresses, SLOTS)?);
    }
    Ok((members, manifests.join("---\n")))
}

async fn start_hollow_nodes(
    count: u32,
    replicas: &[SocketAddr],
    members: &[HollowMember],
    arbiters: &[Arbiter],
) -> eyre::Result<Vec<HollowNode>> {
    let mut groups = HollowGroups::new();
    for (place, member) in members.iter().enumerate() {
        let name = GroupName::new(plan::group_name(place as u32 / MEMBERS))?;
        groups.insert(name, Arc::clone(&member.group));
    }
    let groups = Arc::new(groups);
    let seconds = Arc::new(SecondObservers::default());
    let all_counters: Vec<Arc<Counters>> = (0..count).map(|_| Arc::default()).collect();
    let prepare = |number| {
        let settings = plan::node_settings(number, replicas)?;
        let name = settings.proxy.clone();
        let observer = Observer::new(name, Arc::clone(&groups), Arc::clone(&seconds));
        let counters = Arc::clone(&all_counters[number as usize]);
        Ok(move || node::start(settings, counters, Some(observer)))
    };
    let handles = start_nodes(arbiters, count, prepare).await?;
    let mut nodes = Vec::new();
    for (number, (handle, counters)) in (0..).zip(handles.into_iter().zip(all_counters)) {
        let settings = plan::node_settings(number, replicas)?;
        nodes.push(HollowNode { name: settings.proxy, zone: settings.zone, handle, counters });
    }
    Ok(nodes)
}
