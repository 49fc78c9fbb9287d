//! Checks that this version writes the same data folder as an earlier version, opens the folder of that
//! version, and applies every kind of command in its log with the same result.

use corktack_core::consensus::{CellConfig, CellMember, Entry, HardState, Payload, Snapshot};
use corktack_core::identity::{Incarnation, NameError, ReplicaId};
use corktack_core::limits::CeilingChange;
use corktack_core::position::Term;
use corktack_core::registry::{
    BackEndReport, BackEndRole, BackEndState, Consistency, Document, DocumentLimits,
    RegisteredBackEnd, RegistryCommand, RouteRule, ServiceRule, StoredDocument,
};
use corktack_core::resources::{
    BindingSpec, CallerMatch, DatabaseGroupSpec, MemberSpec, PriorityClassSpec, ResourceKey,
    ResourceSpec, ResourceVersion,
};
use corktack_core::state::ControlState;
use corktack_core::state::command::{
    ChangeId, Command, FailoverStep, ProxyRegistration, ResourceOperation,
};
use corktack_core::tenancy::{ApiKey, TenantName, TenantRate, TenantRule};
use corktack_core::view::Revision;
use corktack_protocol::frame::{decode, encode};
use corktack_storage::{DataFolder, LogStore, ReplicaLog};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;
use tempfile::TempDir;

/// Folder that an earlier version wrote from [`entries`] and [`snapshot`].
const STORED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/forms/data-folder");
const CELL: &str = "main";
/// Number of commands that the snapshot covers; the log contains the others.
const SNAPSHOT_COMMANDS: u64 = 4;

fn name<T: FromStr<Err = NameError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn tenant() -> TenantName {
    TenantName::new("alfa").expect("a valid name")
}

fn put(change: &str, key: ResourceKey, spec: ResourceSpec) -> Command {
    let operation = ResourceOperation::Put { key, spec: Box::new(spec), expected: None };
    Command::Resource { change: ChangeId(change.to_owned()), operation }
}

fn group() -> Command {
    let member = |index: u16| MemberSpec {
        name: name(&format!("m{index}")),
        address: ([127, 0, 0, 1], 6_000 + index).into(),
        zone: name("amba.a"),
        draining: index == 2,
    };
    let spec = DatabaseGroupSpec {
        database: "calls".to_owned(),
        members: (0..3).map(member).collect(),
        slots: 5,
        connections: 15,
        queue_limit: 1_000,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    };
    put("change-1", ResourceKey::DatabaseGroup(name("calls")), ResourceSpec::DatabaseGroup(spec))
}

fn class() -> Command {
    let spec = PriorityClassSpec { priority: 7, guaranteed_percent: 20 };
    put("change-2", ResourceKey::PriorityClass(name("gold")), ResourceSpec::PriorityClass(spec))
}

fn binding() -> Command {
    let callers = CallerMatch { user: Some("desk".to_owned()), ..CallerMatch::default() };
    let spec = BindingSpec { callers, class: name("gold"), order: 3 };
    put("change-3", ResourceKey::Binding(name("desks")), ResourceSpec::Binding(spec))
}

fn deletion() -> Command {
    let key = ResourceKey::Binding(name("desks"));
    let operation = ResourceOperation::Delete { key, expected: Some(ResourceVersion(3)) };
    Command::Resource { change: ChangeId("change-4".to_owned()), operation }
}

fn registration() -> Command {
    Command::RegisterProxies(vec![ProxyRegistration {
        proxy: name("p-1"),
        incarnation: Incarnation(1 << 60),
        address: ([127, 0, 0, 1], 6_100).into(),
        zone: name("amba.a"),
    }])
}

fn document() -> Command {
    let route = RouteRule {
        name: "lookup".to_owned(),
        database: "calls".to_owned(),
        path_prefix: "/".to_owned(),
        consistency: Consistency::ReadYourWrites(Duration::from_secs(2)),
        statement_timeout: Duration::from_millis(1_500),
        latency_objective: Duration::from_millis(250),
        priority: 3,
        group: name("calls"),
        attempts: 2,
        public: false,
    };
    let rate = TenantRate { per_second: 15.0, burst: 25.0 };
    let rule = TenantRule { name: tenant(), keys: vec![ApiKey::new("key")], rate: Some(rate) };
    let service = ServiceRule { name: name("calls"), max_connections: 9, synchronous_replicas: 1 };
    let document = Document {
        version: 41,
        routes: vec![route],
        services: vec![service],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: Some(vec![rule]),
    };
    let stored = StoredDocument { document: document.into(), source: "the text as it came".into() };
    registry(RegistryCommand::PutDocument(stored))
}

fn registry(command: RegistryCommand) -> Command {
    Command::Registry(Box::new(command))
}

fn report(member: &str, port: u16, role: BackEndRole) -> Command {
    let back_end = RegisteredBackEnd {
        group: name("calls"),
        address: ([127, 0, 0, 1], port).into(),
        zone: name("amba.a"),
        capacity: 4,
        state: BackEndState::Ready,
        role,
    };
    let report = BackEndReport { back_end, sequence: 12, warmup: Duration::from_millis(400) };
    registry(RegistryCommand::Report { member: name(member), report })
}

fn failover(step: FailoverStep) -> Command {
    Command::Failover(vec![(name("calls"), step)])
}

/// Returns every kind of command at least once.
fn commands() -> Vec<Command> {
    let promote = RegistryCommand::Promote { group: name("calls"), target: name("b-2") };
    let ceilings =
        vec![CeilingChange::Raise(tenant(), 100), CeilingChange::Lower(tenant(), Some(40))];
    vec![
        group(),
        class(),
        binding(),
        registration(),
        failover(FailoverStep::Begin { term: Term(4) }),
        failover(FailoverStep::Complete { primary: name("m1"), term: Term(4) }),
        failover(FailoverStep::Adopt { primary: name("m0"), term: Term(6) }),
        Command::MembersLeaving(vec![(name("calls"), name("m1"), true)]),
        document(),
        report("b-1", 6_201, BackEndRole::Primary),
        report("b-2", 6_202, BackEndRole::Replica),
        registry(promote),
        registry(RegistryCommand::ChangeCeilings(ceilings)),
        registry(RegistryCommand::Leave { member: name("b-1") }),
        Command::ProxiesDraining(vec![(name("p-1"), Incarnation(1 << 60))]),
        Command::ProxiesDown(vec![(name("p-1"), Incarnation(1 << 60))]),
        deletion(),
    ]
}

fn cell() -> CellConfig {
    let member = CellMember { id: ReplicaId(1), address: ([127, 0, 0, 1], 7_001).into() };
    CellConfig { voters: vec![member], learners: Vec::new() }
}

fn state_after(count: u64) -> ControlState {
    let mut state = ControlState::default();
    for (revision, command) in (1..=count).zip(commands()) {
        state.apply(Revision(revision), command);
    }
    state
}

fn entries() -> Vec<Entry> {
    let payload = |command: &Command| Payload::Command(encode(command).expect("an encoding"));
    let entry = |(index, command)| Entry { term: Term(2), index, payload: payload(command) };
    let mut entries: Vec<Entry> = (1..).zip(&commands()).map(entry).collect();
    let next_index = entries.len() as u64 + 1;
    entries.push(Entry { term: Term(3), index: next_index, payload: Payload::Cell(cell()) });
    entries.push(Entry { term: Term(3), index: next_index + 1, payload: Payload::Empty });
    entries
}

fn snapshot() -> Snapshot {
    let data = encode(&state_after(SNAPSHOT_COMMANDS)).expect("an encoding");
    Snapshot { index: SNAPSHOT_COMMANDS, term: Term(2), cell: cell(), data }
}

fn hard_state() -> HardState {
    HardState { term: Term(3), vote: Some(ReplicaId(1)), commit: 19 }
}

/// Returns the files of a folder and of the folders below, by their relative paths. Lock files are empty and
/// left out.
fn files_below(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let mut files = BTreeMap::new();
    let mut pending_folders = vec![folder.to_owned()];
    while let Some(subfolder) = pending_folders.pop() {
        for entry in std::fs::read_dir(&subfolder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                pending_folders.push(path);
                continue;
            }
            let bytes = std::fs::read(&path).expect("a file");
            let relative_path = path.strip_prefix(folder).expect("below the folder").to_owned();
            if !bytes.is_empty() {
                files.insert(relative_path, bytes);
            }
        }
    }
    files
}

fn write_folder(path: &Path) {
    let folder = DataFolder::open(path).expect("a data folder");
    let (mut log, _) = ReplicaLog::open(&folder, CELL).expect("an empty log");
    log.persist(Some(hard_state()), &entries()).expect("written");
    log.compact(&snapshot()).expect("written");
}

#[test]
fn a_written_folder_has_the_bytes_of_earlier_versions() {
    let folder = TempDir::new().expect("a folder can be made");
    write_folder(folder.path());
    let written = files_below(folder.path());
    if std::env::var_os("UPDATE_EXPECT").is_some() {
        for (relative_path, bytes) in &written {
            let path = Path::new(STORED).join(relative_path);
            let parent = path.parent().expect("a file in a folder");
            std::fs::create_dir_all(parent).expect("a folder can be made");
            std::fs::write(path, bytes).expect("a file can be written");
        }
    }
    assert!(!written.is_empty());
    assert_eq!(written, files_below(Path::new(STORED)));
}

#[test]
fn a_folder_of_an_earlier_version_opens() {
    let copy = TempDir::new().expect("a folder can be made");
    for (relative_path, bytes) in files_below(Path::new(STORED)) {
        let path = copy.path().join(relative_path);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(path, bytes).expect("a file can be written");
    }
    let folder = DataFolder::open(copy.path()).expect("a data folder");
    let (_, stored) = ReplicaLog::open(&folder, CELL).expect("an old log opens");
    assert_eq!(stored.hard_state, hard_state());
    let stored_snapshot = stored.snapshot.expect("the snapshot");
    let mut state: ControlState = decode(&stored_snapshot.data).expect("a state");
    assert_eq!(state, state_after(SNAPSHOT_COMMANDS));
    assert_eq!((stored_snapshot.index, stored_snapshot.cell), (SNAPSHOT_COMMANDS, cell()));
    assert_eq!(stored.entries, entries()[SNAPSHOT_COMMANDS as usize..]);
    for entry in stored.entries {
        if let Payload::Command(bytes) = entry.payload {
            let command: Command = decode(&bytes).expect("a command");
            state.apply(Revision(entry.index), command);
        }
    }
    assert_eq!(state, state_after(commands().len() as u64));
}
