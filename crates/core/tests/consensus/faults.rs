//! Random faults with fixed seeds. The network's oracle checks the safety properties at every step.

use super::network::{Answer, ELECTION_TIMEOUT, Faults, HEARTBEAT_INTERVAL, Network, member};
use corktack_core::consensus::{CellChange, Event};
use corktack_core::identity::ReplicaId;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

const ROUNDS: u32 = 120;
const SEEDS_PER_CASE: u64 = 12;

const LOSSY: Faults =
    Faults { loss: 0.1, duplication: 0.1, longest_delay: Duration::from_millis(30), crash: 0.0 };
const CRASHING: Faults = Faults { crash: 0.002, ..LOSSY };

/// Injects one random fault or sends one random request, then restarts some crashed replicas.
fn inject_fault_or_request(network: &mut Network, round: u32) {
    let ids: Vec<u64> = network.nodes.keys().copied().collect();
    let id = ids[network.rng.random_range(0..ids.len())];
    match network.rng.random_range(0..14) {
        0 => network.isolate(&[id]),
        1 => network.block(id, ids[0]),
        2 | 3 => network.heal(),
        4 => network.crash(id),
        5 => network.compact(id),
        6 => network.handle(id, Event::TransferLeadership),
        7 | 8 => {
            network.read(id);
        }
        _ => {
            let target = network.leader().unwrap_or(id);
            network.propose(target, &round.to_be_bytes());
        }
    }
    restart_crashed_at_random(network);
}

fn restart_crashed_at_random(network: &mut Network) {
    let ids: Vec<u64> = network.nodes.keys().copied().collect();
    for id in ids {
        if network.nodes[&id].replica.is_none() && network.rng.random_bool(0.3) {
            network.restart(id);
        }
    }
}

/// Proposes one random cell change to the leader, if there is one.
fn propose_random_change(network: &mut Network) {
    let Some(leader) = network.leader() else { return };
    let id = network.rng.random_range(1..=7);
    if !network.nodes.contains_key(&id) {
        network.add(id, None);
    }
    let change = match network.rng.random_range(0..3) {
        0 => CellChange::AddLearner(member(id)),
        1 => CellChange::Promote(ReplicaId(id)),
        _ => CellChange::Remove(ReplicaId(id)),
    };
    network.propose_cell(leader, change);
}

/// Guards against a cell that cannot elect a leader: a leader removes itself and fails before another voter
/// has the entry of that change. No other voter can win against its longer log, so it must start an election
/// although its own cell no longer contains it.
#[rstest]
fn a_leader_that_removed_itself_may_still_be_needed(
    #[values(113, 246, 294, 510, 7, 11)] seed: u64,
) {
    run_with_faults(3, seed, LOSSY, true);
}

/// Ends all faults, then expects the cell to commit and converge again.
fn recover(network: &mut Network) {
    network.faults = Faults::NONE;
    network.heal();
    let ids: Vec<u64> = network.nodes.keys().copied().collect();
    for id in ids {
        if network.nodes[&id].replica.is_none() {
            network.restart(id);
        }
    }
    network.run_for(ELECTION_TIMEOUT * 10);
    network.commit(b"after all faults");
    network.expect_convergence();
}

fn run_with_faults(voters: u64, seed: u64, faults: Faults, with_changes: bool) -> Network {
    let mut network = Network::start(voters, seed);
    network.expect_leader();
    network.faults = faults;
    for round in 0..ROUNDS {
        inject_fault_or_request(&mut network, round);
        if with_changes && round % 5 == 0 {
            propose_random_change(&mut network);
        }
        let pause = network.rng.random_range(1..=HEARTBEAT_INTERVAL.as_millis() as u64 * 3);
        network.run_for(Duration::from_millis(pause));
    }
    recover(&mut network);
    network
}

#[rstest]
#[case::lossy_three(3, LOSSY, false)]
#[case::lossy_five(5, LOSSY, false)]
#[case::crashing_three(3, CRASHING, false)]
#[case::crashing_five(5, CRASHING, false)]
#[case::changing_three(3, LOSSY, true)]
#[case::changing_and_crashing(5, CRASHING, true)]
fn nothing_committed_is_lost(
    #[case] voters: u64,
    #[case] faults: Faults,
    #[case] with_changes: bool,
    #[values(0, 1, 2, 3)] seed_block: u64,
) {
    let (mut committed, mut read) = (0, 0);
    for seed in seed_block * SEEDS_PER_CASE..(seed_block + 1) * SEEDS_PER_CASE {
        let network = run_with_faults(voters, seed, faults, with_changes);
        let answers = network.answers.values();
        committed +=
            answers.clone().filter(|answer| matches!(answer, Answer::Committed(_))).count();
        read += answers.filter(|answer| matches!(answer, Answer::Read(_))).count();
    }
    // The runs prove something only if requests succeed between the faults.
    assert!(committed > 100 && read > 20, "{committed} commits, {read} reads");
}
