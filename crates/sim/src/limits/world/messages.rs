//! Messages between gateways, replicas and leaders: how they are lost and late, and what they bring about.
//!
//! Owns what a message does where it arrives; the order and number of draws are part of a seed's meaning.
//! Relies on the gateways and leaders for the core's books.

use super::{MILLISECOND, SECOND, World};
use corktack_core::identity::Incarnation;
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, CeilingChange, GatewayIncarnation, LedgerAnswer,
};
use corktack_core::position::Term;
use rand::Rng;

/// Time between two regular reports of a gateway.
const REPORT_INTERVAL: u64 = 250 * MILLISECOND;

pub(super) enum Message {
    Report(AllowanceReport),
    Grant(AllowanceGrant),
    /// A replica tells a gateway who leads.
    Led {
        gateway: usize,
        incarnation: Incarnation,
        term: Term,
    },
    /// A leader's changes reach a majority, if it still leads.
    Commit {
        term: Term,
        changes: Vec<CeilingChange>,
    },
    /// A gateway's new incarnation is committed.
    Register(GatewayIncarnation),
}

impl World {
    /// Replicas tell gateways who leads, some of them late.
    pub(super) fn tell_leader(&mut self) {
        let Some(term) = self.leaders.last().map(|(leader, _)| leader.term) else { return };
        for gateway in 0..self.gateways.len() {
            let incarnation = self.gateways[gateway].incarnation;
            self.send(Message::Led { gateway, incarnation, term });
        }
    }

    fn send(&mut self, message: Message) {
        if self.draws.random_bool(0.05) {
            self.counts.lost += 1;
            return;
        }
        self.send_surely(message);
    }

    pub(super) fn send_surely(&mut self, message: Message) {
        let delay = match self.draws.random_range(0..20) {
            0 => self.draws.random_range(SECOND..8 * SECOND),
            1..=3 => self.draws.random_range(100 * MILLISECOND..SECOND),
            _ => self.draws.random_range(MILLISECOND..50 * MILLISECOND),
        };
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    pub(super) fn report(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        let is_urgent = gateway.limits.is_urgent(gateway.clock.at(self.now));
        if self.now < self.reports_due[number] && !is_urgent {
            return;
        }
        self.reports_due[number] = self.now + REPORT_INTERVAL;
        if let Some(report) = gateway.report(self.now, self.variant)
            && self.now >= self.cut_until[number]
        {
            self.send(Message::Report(report));
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(report) => self.deliver_report(&report),
            Message::Grant(grant) => {
                let gateway = self.gateways.iter_mut().find(|it| it.name == grant.gateway);
                if let Some(gateway) = gateway {
                    gateway.take(self.now, grant, self.variant);
                }
            }
            Message::Led { gateway, incarnation, term } => {
                let gateway = &mut self.gateways[gateway];
                if gateway.incarnation == incarnation {
                    gateway.learn_leader(self.now, term);
                }
            }
            Message::Commit { term, changes } => self.commit(term, changes),
            Message::Register(started) => self.register(&started),
        }
    }

    /// A replica passes a report on to whoever it takes for the leader.
    fn deliver_report(&mut self, report: &AllowanceReport) {
        if self.leaders.is_empty() {
            return;
        }
        let place = self.draws.random_range(0..self.leaders.len());
        let (leader, _) = &mut self.leaders[place];
        let answer = leader.take(self.now, report, self.variant);
        self.carry_out(place, answer);
    }

    fn carry_out(&mut self, place: usize, LedgerAnswer { grants, ceilings }: LedgerAnswer) {
        let (leader, _) = &mut self.leaders[place];
        let term = leader.term;
        let proposes = !ceilings.is_empty() && !leader.changing;
        leader.changing |= proposes;
        grants.into_iter().for_each(|grant| self.send_grant(grant));
        if proposes {
            self.send_surely(Message::Commit { term, changes: ceilings });
        }
    }

    /// Leaders evaluate from time to time whether they can give more.
    pub(super) fn offer_again(&mut self) {
        for place in 0..self.leaders.len() {
            if self.draws.random_bool(0.2) {
                let answer = self.leaders[place].0.offer_again(self.now, self.variant);
                self.carry_out(place, answer);
            }
        }
    }

    /// What is under way to a gateway when it is cut off still arrives.
    fn send_grant(&mut self, grant: AllowanceGrant) {
        let number = self.gateways.iter().position(|it| it.name == grant.gateway);
        if number.is_some_and(|number| self.now < self.cut_until[number]) {
            self.counts.lost += 1;
        } else {
            self.send(Message::Grant(grant));
        }
    }

    /// Only the newest leader's entries are committed.
    fn commit(&mut self, term: Term, changes: Vec<CeilingChange>) {
        if self.leaders.last().is_none_or(|(leader, _)| leader.term != term) {
            return;
        }
        for change in changes {
            self.committed.change(change);
        }
        self.apply();
        if let Some((leader, _)) = self.leaders.last_mut() {
            leader.changes_applied();
        }
    }

    pub(super) fn apply(&mut self) {
        if let Some((leader, _)) = self.leaders.last_mut() {
            leader.apply(self.now, &self.committed);
        }
    }

    fn register(&mut self, started: &GatewayIncarnation) {
        let mut running = self.gateways.iter().filter(|it| it.name == started.gateway);
        // A registration of an incarnation that is over comes too late.
        if running.any(|it| it.incarnation == started.incarnation) {
            self.committed.register(started);
            self.apply();
        }
    }

    pub(super) fn lower_ceilings(&mut self) {
        let Some((leader, _)) = self.leaders.last_mut() else { return };
        if leader.changing {
            return;
        }
        let changes = leader.lower(self.now);
        if !changes.is_empty() {
            leader.changing = true;
            let term = leader.term;
            self.send_surely(Message::Commit { term, changes });
        }
    }
}
