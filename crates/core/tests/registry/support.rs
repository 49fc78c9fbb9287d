//! A registry with one group of three members, for the tests of the registry.

use corktack_core::identity::{GroupName, MemberName, ZoneName};
use corktack_core::registry::{
    BackEndReport, BackEndRole, BackEndState, Consistency, Document, DocumentLimits,
    RegisteredBackEnd, RegistryChanges, RegistryCommand, RegistryOutcome, RegistryState, RouteRule,
    ServiceRule, StoredDocument,
};
use corktack_core::view::Revision;
use std::sync::Arc;
use std::time::Duration;

pub const GROUP: &str = "calls";

pub fn group() -> GroupName {
    GroupName::new(GROUP).expect("a valid name")
}

pub fn member(number: u16) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

pub fn route(name: &str, database: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        database: database.to_owned(),
        path_prefix: "/".to_owned(),
        consistency: Consistency::Linearizable,
        statement_timeout: Duration::from_millis(800),
        latency_objective: Duration::from_millis(400),
        priority: 1,
        group: group(),
        attempts: 2,
        public: false,
    }
}

pub fn document(version: u64) -> Document {
    Document {
        version,
        routes: vec![route("r-1", "db1")],
        services: vec![ServiceRule { name: group(), max_connections: 36, synchronous_replicas: 0 }],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: None,
    }
}

pub fn stored(document: Document, source: &str) -> StoredDocument {
    StoredDocument { document: Arc::new(document), source: source.into() }
}

pub fn back_end(number: u16, state: BackEndState, role: BackEndRole) -> RegisteredBackEnd {
    RegisteredBackEnd {
        group: group(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        zone: ZoneName::new("amba.a").expect("a valid name"),
        capacity: 3,
        state,
        role,
    }
}

pub fn report(number: u16, state: BackEndState, role: BackEndRole, sequence: u64) -> BackEndReport {
    BackEndReport { back_end: back_end(number, state, role), sequence, warmup: Duration::ZERO }
}

/// A registry and the revision of its last applied command.
#[derive(Default)]
pub struct Registry {
    pub state: RegistryState,
    revision: u64,
}

impl Registry {
    /// Returns a registry with a document and the members 1 (the primary), 2 and 3.
    pub fn with_group(synchronous_replicas: u32) -> Self {
        let mut registry = Self::default();
        let mut first = document(1);
        first.services[0].synchronous_replicas = synchronous_replicas;
        registry.apply(RegistryCommand::PutDocument(stored(first, "first")));
        registry.apply_report(1, BackEndState::Ready, BackEndRole::Primary, 1);
        registry.apply_report(2, BackEndState::Ready, BackEndRole::Replica, 1);
        registry.apply_report(3, BackEndState::Ready, BackEndRole::Replica, 1);
        registry
    }

    pub fn apply(&mut self, command: RegistryCommand) -> (RegistryOutcome, RegistryChanges) {
        self.revision += 1;
        let mut changes = RegistryChanges::default();
        let outcome = self.state.apply(Revision(self.revision), command, &mut changes);
        (outcome, changes)
    }

    /// Applies a heartbeat of a member.
    pub fn apply_report(
        &mut self,
        number: u16,
        state: BackEndState,
        role: BackEndRole,
        sequence: u64,
    ) -> RegistryChanges {
        let report = report(number, state, role, sequence);
        self.apply(RegistryCommand::Report { member: member(number), report }).1
    }

    /// Registers a ready replica at the address of another one, whose log it has.
    pub fn apply_successor(&mut self, number: u16, of: u16) {
        let mut report = report(number, BackEndState::Ready, BackEndRole::Replica, 1);
        report.back_end.address = back_end(of, BackEndState::Ready, BackEndRole::Replica).address;
        self.apply(RegistryCommand::Report { member: member(number), report });
    }

    pub fn state_of(&self, number: u16) -> Option<BackEndState> {
        self.state.back_end(&member(number)).map(|back_end| back_end.state)
    }
}
