//! Performs the actions of the replicas and checks each of them.

use super::disk::decode_state;
use super::{Answer, Network};
use corktack_core::consensus::{Action, Entry, Event, HardState, Message, Payload, Role, Snapshot};
use rand::Rng;
use std::time::Duration;

impl Network {
    /// Feeds one event to a replica and performs the returned actions. A replica that is stalled gets the
    /// event later.
    pub fn handle(&mut self, id: u64, event: Event<Message>) {
        if let Some(event) = self.defer_while_stalled(id, event) {
            self.handle_all(id, vec![event]);
        }
    }

    /// Feeds events to a replica and performs the returned actions, after the time that their sync takes.
    pub fn handle_all(&mut self, id: u64, events: Vec<Event<Message>>) {
        let now = self.now;
        let Some(replica) = self.node(id).replica.as_mut() else { return };
        let actions = replica.handle_all(now, events);
        if let Some(actions) = self.defer_until_synced(id, actions) {
            self.perform_all(id, actions);
        }
    }

    /// Performs actions in order. With faults, the replica may crash before any of them; the remaining
    /// actions are then dropped.
    pub fn perform_all(&mut self, id: u64, actions: Vec<Action<Message>>) {
        for action in actions {
            if self.faults.crash > 0.0 && self.rng.random_bool(self.faults.crash) {
                self.crash(id);
                return;
            }
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: u64, action: Action<Message>) {
        match action {
            Action::Persist { hard_state, entries } => self.persist(id, hard_state, entries),
            Action::InstallSnapshot(snapshot) => self.install(id, snapshot),
            Action::Send { to, message } => self.send(id, to.0, message),
            Action::Apply(entries) => self.apply(id, entries),
            Action::Committed { request, index } => {
                self.answers.insert(request, Answer::Committed(index));
            }
            Action::ReadReady { request, index } => {
                let min_index = self.min_read_indexes[&request];
                assert!(
                    index >= min_index,
                    "stale read: index {index} after {min_index} was applied"
                );
                self.answers.insert(request, Answer::Read(index));
            }
            Action::Rejected { request, rejection } => {
                self.answers.insert(request, Answer::Rejected(rejection));
            }
            Action::RoleChanged { role: Role::Leader, term, .. } => {
                let disk = &self.nodes[&id].disk;
                self.oracle.check_leader(term, id, &disk.entries, disk.snapshot_index());
            }
            Action::RoleChanged { .. } => {}
        }
    }

    fn persist(&mut self, id: u64, hard_state: Option<HardState>, entries: Vec<Entry>) {
        let disk = &mut self.node(id).disk;
        if let Some(hard_state) = hard_state {
            assert!(hard_state.term >= disk.hard_state.term, "the term decreased");
            disk.hard_state = hard_state;
        }
        if let Some(first) = entries.first() {
            disk.entries.split_off(&first.index);
        }
        disk.entries.extend(entries.into_iter().map(|entry| (entry.index, entry)));
    }

    fn install(&mut self, id: u64, snapshot: Snapshot) {
        let state = decode_state(&snapshot);
        let expected: Vec<_> =
            self.oracle.committed_up_to(snapshot.index).filter_map(command).collect();
        assert_eq!(state, expected, "the snapshot differs from the committed entries");
        let node = self.node(id);
        node.disk.entries.clear();
        node.disk.snapshot = Some(snapshot);
        node.state = state;
    }

    fn apply(&mut self, id: u64, entries: Vec<Entry>) {
        for entry in entries {
            self.oracle.check_applied(id, &entry);
            let disk = &self.nodes[&id].disk;
            assert_eq!(disk.entries.get(&entry.index), Some(&entry), "applied before synced");
            self.node(id).state.extend(command(&entry));
        }
    }

    fn send(&mut self, from: u64, to: u64, message: Message) {
        self.nodes[&from].disk.check_synced_before_send(&message, to);
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let longest_delay = self.faults.longest_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.random_range(500..=longest_delay));
            self.next_sequence += 1;
            let key = (self.now + delay, self.next_sequence);
            self.in_flight.insert(key, (from, to, message.clone()));
        }
    }
}

fn command(entry: &Entry) -> Option<(u64, Vec<u8>)> {
    match &entry.payload {
        Payload::Command(command) => Some((entry.index, command.clone())),
        Payload::Empty | Payload::Cell(_) => None,
    }
}
