//! Tells the leader what is held and wanted here, and takes what it gives.
//!
//! It is for the books of [`limits`](super). It owns when a report goes out. It relies on the link for the way
//! to the leader, whoever that is.

use super::Limits;
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time between two reports to the leader. Chosen, not measured: lower costs messages, higher makes what the
/// leader knows older.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two reports: what is asked for together goes out together. Chosen, not measured:
/// lower costs messages, higher makes operations wait for the leader.
const REPORT_SPACING: Duration = Duration::from_millis(20);

/// What control says of limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitNews {
    /// A leader of this term has been elected, or is reported by another replica.
    Led(Term),
    /// The leader gives allowances.
    Granted(AllowanceGrant),
}

/// How a gateway and control speak of limits.
#[derive(Debug)]
pub struct LimitsLink {
    /// Takes what goes to the leader.
    pub reports: mpsc::UnboundedSender<AllowanceReport>,
    /// What control says.
    pub news: mpsc::UnboundedReceiver<LimitNews>,
}

impl Limits {
    fn take(&self, news: LimitNews) {
        let now = self.clock.now();
        let mut books = self.books.borrow_mut();
        match news {
            LimitNews::Led(term) => books.follow_leader(now, term),
            LimitNews::Granted(grant) => books.take(now, &grant),
        }
        drop(books);
        self.settle();
    }

    fn is_urgent(&self) -> bool {
        self.books.borrow().is_urgent(self.clock.now())
    }

    fn report(&self) -> Option<AllowanceReport> {
        self.books.borrow_mut().report(self.clock.now())
    }

    /// When the operations that wait here are to be evaluated.
    fn settle_due(&self) -> Option<Instant> {
        let now = self.clock.now();
        let due = self.books.borrow().settle_due(now)?;
        Some(Instant::now() + due.saturating_since(now))
    }
}

/// Keeps the leader and this gateway in touch, until the process ends.
pub(crate) async fn keep_allowances(limits: Rc<Limits>, mut link: LimitsLink) {
    let mut due = Instant::now();
    let mut reported_at = Instant::now();
    loop {
        let settle_due = limits.settle_due();
        tokio::select! {
            news = link.news.recv() => match news {
                Some(news) => limits.take(news),
                None => return,
            },
            () = limits.wanted.notified() => (),
            () = sleep_until(settle_due.unwrap_or(due)), if settle_due.is_some() => limits.settle(),
            () = sleep_until(due) => {
                reported_at = Instant::now();
                due = reported_at + REPORT_INTERVAL;
                if let Some(report) = limits.report() {
                    // Nobody listens at the end of the process only.
                    let _ = link.reports.send(report);
                }
            }
        }
        if limits.is_urgent() {
            due = due.min(reported_at + REPORT_SPACING);
        }
    }
}
