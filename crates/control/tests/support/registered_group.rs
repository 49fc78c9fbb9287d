//! A registered group of three members, of which member 1 is the primary.

use corktack_core::identity::{GroupName, MemberName, ZoneName};
use corktack_core::registry::{
    BackEndReport, BackEndRole, BackEndState, Document, DocumentLimits, RegisteredBackEnd,
    ServiceRule, StoredDocument,
};
use std::sync::Arc;
use std::time::Duration;

pub const MEMBERS: u16 = 3;

pub fn group() -> GroupName {
    GroupName::new("calls").expect("a valid name")
}

pub fn member(number: u16) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

pub fn document(synchronous_replicas: u32) -> StoredDocument {
    let document = Document {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRule { name: group(), max_connections: 9, synchronous_replicas }],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: None,
    };
    StoredDocument { document: Arc::new(document), source: "source".into() }
}

/// Returns the first heartbeat of a member.
pub fn first_report(number: u16) -> BackEndReport {
    let role = if number == 1 { BackEndRole::Primary } else { BackEndRole::Replica };
    let back_end = RegisteredBackEnd {
        group: group(),
        address: ([127, 0, 0, 1], number).into(),
        zone: ZoneName::new("amba.a").expect("a valid name"),
        capacity: 3,
        state: BackEndState::Ready,
        role,
    };
    BackEndReport { back_end, sequence: 1, warmup: Duration::ZERO }
}
