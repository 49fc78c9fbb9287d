//! Small specifications of the core protocols, explored exhaustively.
//!
//! A [`Specification`] is a transition system with invariants. [`explore`] walks
//! every state within its bounds in breadth-first order, so the counterexample
//! it returns is among the shortest.

pub mod cell;
pub mod group;
pub mod log;
pub mod scenario;

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};

/// A transition system with invariants.
pub trait Specification {
    /// State of the whole system.
    type State: Clone + Eq + Hash;
    /// One transition.
    type Step: fmt::Display;
    /// Name of an invariant.
    type Invariant: fmt::Debug + Copy + Eq;

    /// The state every run starts from.
    fn initial(&self) -> Self::State;

    /// Every transition out of a state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// The invariant that a state violates.
    fn violated(&self, state: &Self::State) -> Option<Self::Invariant>;
}

/// A shortest run that ends in a violated invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<Invariant> {
    /// The invariant.
    pub invariant: Invariant,
    /// The transitions, as text.
    pub steps: Vec<String>,
}

/// What an exhaustive exploration found.
#[derive(Clone, Debug)]
pub struct Exploration<Invariant> {
    /// States whose transitions were followed.
    pub states: usize,
    /// Transitions from the first state to the farthest one.
    pub depth: u16,
    /// Transitions followed, those that lead to known states included.
    pub transitions: usize,
    /// A shortest violation.
    pub counterexample: Option<Counterexample<Invariant>>,
}

impl<Invariant: fmt::Debug> fmt::Display for Exploration<Invariant> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { states, transitions, depth, .. } = self;
        writeln!(formatter, "{states} states, {transitions} transitions, depth {depth}")?;
        let Some(counterexample) = &self.counterexample else {
            return write!(formatter, "every invariant holds");
        };
        write!(formatter, "{:?} is violated after", counterexample.invariant)?;
        for (number, step) in counterexample.steps.iter().enumerate() {
            write!(formatter, "\n  {:>2}. {step}", number + 1)?;
        }
        Ok(())
    }
}

/// A state and the length of a shortest run to it. The length is no part of what makes
/// two states equal.
#[derive(Clone)]
struct Reached<S> {
    state: S,
    depth: u16,
}

impl<S: PartialEq> PartialEq for Reached<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Reached<S> {}

impl<S: Hash> Hash for Reached<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Walks every reachable state until an invariant is violated.
pub fn explore<S: Specification>(specification: &S) -> Exploration<S::Invariant> {
    let states = Cell::new(0);
    let transitions = Cell::new(0);
    let deepest = Cell::new(0);
    let successors = |from: &Reached<S::State>| {
        let next = specification.steps(&from.state);
        states.set(states.get() + 1);
        transitions.set(transitions.get() + next.len());
        deepest.set(from.depth.max(deepest.get()));
        let depth = from.depth + 1;
        next.into_iter().map(move |(_, state)| Reached { state, depth })
    };
    let success = |found: &Reached<S::State>| specification.violated(&found.state).is_some();
    let first = Reached { state: specification.initial(), depth: 0 };
    let path = pathfinding::prelude::bfs(&first, successors, success);
    Exploration {
        states: states.get(),
        depth: deepest.get(),
        transitions: transitions.get(),
        counterexample: path.and_then(|path| describe(specification, &path)),
    }
}

fn describe<S: Specification>(
    specification: &S,
    path: &[Reached<S::State>],
) -> Option<Counterexample<S::Invariant>> {
    let invariant = specification.violated(&path.last()?.state)?;
    let label = |pair: &[Reached<S::State>]| {
        let mut steps = specification.steps(&pair[0].state).into_iter();
        steps.find(|(_, next)| *next == pair[1].state).map(|(step, _)| step.to_string())
    };
    let steps = path.windows(2).filter_map(label).collect();
    Some(Counterexample { invariant, steps })
}
