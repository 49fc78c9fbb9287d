//! Times in which a replica receives nothing: during a slow sync, or while its process doesn't run.

use super::Network;
use corktack_core::consensus::{Action, Event, Message};
use corktack_core::time::Timestamp;
use std::time::Duration;

/// Time from the end of a pause until the replica's process has read the messages that arrived meanwhile.
const READ_TIME: Duration = Duration::from_millis(1);

/// A time in which a replica receives nothing.
pub struct Stall {
    since: Timestamp,
    until: Timestamp,
    /// Whether the whole process does not run, so that it has not read the messages that arrived meanwhile.
    pauses_process: bool,
    /// What the replica does at the end of the stall.
    actions: Vec<Action<Message>>,
    /// What arrived meanwhile.
    events: Vec<Event<Message>>,
}

impl Network {
    /// Lets a replica receive nothing for a time, as if its process did not run.
    pub fn pause(&mut self, id: u64, duration: Duration) {
        self.begin_stall(id, duration, true, Vec::new());
    }

    /// Reports whether a replica is stalled.
    pub fn is_stalled(&self, id: u64) -> bool {
        self.nodes[&id].stall.is_some()
    }

    fn begin_stall(
        &mut self,
        id: u64,
        duration: Duration,
        pauses_process: bool,
        actions: Vec<Action<Message>>,
    ) {
        let since = self.now;
        let until = since + duration;
        let events = Vec::new();
        self.node(id).stall = Some(Stall { since, until, pauses_process, actions, events });
    }

    /// Keeps the event of a stalled replica until the end of the stall; returns it if there is none.
    pub(super) fn defer_while_stalled(
        &mut self,
        id: u64,
        event: Event<Message>,
    ) -> Option<Event<Message>> {
        match &mut self.node(id).stall {
            Some(stall) => {
                stall.events.push(event);
                None
            }
            None => Some(event),
        }
    }

    /// Keeps the actions until their sync has ended; returns them if they need no sync or it takes no time.
    pub(super) fn defer_until_synced(
        &mut self,
        id: u64,
        actions: Vec<Action<Message>>,
    ) -> Option<Vec<Action<Message>>> {
        let syncs = |action: &Action<Message>| {
            matches!(action, Action::Persist { .. } | Action::InstallSnapshot(_))
        };
        let sync_time = self.node(id).sync_time;
        if sync_time.is_zero() || !actions.iter().any(syncs) {
            return Some(actions);
        }
        self.begin_stall(id, sync_time, false, actions);
        None
    }

    /// Returns when a replica next needs [`Network::fire_timer`].
    pub(super) fn next_timer(&self, id: u64) -> Timestamp {
        match &self.nodes[&id].stall {
            Some(stall) => stall.until,
            None => self.replica(id).next_deadline(),
        }
    }

    /// Ends the stall of a replica, or ticks it.
    pub(super) fn fire_timer(&mut self, id: u64) {
        let Some(stall) = self.node(id).stall.take() else {
            self.handle_all(id, vec![Event::Tick]);
            return;
        };
        self.perform_all(id, stall.actions);
        if self.nodes[&id].replica.is_none() {
            return;
        }
        let mut events = vec![Event::Stalled { duration: stall.until - stall.since }];
        if stall.pauses_process {
            self.deliver_again(id, stall.events);
        } else {
            events.extend(stall.events);
        }
        if self.now >= self.replica(id).next_deadline() {
            events.push(Event::Tick);
        }
        self.handle_all(id, events);
    }

    fn deliver_again(&mut self, to: u64, events: Vec<Event<Message>>) {
        for event in events {
            let Event::Message { from, message } = event else { continue };
            self.next_sequence += 1;
            let key = (self.now + READ_TIME, self.next_sequence);
            self.in_flight.insert(key, (from.0, to, message));
        }
    }
}
