//! A proxy: the core's view with its watch of control, probes of the group it owns,
//! and callers' requests.
//!
//! A request goes from the proxy that has the session straight to the member; the
//! hop to the owner and its wait queue are not modelled, as no safety rests on them.

mod requests;

use super::event::{Address, Context, Packet, ProxyReport};
use super::history::{Note, digest};
use super::member::MEMBERS;
use super::names::{address, group_name, member_index, member_name, proxy_name, zone};
use super::variant::Variant;
use corktack_core::failover::MemberHealth;
use corktack_core::identity::{Incarnation, MemberName, ProxyName};
use corktack_core::membership::ProxyHeartbeat;
use corktack_core::time::Timestamp;
use corktack_core::view::{Delta, Revision, View};
use rand::Rng;
use requests::Request;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Proxies.
pub(crate) const PROXIES: u8 = 3;
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const CONTROL_PATIENCE: Duration = Duration::from_millis(1_200);
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
const PROBE_PATIENCE: Duration = Duration::from_millis(450);

/// One proxy.
pub(crate) struct Proxy {
    index: u8,
    name: ProxyName,
    incarnation: u64,
    pub running: bool,
    view: View,
    control: u8,
    control_heard: Timestamp,
    report_due: Timestamp,
    probe_due: Timestamp,
    /// When each member answered last, and what it said.
    health: BTreeMap<MemberName, (Timestamp, MemberHealth)>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
}

impl Proxy {
    pub fn new(index: u8) -> Self {
        Self {
            index,
            name: proxy_name(index),
            incarnation: 1,
            running: true,
            view: View::default(),
            control: index,
            control_heard: Timestamp::ZERO,
            report_due: Timestamp::ZERO,
            probe_due: Timestamp::ZERO,
            health: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
        }
    }

    /// Ends the process; the view in force is in the data folder.
    pub fn crash(&mut self) {
        self.running = false;
        self.requests.clear();
        self.health.clear();
    }

    /// Ends the process and empties its data folder.
    pub fn lose_folder(&mut self) {
        self.crash();
        self.view = View::default();
    }

    /// Starts the process, which turns to another control machine.
    pub fn start(&mut self) {
        self.control = (self.control + 1) % super::control::MACHINES;
        self.running = true;
        self.incarnation += 1;
    }

    pub fn revision(&self) -> Revision {
        self.view.revision
    }

    pub fn tick(&mut self, context: &mut Context<'_>) {
        if !self.running {
            return;
        }
        self.expire_requests(context);
        self.probe(context);
        if context.now < self.report_due {
            return;
        }
        self.report_due = context.now + REPORT_INTERVAL;
        if context.now.saturating_since(self.control_heard) >= CONTROL_PATIENCE {
            self.control_heard = context.now;
            self.control = context.random.random_range(0..super::control::MACHINES);
        }
        let report = Packet::Report(Box::new(self.report(context.now)));
        context.send(Address::Control(self.control), report);
    }

    fn report(&self, now: Timestamp) -> ProxyReport {
        let heartbeat = ProxyHeartbeat {
            proxy: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            address: address(7_000 + u16::from(self.index)),
            zone: zone(self.index),
            revision: self.view.revision,
            draining: false,
        };
        let seen = |(at, health): (Timestamp, MemberHealth)| {
            let late = now.saturating_since(at) >= PROBE_PATIENCE;
            if late { MemberHealth::Unreachable } else { health }
        };
        let health = self.health.iter().filter(|_| self.owns_group());
        let observations = health.map(|(member, found)| (member.clone(), seen(*found))).collect();
        ProxyReport { heartbeat, observations }
    }

    fn owns_group(&self) -> bool {
        let group = self.view.groups.get(&group_name());
        group.is_some_and(|group| group.owner.as_ref() == Some(&self.name))
    }

    fn probe(&mut self, context: &mut Context<'_>) {
        if !self.owns_group() || context.now < self.probe_due {
            return;
        }
        self.probe_due = context.now + PROBE_INTERVAL;
        for member in 0..MEMBERS {
            let unseen = (context.now, MemberHealth::Unreachable);
            self.health.entry(member_name(member)).or_insert(unseen);
            context.send(Address::Member(member), Packet::Probe);
        }
    }

    /// The primary announced in the view in force.
    fn primary(&self) -> Option<Address> {
        let group = self.view.groups.get(&group_name())?;
        group.primary.as_ref().map(|primary| Address::Member(member_index(primary)))
    }

    pub fn handle(&mut self, context: &mut Context<'_>, from: Address, packet: Packet) {
        if !self.running {
            return;
        }
        match packet {
            Packet::Deltas { after, deltas } => self.take_deltas(context, after, &deltas),
            Packet::Snapshot { life, view } if life == Incarnation(self.incarnation) => {
                self.take_snapshot(context, &view);
            }
            Packet::Probed(status) => {
                let health = MemberHealth::from(&status);
                self.health.insert(status.member, (context.now, health));
            }
            packet => self.take_request_packet(context, from, packet),
        }
    }

    /// Deltas come over one ordered connection, so they follow what is in force.
    fn take_deltas(&mut self, context: &mut Context<'_>, after: Revision, deltas: &[Arc<Delta>]) {
        self.control_heard = context.now;
        if after != self.view.revision {
            return;
        }
        for delta in deltas {
            if self.view.apply(Delta::clone(delta)).is_ok() {
                self.note_view(context);
            }
        }
    }

    fn take_snapshot(&mut self, context: &mut Context<'_>, view: &View) {
        self.control_heard = context.now;
        if context.is(Variant::SnapshotNotCompared) {
            self.view = view.clone();
            self.note_view(context);
        } else if self.view.replace(view.clone()).is_ok() {
            self.note_view(context);
        }
    }

    fn note_view(&self, context: &mut Context<'_>) {
        let (proxy, revision) = (self.index, self.view.revision);
        let digest = digest(&self.view);
        context.notes.push(Note::ProxyView { proxy, revision, digest });
    }
}
