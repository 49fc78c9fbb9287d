//! Builders of groups, proxies and control states for the tests of this crate.
#![allow(dead_code, reason = "each test binary uses only some of the builders")]

pub mod world;

use corktack_core::identity::{Incarnation, NameError, ProxyName};
use corktack_core::position::Term;
use corktack_core::resources::{
    BindingSpec, CallerMatch, DatabaseGroupSpec, MemberSpec, PriorityClassSpec, ResourceKey,
    ResourceSpec, ResourceVersion,
};
use corktack_core::state::ControlState;
use corktack_core::state::command::{
    Applied, ChangeId, Command, FailoverStep, Outcome, ProxyRegistration, Refusal,
    ResourceOperation,
};
use corktack_core::view::{GroupView, Revision};
use std::net::SocketAddr;

pub type Group = DatabaseGroupSpec;

/// Zones of the test fleets: two regions of three zones each.
pub const ZONES: [&str; 6] = ["north.a", "north.b", "north.c", "south.a", "south.b", "south.c"];

pub fn name<T: std::str::FromStr<Err = NameError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn group_key(group: &str) -> ResourceKey {
    ResourceKey::DatabaseGroup(name(group))
}

/// Returns a group of the members `m0`, `m1`, ..., one in each zone, for the database of the
/// group's name.
pub fn group_spec(group: &str, members: u16) -> Group {
    let member = |number: u16| MemberSpec {
        name: name(&format!("m{number}")),
        address: address(6000 + number),
        zone: name(ZONES[usize::from(number) % ZONES.len()]),
        draining: false,
    };
    Group {
        database: group.to_owned(),
        members: (0..members).map(member).collect(),
        slots: 5,
        connections: 40,
        queue_limit: 1_000,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    }
}

pub fn registration(proxy: &str, incarnation: u64, zone: &str) -> ProxyRegistration {
    ProxyRegistration {
        proxy: name(proxy),
        incarnation: Incarnation(incarnation),
        address: address(7000),
        zone: name(zone),
    }
}

/// Returns the registrations of the proxies `p0`, `p1`, ..., spread over [`ZONES`].
pub fn fleet(count: usize) -> Vec<ProxyRegistration> {
    let zone = |number: usize| ZONES[number % ZONES.len()];
    (0..count).map(|number| registration(&format!("p{number}"), 1, zone(number))).collect()
}

pub fn incarnation_of(proxy: &str, incarnation: u64) -> (ProxyName, Incarnation) {
    (name(proxy), Incarnation(incarnation))
}

pub fn complete(primary: &str, term: u64) -> FailoverStep {
    FailoverStep::Complete { primary: name(primary), term: Term(term) }
}

pub fn invalid_field(outcome: Outcome) -> String {
    match outcome {
        Outcome::Refused(Refusal::Invalid { field, .. }) => field,
        other => panic!("expected an invalid field, got {other:?}"),
    }
}

pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("encodable")
}

pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard()).expect("decodable").0
}

pub fn delete_command(id: &str, group: &str, expected: Option<ResourceVersion>) -> Command {
    let operation = ResourceOperation::Delete { key: group_key(group), expected };
    Command::Resource { change: ChangeId(id.to_owned()), operation }
}

/// A control state with the revision of its last applied entry.
#[derive(Clone, Default)]
pub struct Cell {
    pub state: ControlState,
    pub last: u64,
}

impl Cell {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn apply(&mut self, command: Command) -> Applied {
        self.last += 1;
        self.state.apply(Revision(self.last), command)
    }

    pub fn group(&self, group: &str) -> GroupView {
        let record = self.state.group(&name(group)).expect("a stored group");
        GroupView::clone(&record.view)
    }

    pub fn put_command(
        &self,
        id: &str,
        group: &str,
        members: u16,
        expected: Option<ResourceVersion>,
    ) -> Command {
        let spec = Box::new(ResourceSpec::DatabaseGroup(group_spec(group, members)));
        let operation = ResourceOperation::Put { key: group_key(group), spec, expected };
        Command::Resource { change: ChangeId(id.to_owned()), operation }
    }

    fn operate(&mut self, operation: ResourceOperation) -> Result<ResourceVersion, Refusal> {
        let change = ChangeId(format!("change {}", self.last));
        match self.apply(Command::Resource { change, operation }).outcome {
            Outcome::Accepted { version, .. } => Ok(version),
            Outcome::Refused(refusal) => Err(refusal),
            other @ (Outcome::Batch { .. } | Outcome::Registry(_)) => {
                panic!("unexpected outcome of a resource command: {other:?}")
            }
        }
    }

    pub fn put_spec(
        &mut self,
        key: ResourceKey,
        spec: ResourceSpec,
        expected: Option<ResourceVersion>,
    ) -> Result<ResourceVersion, Refusal> {
        self.operate(ResourceOperation::Put { key, spec: Box::new(spec), expected })
    }

    pub fn put(
        &mut self,
        group: &str,
        spec: Group,
        expected: Option<ResourceVersion>,
    ) -> Result<ResourceVersion, Refusal> {
        self.put_spec(group_key(group), ResourceSpec::DatabaseGroup(spec), expected)
    }

    pub fn put_group(
        &mut self,
        group: &str,
        expected: Option<ResourceVersion>,
    ) -> Result<ResourceVersion, Refusal> {
        self.put(group, group_spec(group, 3), expected)
    }

    pub fn put_class(
        &mut self,
        class: &str,
        priority: u32,
        percent: u8,
    ) -> Result<ResourceVersion, Refusal> {
        let spec = PriorityClassSpec { priority, guaranteed_percent: percent };
        let key = ResourceKey::PriorityClass(name(class));
        self.put_spec(key, ResourceSpec::PriorityClass(spec), None)
    }

    pub fn put_binding(
        &mut self,
        binding: &str,
        class: &str,
        callers: CallerMatch,
    ) -> Result<ResourceVersion, Refusal> {
        let spec = BindingSpec { callers, class: name(class), order: 0 };
        self.put_spec(ResourceKey::Binding(name(binding)), ResourceSpec::Binding(spec), None)
    }

    pub fn delete(&mut self, key: ResourceKey) -> Result<ResourceVersion, Refusal> {
        self.operate(ResourceOperation::Delete { key, expected: None })
    }

    pub fn step(&mut self, group: &str, step: FailoverStep) -> Result<(), Refusal> {
        let batch = vec![(name(group), step)];
        let Outcome::Batch { mut refused } = self.apply(Command::Failover(batch)).outcome else {
            panic!("unexpected outcome of a failover command")
        };
        refused.pop().map_or(Ok(()), |(_, refusal)| Err(refusal))
    }

    pub fn adopt(&mut self, group: &str, primary: &str, term: u64) -> Result<(), Refusal> {
        self.step(group, FailoverStep::Adopt { primary: name(primary), term: Term(term) })
    }
}
