//! A replica restarts from a snapshot of a state as large as the limits allow.

mod support;

use awc::http::StatusCode;
use corktack_control::api::AnyManifest;
use corktack_core::consensus::{CellConfig, CellMember, Snapshot};
use corktack_core::identity::{GroupName, MemberName, NameError, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec, ResourceKey, ResourceSpec};
use corktack_core::state::command::{
    CHANGE_ID_LIMIT, ChangeId, Command, Outcome, Refusal, ResourceOperation,
};
use corktack_core::state::{ControlState, RESEND_MEMORY_LIMIT};
use corktack_core::view::Revision;
use corktack_protocol::frame::encode;
use corktack_storage::{DataFolder, LogStore, ReplicaLog};
use std::str::FromStr;
use support::{Cell, wait_until};

/// Database groups of the largest deployment, each with three members.
const GROUPS: usize = 733;
/// Longest allowed name of a group or database.
const MAX_NAME_BYTES: usize = 63;

fn name<T: FromStr<Err = NameError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn long_name(number: usize) -> String {
    format!("{number:x<MAX_NAME_BYTES$}")
}

fn put_group(change: String, group: usize, database: usize) -> Command {
    let member = |index: u16| MemberSpec {
        name: name::<MemberName>(&format!("m{index}")),
        address: ([127, 0, 0, 1], 6_000 + index).into(),
        zone: name::<ZoneName>("amba.a"),
        draining: false,
    };
    let spec = DatabaseGroupSpec {
        database: long_name(database),
        members: (0..3).map(member).collect(),
        slots: 5,
        connections: 15,
        queue_limit: 1_000,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    };
    let key = ResourceKey::DatabaseGroup(name::<GroupName>(&long_name(group)));
    let spec = Box::new(ResourceSpec::DatabaseGroup(spec));
    let operation = ResourceOperation::Put { key, spec, expected: None };
    Command::Resource { change: ChangeId(change), operation }
}

/// Returns a state with all groups and the most remembered refusals, each with the longest change id and the
/// longest reason.
fn full_state() -> ControlState {
    let mut state = ControlState::default();
    let mut apply =
        |number: usize, command| state.apply(Revision(number as u64 + 1), command).outcome;
    for group in 0..GROUPS {
        let outcome = apply(group, put_group(format!("put-{group}"), group, group));
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    }
    for number in GROUPS..GROUPS + RESEND_MEMORY_LIMIT {
        let change = format!("{number:0CHANGE_ID_LIMIT$}");
        // Refused because the database belongs to the first group.
        let outcome = apply(number, put_group(change, GROUPS, 0));
        assert!(matches!(outcome, Outcome::Refused(Refusal::Invalid { .. })), "{outcome:?}");
    }
    state
}

#[actix_rt::test]
async fn a_replica_starts_from_the_largest_snapshot() {
    let mut cell = Cell::start(1);
    cell.leader().await;
    let replica = &mut cell.replicas[0];
    replica.stop().await;
    let state = full_state();
    let member = CellMember { id: replica.id, address: replica.cell };
    let snapshot = Snapshot {
        index: state.applied().0,
        term: Term(1),
        cell: CellConfig { voters: vec![member], learners: Vec::new() },
        data: encode(&state).expect("a state has an encoding"),
    };
    println!("the snapshot has {} bytes", snapshot.data.len());
    {
        let folder = DataFolder::open(replica.folder.path()).expect("the folder is free");
        let (mut log, _) = ReplicaLog::open(&folder, "test").expect("the replica's log");
        log.install_snapshot(&snapshot).expect("the snapshot is written");
    }
    replica.restart(&|_| ()).await;
    let operator = replica.operator();
    let path = format!("/v1/groups/{}", long_name(GROUPS - 1));
    let group: AnyManifest = wait_until("the last group is served", async || {
        let answer = operator.get(&path).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(group.metadata().name, long_name(GROUPS - 1));
}
