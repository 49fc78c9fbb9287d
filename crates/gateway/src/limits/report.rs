//! Reports the allowances that this gateway holds and needs to the leader, and applies those that the leader
//! grants.
//!
//! This module decides when a report is sent; control forwards it to the current leader through the
//! [`LimitsLink`].

use super::Limits;
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time between two regular reports to the leader. A shorter one costs messages; a longer one makes the
/// leader's information older.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two reports, in which urgent requests are batched. A shorter one costs messages; a
/// longer one makes operations wait for the leader.
const REPORT_SPACING: Duration = Duration::from_millis(20);

/// Update on limits from control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitUpdate {
    /// A leader of this term was elected, or reported by another replica.
    LeaderElected(Term),
    /// The leader grants allowances.
    Granted(AllowanceGrant),
}

/// Channels between a gateway and control for limits.
#[derive(Debug)]
pub struct LimitsLink {
    /// Reports to the leader.
    pub reports: mpsc::UnboundedSender<AllowanceReport>,
    /// Updates from control.
    pub updates: mpsc::UnboundedReceiver<LimitUpdate>,
}

impl Limits {
    fn apply_update(&self, update: LimitUpdate) {
        let now = self.clock.now();
        let mut accounts = self.accounts.borrow_mut();
        match update {
            LimitUpdate::LeaderElected(term) => accounts.follow_leader(now, term),
            LimitUpdate::Granted(grant) => accounts.apply_grant(now, &grant),
        }
        drop(accounts);
        self.settle_waiting();
    }

    fn is_urgent(&self) -> bool {
        self.accounts.borrow().is_urgent(self.clock.now())
    }

    fn report(&self) -> Option<AllowanceReport> {
        self.accounts.borrow_mut().report(self.clock.now())
    }

    /// Returns when the operations that wait at this gateway have to be evaluated again.
    fn settle_due(&self) -> Option<Instant> {
        let now = self.clock.now();
        let due = self.accounts.borrow().settle_due(now)?;
        Some(Instant::now() + due.saturating_since(now))
    }
}

/// Sends reports to the leader and applies its grants, until the process ends.
pub(crate) async fn run_allowance_reports(limits: Rc<Limits>, mut link: LimitsLink) {
    let mut report_due = Instant::now();
    let mut reported_at = Instant::now();
    loop {
        let settle_due = limits.settle_due();
        tokio::select! {
            update = link.updates.recv() => match update {
                Some(update) => limits.apply_update(update),
                None => return,
            },
            () = limits.allowance_wanted.notified() => (),
            () = sleep_until(settle_due.unwrap_or(report_due)), if settle_due.is_some() => limits.settle_waiting(),
            () = sleep_until(report_due) => {
                reported_at = Instant::now();
                report_due = reported_at + REPORT_INTERVAL;
                if let Some(report) = limits.report() {
                    // The receiver is gone only when the process ends.
                    let _ = link.reports.send(report);
                }
            }
        }
        if limits.is_urgent() {
            report_due = report_due.min(reported_at + REPORT_SPACING);
        }
    }
}
