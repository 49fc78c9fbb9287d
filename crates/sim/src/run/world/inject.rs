//! Brings faults about and ends them.
//!
//! Relies on the drawn rounds for when and what; aims faults on a role at whoever has it in that moment.

use super::{World, everyone};
use crate::run::control::Machine;
use crate::run::event::Address;
use crate::run::faults::{Fault, LEADER, PRIMARY};
use corktack_core::time::Timestamp;
use std::time::Duration;

impl World {
    pub(super) fn inject(&mut self, round: usize, place: usize) {
        let (_, fault) = self.rounds[round].faults[place].clone();
        let fault = self.aim(fault);
        let end = self.rounds[round].end;
        self.trace.push(format_args!("{} fault {fault:?}", self.now));
        self.faults.push(format!("{} ms to {} ms: {fault:?}", self.now / 1_000, end / 1_000));
        match fault {
            Fault::Partition(side) => self.cut(&side),
            Fault::CutPeers(machine) => {
                for other in (0..self.machines.len()).filter(|other| *other != usize::from(machine))
                {
                    let other = Address::Control(self.machines[other].index);
                    self.network.block(Address::Control(machine), other);
                    self.network.block(other, Address::Control(machine));
                }
            }
            Fault::Mute(one) => everyone().into_iter().for_each(|to| self.network.block(one, to)),
            Fault::Deaf(one) => {
                everyone().into_iter().for_each(|from| self.network.block(from, one));
            }
            Fault::OneWay(from, to) => self.network.block(from, to),
            Fault::Links(faults) => self.network.faults = faults,
            Fault::Crash(one) => self.crash(one),
            Fault::Restart(one) => self.restart(one),
            Fault::FullDisk(machine, operations) => {
                self.machines[usize::from(machine)].fill_disk_after(operations);
            }
            Fault::LoseDisk(machine) if self.may_lose_disk() => {
                self.machines[usize::from(machine)].lose_disk();
            }
            Fault::Replace(machine) if self.may_lose_disk() => {
                self.machines[usize::from(machine)].replace();
            }
            Fault::LoseDisk(_) | Fault::Replace(_) => {}
            Fault::LoseFolder(proxy) => {
                let proxy = &mut self.proxies[usize::from(proxy)];
                proxy.lose_folder();
                proxy.start();
            }
            Fault::Freeze(one) => {
                self.frozen.insert(one, end);
            }
            Fault::Lag(member) => {
                let local = self.local_time(Address::Member(member));
                let until = local + Duration::from_micros(end - self.now);
                self.members[usize::from(member)].lagging_until = until;
            }
        }
    }

    /// Puts the participant in place of its role.
    fn aim(&self, fault: Fault) -> Fault {
        match fault {
            Fault::Partition(side) => {
                Fault::Partition(side.into_iter().map(|one| self.resolve(one)).collect())
            }
            Fault::Mute(one) => Fault::Mute(self.resolve(one)),
            Fault::Deaf(one) => Fault::Deaf(self.resolve(one)),
            Fault::OneWay(from, to) => Fault::OneWay(self.resolve(from), to),
            Fault::Crash(one) => Fault::Crash(self.resolve(one)),
            Fault::Restart(one) => Fault::Restart(self.resolve(one)),
            Fault::Freeze(one) => Fault::Freeze(self.resolve(one)),
            fault => fault,
        }
    }

    fn resolve(&self, one: Address) -> Address {
        match one {
            LEADER => {
                let leader = self.machines.iter().find(|machine| machine.led_cell().is_some());
                Address::Control(leader.map_or(0, |machine| machine.index))
            }
            PRIMARY => {
                let serving = (0..).zip(&self.members).map(|(index, member)| {
                    let (serves, term, _) = member.committed();
                    (serves, term, index)
                });
                Address::Member(serving.max().map_or(0, |(.., index)| index))
            }
            one => one,
        }
    }

    fn cut(&mut self, side: &[Address]) {
        for one in everyone() {
            for inside in side.iter().filter(|_| !side.contains(&one)) {
                self.network.block(*inside, one);
                self.network.block(one, *inside);
            }
        }
    }

    fn crash(&mut self, one: Address) {
        match one {
            Address::Control(index) => {
                self.with(one, |world, context| {
                    world.machines[usize::from(index)].crash(context);
                });
            }
            Address::Proxy(index) => self.proxies[usize::from(index)].crash(),
            Address::Member(index) => self.members[usize::from(index)].crash(),
            Address::Client(_) | Address::Operator(_) => {}
        }
    }

    fn restart(&mut self, one: Address) {
        self.crash(one);
        match one {
            Address::Control(index) => self.start_machine(usize::from(index)),
            Address::Proxy(index) => self.proxies[usize::from(index)].start(),
            Address::Member(index) => self.members[usize::from(index)].running = true,
            Address::Client(_) | Address::Operator(_) => {}
        }
    }

    /// A second disk is lost only once the first is replaced: no cell of three survives
    /// two lost disks at once.
    fn may_lose_disk(&self) -> bool {
        let leaders = self.machines.iter().filter(|machine| {
            let followers = self.machines.iter().filter(|one| one.leader() == Some(machine.id));
            machine.led_cell().is_some() && followers.count() > self.machines.len() / 2
        });
        let voters = leaders.filter_map(|leader| leader.led_cell()).next();
        voters.is_some_and(|(cell, settled)| {
            settled && cell.voters.iter().all(|voter| self.is_current(voter.id))
        })
    }

    pub(super) fn end_round(&mut self, round: usize) {
        self.trace.push(format_args!("{} end of round {round}", self.now));
        self.network.heal();
        self.frozen.clear();
        for member in &mut self.members {
            member.lagging_until = Timestamp::ZERO;
            member.running = true;
        }
        for proxy in self.proxies.iter_mut().filter(|proxy| !proxy.running) {
            proxy.start();
        }
        self.machines.iter_mut().for_each(Machine::free_disk);
        self.start_machines();
    }

    /// Starts the control machines that do not run.
    pub(super) fn start_machines(&mut self) {
        for index in 0..self.machines.len() {
            if !self.machines[index].is_running() {
                self.start_machine(index);
            }
        }
    }

    fn start_machine(&mut self, index: usize) {
        let address = Address::Control(self.machines[index].index);
        self.with(address, |world, context| world.machines[index].start(context));
    }
}
