//! Messages between gateways, the leader and its log, and their delays.

use super::{World, at_ms};
use corktack_core::limits::{AllowanceGrant, AllowanceReport, CeilingChange, LedgerAnswer};

/// Milliseconds that a message to or from the leader takes.
const MESSAGE_DELAY: u64 = 21;
/// Milliseconds until a change of a ceiling is committed to the log.
const COMMIT_DELAY: u64 = 45;
/// Milliseconds between two regular reports.
const REPORT_INTERVAL: u64 = 250;
/// Milliseconds between two urgent reports.
const REPORT_SPACING: u64 = 20;
pub enum Message {
    Report(AllowanceReport),
    Grant(AllowanceGrant),
    /// Changes of ceilings that have been committed to the log.
    CeilingsLogged(Vec<CeilingChange>),
}

impl World {
    pub fn deliver_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::Report(report) => self.answer(&report),
                Message::Grant(grant) => {
                    let now = at_ms(self.now);
                    self.counters.iter_mut().for_each(|counter| counter.apply_grant(now, &grant));
                }
                Message::CeilingsLogged(changes) => self.apply(changes),
            }
        }
    }

    fn apply(&mut self, changes: Vec<CeilingChange>) {
        let has_lowered = changes.iter().any(|change| matches!(change, CeilingChange::Lower(..)));
        for change in changes {
            change.apply(&mut self.terms.ceilings);
        }
        if has_lowered {
            self.ledger.confirm_lowered_ceilings();
        }
    }

    pub fn report(&mut self) {
        for counter in 0..self.counters.len() {
            let limits = &mut self.counters[counter];
            let spacing =
                if limits.is_urgent(at_ms(self.now)) { REPORT_SPACING } else { REPORT_INTERVAL };
            if self.now < self.reported_at[counter] + spacing {
                continue;
            }
            self.reported_at[counter] = self.now;
            if let Some(report) = limits.report(at_ms(self.now)) {
                self.send(Message::Report(report));
            }
        }
    }

    fn answer(&mut self, report: &AllowanceReport) {
        let answer = self.ledger.process_report(at_ms(self.now), report, &self.terms);
        self.send_answer(answer);
    }

    pub fn send_answer(&mut self, LedgerAnswer { grants, ceilings }: LedgerAnswer) {
        self.log_ceilings(ceilings);
        grants.into_iter().for_each(|grant| self.send(Message::Grant(grant)));
    }

    pub fn log_ceilings(&mut self, changes: Vec<CeilingChange>) {
        if !changes.is_empty() {
            self.send_after(COMMIT_DELAY, Message::CeilingsLogged(changes));
        }
    }

    fn send(&mut self, message: Message) {
        self.send_after(MESSAGE_DELAY, message);
    }

    fn send_after(&mut self, delay: u64, message: Message) {
        self.messages_sent += 1;
        self.messages.insert((self.now + delay, self.messages_sent), message);
    }
}
