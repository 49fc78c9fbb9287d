//! Links between participants, and what they do to packets.
//!
//! Owns the cuts and the loss, duplication and delay that hold for all links at a time; draws come from the
//! run's one generator.

use super::event::{Address, Packet};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Shortest delay of a packet, in microseconds.
const SHORTEST_DELAY: u64 = 300;

/// What every link does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkFaults {
    pub loss: f64,
    pub duplication: f64,
    /// Longest delay in microseconds; packets overtake each other within it.
    pub longest_delay: u64,
}

impl LinkFaults {
    pub const CALM: Self = Self { loss: 0.0, duplication: 0.0, longest_delay: 3_000 };
}

/// The links.
pub(crate) struct Network {
    pub faults: LinkFaults,
    blocked: BTreeSet<(Address, Address)>,
}

impl Network {
    pub fn new() -> Self {
        Self { faults: LinkFaults::CALM, blocked: BTreeSet::new() }
    }

    /// Cuts one direction of one link.
    pub fn block(&mut self, from: Address, to: Address) {
        self.blocked.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.faults = LinkFaults::CALM;
    }

    pub fn is_blocked(&self, from: Address, to: Address) -> bool {
        self.blocked.contains(&(from, to))
    }

    /// Delays of the copies of a packet that arrive. A caller's write is a stream of one
    /// connection, which may break but never repeats it.
    pub fn delays(&self, random: &mut ChaCha8Rng, packet: &Packet) -> Vec<u64> {
        let once = matches!(packet, Packet::Write { .. } | Packet::ClientWrite { .. });
        let duplication = if once { 0.0 } else { self.faults.duplication };
        let copies = 1 + usize::from(random.random_bool(duplication));
        let longest = self.faults.longest_delay;
        let mut delays = Vec::new();
        for _ in 0..copies {
            if !random.random_bool(self.faults.loss) {
                delays.push(random.random_range(SHORTEST_DELAY..=longest));
            }
        }
        delays
    }
}
