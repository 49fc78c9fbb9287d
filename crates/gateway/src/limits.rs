//! Operations of tenants counted against their limits, which hold over all gateways.
//!
//! What may begin here is decided by [`GatewayLimits`]; this module asks the leader for allowances in
//! the background, and has an operation wait for a moment where the leader may allow it.

use crate::clock::SteadyClock;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, GatewayLimits, LimitBounds, OverLimit,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{Principal, TenantDirectory, TenantName};
use corktack_core::time::Timestamp;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time between two looks at what the leader should hear.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two reports: what is asked for together goes out together.
const REPORT_SPACING: Duration = Duration::from_millis(20);
/// Part of the time in which an operation waits for a member that it may wait for its tenant's limit.
const LIMIT_WAIT_PART: f64 = 0.8;

/// What control says of limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitNews {
    /// A leader of this term has been elected, or is told by another replica.
    Led(Term),
    /// The leader gives allowances.
    Granted(AllowanceGrant),
}

/// How a gateway and control speak of limits.
#[derive(Debug)]
pub struct LimitsLink {
    /// Takes what the leader should hear.
    pub reports: mpsc::UnboundedSender<AllowanceReport>,
    /// What control says.
    pub news: mpsc::UnboundedReceiver<LimitNews>,
}

/// The limits of tenants at this gateway.
#[derive(Debug)]
pub(crate) struct Limits {
    books: RefCell<GatewayLimits>,
    clock: SteadyClock,
    /// Told when more may be allowed.
    changed: Notify,
    /// Told when an operation waits.
    wanted: Notify,
}

impl Limits {
    pub(crate) fn new(
        gateway: ProxyName,
        incarnation: Incarnation,
        bounds: LimitBounds,
        clock: SteadyClock,
    ) -> Self {
        let books = RefCell::new(GatewayLimits::new(gateway, incarnation, bounds));
        Self { books, clock, changed: Notify::new(), wanted: Notify::new() }
    }

    /// Takes the rates of another document.
    pub(crate) fn follow(&self, tenants: Option<&TenantDirectory>) {
        self.books.borrow_mut().follow(tenants);
        self.changed.notify_waiters();
    }

    /// A caller of a principal has come, and is likely to ask for something.
    pub(crate) fn expect(&self, principal: &Principal) {
        if let Some(tenant) = principal.tenant() {
            self.books.borrow_mut().expect(self.clock.now(), tenant);
        }
    }

    /// Counts an operation that begins now on behalf of a principal. Where the leader may allow more it
    /// waits, for some of the time in which the operation may wait at all.
    pub(crate) async fn begin(
        self: &Rc<Self>,
        principal: &Principal,
        give_up: Instant,
    ) -> Result<Pass, OverLimit> {
        let Some(tenant) = principal.tenant() else { return Ok(Pass::default()) };
        self.books.borrow_mut().note_asked(self.clock.now(), tenant);
        let now = Instant::now();
        let until = now + give_up.saturating_duration_since(now).mul_f64(LIMIT_WAIT_PART);
        loop {
            let changed = self.changed.notified();
            match self.count(tenant) {
                Ok(pass) => return Ok(pass),
                Err(over) if !over.may_change || Instant::now() >= until => return Err(over),
                Err(_) => self.wanted.notify_one(),
            }
            // In vain or in time: the next look tells.
            drop(timeout_at(until, changed).await);
        }
    }

    fn count(self: &Rc<Self>, tenant: &TenantName) -> Result<Pass, OverLimit> {
        let marked = self.books.borrow_mut().begin(self.clock.now(), tenant)?;
        let counted = marked.map(|marked| Counted {
            limits: Rc::clone(self),
            tenant: tenant.clone(),
            marked,
        });
        Ok(Pass { counted })
    }

    fn take(&self, news: LimitNews) {
        let now = self.clock.now();
        let mut books = self.books.borrow_mut();
        match news {
            LimitNews::Led(term) => books.follow_leader(now, term),
            LimitNews::Granted(grant) => books.take(now, &grant),
        }
        drop(books);
        self.changed.notify_waiters();
    }

    fn is_urgent(&self) -> bool {
        self.books.borrow().is_urgent(self.clock.now())
    }

    fn report(&self) -> Option<AllowanceReport> {
        self.books.borrow_mut().report(self.clock.now())
    }
}

/// Tells the leader what is held and wanted here, and takes what it gives, until the process ends.
pub(crate) async fn keep_allowances(limits: Rc<Limits>, mut link: LimitsLink) {
    let mut due = Instant::now();
    let mut reported_at = Instant::now();
    loop {
        tokio::select! {
            news = link.news.recv() => match news {
                Some(news) => limits.take(news),
                None => return,
            },
            () = limits.wanted.notified() => (),
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

/// An operation that was counted.
#[derive(Debug)]
struct Counted {
    limits: Rc<Limits>,
    tenant: TenantName,
    marked: Timestamp,
}

/// Leave for one operation to run.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// None where nothing is limited.
    counted: Option<Counted>,
}

impl Pass {
    /// The operation did not run, at any member.
    pub(crate) fn take_back(self) {
        if let Some(Counted { limits, tenant, marked }) = self.counted {
            limits.books.borrow_mut().take_back(&tenant, marked);
            limits.changed.notify_waiters();
        }
    }

    /// Counts the operation once more: it may have run at a member, and is to run at another. Says
    /// whether the limit allows it.
    pub(crate) fn count_again(&self) -> bool {
        let again = self.counted.as_ref().map(|it| it.limits.count(&it.tenant));
        again.is_none_or(|again| again.is_ok())
    }
}
