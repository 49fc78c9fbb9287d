//! A real stand-in group behind relays, and owners whose views each name themselves as the group's owner.

use super::edge::TestEdge;
use super::owner::TestOwner;
use super::relay::Relay;
use super::{GROUP, classes, zone};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName};
use corktack_core::position::Term;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec};
use corktack_core::view::{GroupView, Revision, View};
use corktack_owner::OwnerSettings;
use corktack_standin::{GROUP_SIZE, Group, GroupSettings};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio_postgres::{NoTls, SimpleQueryMessage};

/// A stand-in group and its owners.
pub struct GroupFleet {
    pub owners: Vec<TestOwner>,
    /// Relays through which the owners reach the members.
    pub relays: Vec<Relay>,
    pub group: Group,
    _folder: TempDir,
}

impl GroupFleet {
    pub async fn start(owners: usize, slots: u32) -> Self {
        Self::start_with(owners, slots, |_| {}).await
    }

    pub async fn start_with(
        owners: usize,
        slots: u32,
        adjust: impl Fn(&mut OwnerSettings),
    ) -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let name = GroupName::new(GROUP).expect("a valid name");
        let mut settings = GroupSettings::new(name, folder.path().to_owned());
        settings.connection_cost = Duration::ZERO;
        let group = Group::start(settings).expect("the group starts");
        let mut relays = Vec::new();
        for address in group.postgres_addresses() {
            relays.push(Relay::start(*address).await);
        }
        let mut fleet = Self { owners: Vec::new(), relays, group, _folder: folder };
        for number in 1..=owners {
            let owner = fleet.start_owner(number, slots, &adjust);
            fleet.owners.push(owner);
        }
        fleet
    }

    fn start_owner(
        &self,
        number: usize,
        slots: u32,
        adjust: &impl Fn(&mut OwnerSettings),
    ) -> TestOwner {
        let proxy = ProxyName::new(format!("proxy-{number}")).expect("a valid name");
        let mut view = View { revision: Revision(1), classes: classes(), ..View::default() };
        let name = GroupName::new(GROUP).expect("a valid name");
        view.groups.insert(name, Arc::new(self.view(&proxy, slots)));
        TestOwner::start(proxy, Incarnation(1), view, adjust)
    }

    fn view(&self, proxy: &ProxyName, slots: u32) -> GroupView {
        let members = (0..GROUP_SIZE).map(|index| MemberSpec {
            name: self.member(index),
            address: self.relays[index].address(),
            zone: zone("amba.a"),
            draining: false,
        });
        GroupView {
            spec: DatabaseGroupSpec {
                database: GROUP.to_owned(),
                members: members.collect(),
                slots,
                connections: slots * 6,
                queue_limit: 100,
                queue_timeout_ms: 30_000,
                replica_wait_ms: 20,
            },
            primary: Some(self.member(0)),
            term: Term(1),
            owner: Some(proxy.clone()),
            draining: BTreeSet::new(),
        }
    }

    fn member(&self, index: usize) -> MemberName {
        self.group.peers()[index].name.clone()
    }

    pub async fn edge(&self, owner: usize) -> TestEdge {
        TestEdge::connect(self.owners[owner].owner.address()).await
    }

    /// Fences two members at a term, promotes the one with the higher position (`first` if both are equal),
    /// and updates the owners' views. Returns the index of the new primary.
    pub async fn fail_over(&self, first: usize, term: u64) -> usize {
        let second = (first + 1) % GROUP_SIZE;
        for index in [first, second] {
            self.sql(index, &format!("ALTER SYSTEM FENCE TERM {term}")).await;
        }
        let last_position =
            |index| self.group.member(index).expect("the member runs").status().last_position;
        let promoted = if last_position(second) > last_position(first) { second } else { first };
        self.sql(promoted, &format!("ALTER SYSTEM PROMOTE TERM {term}")).await;
        let primary = self.member(promoted);
        for owner in &self.owners {
            owner.change_group(|group| {
                group.primary = Some(primary.clone());
                group.term = Term(term);
            });
        }
        promoted
    }

    /// Runs a statement directly on a member, without owner or relay; returns the first column of the rows.
    pub async fn sql(&self, index: usize, text: &str) -> Vec<String> {
        let address = self.group.postgres_addresses()[index];
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port()).user("clerk").dbname(GROUP);
        let (client, connection) = config.connect(NoTls).await.expect("the member is reached");
        let connection_task = actix_rt::spawn(connection);
        let messages = client.simple_query(text).await.expect("the statement runs");
        drop(client);
        connection_task.abort();
        let first_column = |message: SimpleQueryMessage| match message {
            SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
            _ => None,
        };
        messages.into_iter().filter_map(first_column).collect()
    }
}

impl TestOwner {
    pub fn change_group(&self, change: impl FnOnce(&mut GroupView)) {
        let name = GroupName::new(GROUP).expect("a valid name");
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision.0 += 1;
            let mut group = GroupView::clone(&next.groups[&name]);
            change(&mut group);
            next.groups.insert(name, Arc::new(group));
            *view = Arc::new(next);
        });
    }
}
