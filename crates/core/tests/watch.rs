//! Deltas for watching proxies and events for watching operators.

mod support;

use corktack_core::position::Term;
use corktack_core::resources::{CallerMatch, Kind, ResourceKey};
use corktack_core::state::command::{Command, FailoverStep};
use corktack_core::view::{Delta, Revision, View};
use corktack_core::watch::{DeltaLog, EventKind, OperatorEvents, TooOld, WatchCursor, WatchStep};
use proptest::prelude::*;
use support::*;

const GROUPS: [&str; 4] = ["g0", "g1", "g2", "g3"];

/// Returns a command of a random history; the objects that it names need not exist.
fn command() -> impl Strategy<Value = Command> {
    let group = || (0..GROUPS.len()).prop_map(|number| GROUPS[number]);
    let proxy = || (0..8_usize).prop_map(|number| format!("p{number}"));
    let leaving = |(group, member, leaving): (&str, u8, bool)| {
        Command::MembersLeaving(vec![(name(group), name(&format!("m{member}")), leaving)])
    };
    let failover = |(group, member, term, kind): (&str, u8, u64, u8)| {
        let primary = name(&format!("m{member}"));
        let term = Term(term);
        let step = match kind {
            0 => FailoverStep::Begin { term },
            1 => FailoverStep::Complete { primary, term },
            _ => FailoverStep::Adopt { primary, term },
        };
        Command::Failover(vec![(name(group), step)])
    };
    let put = |(id, group, members): (u32, &str, u16)| {
        Cell::new().put_command(&format!("put {id}"), group, members, None)
    };
    let delete = |(id, group): (u32, &str)| delete_command(&format!("delete {id}"), group, None);
    let register = |(proxy, incarnation, zone): (String, u64, usize)| {
        Command::RegisterProxies(vec![registration(&proxy, incarnation, ZONES[zone])])
    };
    prop_oneof![
        4 => (any::<u32>(), group(), 1..5_u16).prop_map(put),
        1 => (any::<u32>(), group()).prop_map(delete),
        3 => (proxy(), 1..3_u64, 0..ZONES.len()).prop_map(register),
        2 => (proxy(), 1..3_u64).prop_map(|proxy| {
            Command::ProxiesDown(vec![incarnation_of(&proxy.0, proxy.1)])
        }),
        1 => (proxy(), 1..3_u64).prop_map(|proxy| {
            Command::ProxiesDraining(vec![incarnation_of(&proxy.0, proxy.1)])
        }),
        4 => (group(), 0..5_u8, 1..6_u64, 0..3_u8).prop_map(failover),
        1 => (group(), 0..5_u8, any::<bool>()).prop_map(leaving),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn deltas_from_any_revision_lead_to_the_view(
        history in prop::collection::vec(command(), 1..60),
    ) {
        let mut cell = Cell::new();
        let mut log = DeltaLog::new(Revision(0));
        let mut views = vec![cell.state.view()];
        for command in history {
            let changes = cell.apply(command).changes;
            log.push(Revision(cell.last), changes);
            views.push(cell.state.view());
        }
        let last = cell.state.view();
        prop_assert_eq!(log.head(), last.revision);
        for mut view in views {
            for delta in log.since(view.revision).expect("nothing was dropped") {
                view.apply(Delta::clone(delta)).expect("newer");
            }
            prop_assert_eq!(&view, &last);
        }
    }

    #[test]
    fn a_restored_state_applies_commands_identically(
        history in prop::collection::vec(command(), 2..40),
    ) {
        let mut cell = Cell::new();
        let middle = history.len() / 2;
        let mut restored = Cell::new();
        for (index, command) in history.into_iter().enumerate() {
            if index == middle {
                restored = Cell { state: decode(&encode(&cell.state)), last: cell.last };
            }
            let applied = cell.apply(command.clone());
            if index >= middle {
                prop_assert_eq!(restored.apply(command), applied);
            }
        }
        prop_assert_eq!(encode(&restored.state), encode(&cell.state));
    }
}

#[test]
fn a_watcher_catches_up_by_deltas_or_by_a_snapshot() {
    let mut cell = Cell::new();
    let mut log = DeltaLog::with_limit(Revision(0), 500);
    let mut watcher = (View::default(), WatchCursor::new(Revision(0)));
    for number in 0..600 {
        let command = cell.put_command(&number.to_string(), "calls", 1 + number % 2, None);
        let changes = cell.apply(command).changes;
        log.push(Revision(cell.last), changes);
        if number == 99 {
            catch_up(&cell, &log, &mut watcher);
        }
    }
    assert!(matches!(log.since(Revision(99)), Err(TooOld { floor: Revision(100), .. })));
    assert_eq!(catch_up(&cell, &log, &mut watcher), 0, "the log holds 500 deltas");
    assert_eq!(catch_up(&cell, &log, &mut (View::default(), WatchCursor::new(Revision(0)))), 1);
}

/// Deltas from the start would put every old configuration in force in turn, on a proxy
/// that may have had a newer configuration before it lost its data folder.
#[test]
fn a_watcher_with_nothing_in_force_is_sent_the_whole_view() {
    let mut cell = Cell::new();
    let mut log = DeltaLog::new(Revision(0));
    let mut cursor = WatchCursor::new(Revision(0));
    assert_eq!(cursor.advance(&log), WatchStep::UpToDate, "there is nothing to send");
    for group in ["a", "b", "c"] {
        let command = cell.put_command(group, group, 3, None);
        let changes = cell.apply(command).changes;
        log.push(Revision(cell.last), changes);
    }
    assert_eq!(cursor.advance(&log), WatchStep::Snapshot);
    cursor.snapshot_sent(Revision(cell.last));
    assert_eq!(cursor.advance(&log), WatchStep::UpToDate);
}

/// Sends a watcher everything until it is up to date; returns the number of snapshots sent.
fn catch_up(cell: &Cell, log: &DeltaLog, watcher: &mut (View, WatchCursor)) -> usize {
    let mut snapshots = 0;
    let (view, cursor) = watcher;
    loop {
        match cursor.advance(log) {
            WatchStep::UpToDate => break,
            WatchStep::Deltas(deltas) => {
                let mut deltas = deltas.iter();
                deltas.try_for_each(|delta| view.apply(Delta::clone(delta))).expect("newer");
            }
            WatchStep::Snapshot => {
                snapshots += 1;
                view.replace(cell.state.view()).expect("newer");
                cursor.snapshot_sent(view.revision);
            }
        }
    }
    assert_eq!(*view, cell.state.view());
    snapshots
}

#[test]
fn a_watcher_ahead_of_the_replica_is_sent_no_old_deltas() {
    let mut cell = Cell::new();
    let mut log = DeltaLog::new(Revision(0));
    let mut cursor = WatchCursor::new(Revision(2));
    let mut sent = Vec::new();
    for group in ["a", "b", "c"] {
        let command = cell.put_command(group, group, 3, None);
        let changes = cell.apply(command).changes;
        log.push(Revision(cell.last), changes);
        if let WatchStep::Deltas(deltas) = cursor.advance(&log) {
            sent.extend(deltas.iter().map(|delta| delta.revision));
        }
    }
    assert_eq!(sent, [Revision(3)]);
}

#[test]
fn operators_are_sent_the_events_of_each_resource() {
    let mut cell = Cell::new();
    let mut events = OperatorEvents::with_limit(Revision(0), 4);
    let mut apply = |cell: &mut Cell, command| {
        cell.last += 1;
        events.apply(&mut cell.state, Revision(cell.last), command);
    };
    let put = cell.put_command("1", "calls", 3, None);
    apply(&mut cell, put);
    let change = cell.put_command("2", "calls", 5, None);
    apply(&mut cell, change);
    let adopt = FailoverStep::Adopt { primary: name("m1"), term: Term(3) };
    apply(&mut cell, Command::Failover(vec![(name("calls"), adopt)]));
    apply(&mut cell, delete_command("3", "calls", None));

    let all: Vec<_> = events.since(Revision(0), Kind::DatabaseGroup).expect("held").collect();
    let kinds: Vec<_> = all.iter().map(|event| (event.revision.0, event.kind)).collect();
    let expected = [EventKind::Added, EventKind::Modified, EventKind::Modified, EventKind::Deleted];
    assert_eq!(kinds, (1..=4).zip(expected).collect::<Vec<_>>());
    assert_eq!(all[2].group.as_ref().and_then(|group| group.primary.clone()), Some(name("m1")));
    assert_eq!(all[3].resource.generation, 2, "a deleted resource is reported as last stored");
    assert_eq!(events.since(Revision(0), Kind::Binding).expect("held").count(), 0);

    cell.put_class("gold", 1, 0).expect("accepted");
    cell.put_binding("desk", "gold", CallerMatch::default()).expect("accepted");
    let put = cell.put_command("4", "calls", 3, None);
    cell.last += 1;
    events.apply(&mut cell.state, Revision(cell.last), put);
    assert!(events.since(Revision(0), Kind::DatabaseGroup).is_err(), "the watcher must list again");
    assert!(cell.state.get(&ResourceKey::Binding(name("desk"))).is_some());
}
