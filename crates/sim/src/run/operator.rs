//! Operators that race: each changes the same classes from the version it knows, and
//! sends a change without an answer again under the same id, to another machine.
//!
//! Owns the changes sent and not answered; relies on the version in each answer for the next change.

use super::control::MACHINES;
use super::event::{Address, Context, Packet};
use super::history::Note;
use super::member::MEMBERS;
use super::names::{class_key, class_spec, group_resource};
use corktack_core::resources::{ResourceKey, ResourceSpec, ResourceVersion};
use corktack_core::state::command::{ChangeId, Outcome, Refusal, ResourceOperation};
use corktack_core::time::Timestamp;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Operators.
pub(crate) const OPERATORS: u8 = 2;
const CLASSES: u8 = 2;
const PATIENCE: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(150);

/// One operator.
pub(crate) struct Operator {
    index: u8,
    changes: u32,
    versions: BTreeMap<ResourceKey, ResourceVersion>,
    open: Option<ChangeId>,
    sent: BTreeMap<ChangeId, ResourceOperation>,
    group_created: bool,
    due: Timestamp,
    /// Whether it begins nothing new.
    pub stopped: bool,
}

impl Operator {
    pub fn new(index: u8) -> Self {
        Self {
            index,
            changes: 0,
            versions: BTreeMap::new(),
            open: None,
            sent: BTreeMap::new(),
            group_created: index != 0,
            due: Timestamp::ZERO,
            stopped: false,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.open.is_none() && self.group_created
    }

    pub fn tick(&mut self, context: &mut Context<'_>) {
        if context.now < self.due {
            return;
        }
        if self.open.is_none() && !self.stopped {
            self.draw(context);
        }
        if let Some(change) = self.open.clone() {
            let Some(operation) = self.sent.get(&change).cloned() else { return };
            self.due = context.now + PATIENCE;
            let machine = context.random.random_range(0..MACHINES);
            context.send(Address::Control(machine), Packet::Operate { change, operation });
        }
    }

    fn draw(&mut self, context: &mut Context<'_>) {
        self.changes += 1;
        let change = ChangeId(format!("operator {} change {}", self.index, self.changes));
        let (key, spec) =
            if self.group_created { self.class(context) } else { group_resource(MEMBERS) };
        let expected = Some(self.versions.get(&key).copied().unwrap_or_default());
        let operation = ResourceOperation::Put { key, spec: Box::new(spec), expected };
        self.sent.insert(change.clone(), operation);
        self.open = Some(change);
    }

    /// A class with a priority that nobody else gives.
    fn class(&self, context: &mut Context<'_>) -> (ResourceKey, ResourceSpec) {
        let key = class_key(context.random.random_range(0..CLASSES));
        let priority = self.changes * u32::from(OPERATORS) + u32::from(self.index);
        (key, class_spec(priority))
    }

    pub fn handle(&mut self, context: &mut Context<'_>, packet: Packet) {
        let Packet::Operated { change, outcome } = packet else { return };
        let Some(operation) = self.sent.get(&change) else { return };
        if let Some(outcome) = &outcome {
            let (operation, outcome) = (operation.clone(), outcome.clone());
            context.notes.push(Note::Operated { change: change.clone(), operation, outcome });
        }
        let ResourceOperation::Put { key, .. } = operation else { return };
        if self.open.as_ref() != Some(&change) {
            return;
        }
        let key = key.clone();
        match outcome {
            Some(Outcome::Accepted { version, .. }) => {
                self.versions.insert(key, version);
                self.group_created = true;
            }
            Some(Outcome::Refused(Refusal::Conflict { stored })) => {
                self.versions.insert(key, stored);
            }
            // Not the leader, or the outcome is not known: send it again.
            None => {
                self.due = context.now + PAUSE;
                return;
            }
            Some(_) => {}
        }
        self.open = None;
        self.due = context.now + PAUSE;
    }
}
