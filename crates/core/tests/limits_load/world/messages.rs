//! Messages between gateways, the leader and its log, and how long they take.

use super::{World, at};
use corktack_core::limits::{AllowanceGrant, AllowanceReport, CeilingChange, LedgerAnswer};

/// Milliseconds: on the way to the leader, until a ceiling is in the log, between regular and between urgent
/// reports.
const WAY: u64 = 21;
const COMMIT: u64 = 45;
const REPORT_INTERVAL: u64 = 250;
const REPORT_SPACING: u64 = 20;
pub enum Message {
    Report(AllowanceReport),
    Grant(AllowanceGrant),
    /// Changes of ceilings are in the log.
    Logged(Vec<CeilingChange>),
}

impl World {
    pub fn take_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::Report(report) => self.answer(&report),
                Message::Grant(grant) => {
                    let now = at(self.now);
                    self.counters.iter_mut().for_each(|counter| counter.take(now, &grant));
                }
                Message::Logged(changes) => self.apply(changes),
            }
        }
    }

    fn apply(&mut self, changes: Vec<CeilingChange>) {
        let has_lowered = changes.iter().any(|change| matches!(change, CeilingChange::Lower(..)));
        for change in changes {
            change.apply(&mut self.terms.ceilings);
        }
        if has_lowered {
            self.ledger.lowered();
        }
    }

    pub fn report(&mut self) {
        for counter in 0..self.counters.len() {
            let limits = &mut self.counters[counter];
            let spacing =
                if limits.is_urgent(at(self.now)) { REPORT_SPACING } else { REPORT_INTERVAL };
            if self.now < self.reported_at[counter] + spacing {
                continue;
            }
            self.reported_at[counter] = self.now;
            if let Some(report) = limits.report(at(self.now)) {
                self.send(Message::Report(report));
            }
        }
    }

    fn answer(&mut self, report: &AllowanceReport) {
        let answer = self.ledger.take_report(at(self.now), report, &self.terms);
        self.send_answer(answer);
    }

    pub fn send_answer(&mut self, LedgerAnswer { grants, ceilings }: LedgerAnswer) {
        self.log(ceilings);
        grants.into_iter().for_each(|grant| self.send(Message::Grant(grant)));
    }

    pub fn log(&mut self, changes: Vec<CeilingChange>) {
        if !changes.is_empty() {
            self.send_after(COMMIT, Message::Logged(changes));
        }
    }

    fn send(&mut self, message: Message) {
        self.send_after(WAY, message);
    }

    fn send_after(&mut self, delay: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }
}
