//! Asks the home of a tenant for operations that begin at this gateway.
//!
//! It is for operations that this gateway does not count itself. It owns the questions that are due and who
//! waits for them. It relies on [`tunnel`](crate::tunnel) to ask, and on [`limits`](super) to count here where
//! no home answers.
//!
//! Operations that are asked for together go out in one question: the first at once, those that come
//! within [`QUESTION_SPACING`] after it together. So a class of a tenant costs a gateway at most one
//! question in that time, however many operations it begins.

use super::{AskedOperations, Limits};
use crate::retry_after;
use crate::tunnel::{OperationsRequest, TunnelError};
use corktack_core::gateway::Holder;
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::tenancy::TenantName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Shortest time between two questions of a gateway for a tenant: a hundredth of the shortest objective of
/// the users' callers (400 ms) and a bit. Chosen by that, not measured by itself.
const QUESTION_SPACING: Duration = Duration::from_millis(5);
/// How much longer than an operation may wait its answer is waited for: the way from the home in the zone.
/// Chosen, not measured: lower, answers that are on their way are lost; higher, callers are refused later.
const ANSWER_SLACK: Duration = Duration::from_millis(20);

/// An operation that a home has counted.
#[derive(Debug)]
pub(super) struct CountedAtHome {
    /// The gateway that counted it; none where this one counted in its place.
    pub(super) home: Option<Holder>,
    pub(super) begun: AdmittedOperations,
}

type Outcome = Result<CountedAtHome, OverLimit>;

/// An operation that waits for an answer.
#[derive(Debug)]
struct Waiter {
    until: Instant,
    answered: oneshot::Sender<Outcome>,
}

/// Operations that one question asks for: of a tenant and a priority class.
type Subject = (TenantName, u32);

/// The operations of one subject that no question has gone out for yet.
#[derive(Debug, Default)]
struct Unsent {
    waiters: Vec<Waiter>,
    /// Whether a question is about to be asked.
    is_due: bool,
    asked_at: Option<Instant>,
}

/// Operations that homes are to be asked for, by subject.
#[derive(Debug, Default)]
pub(super) struct Questions {
    unsent: HashMap<Subject, Unsent>,
}

impl Questions {
    /// Adds operations; gives when a question for them is to be asked, unless one is due already.
    fn add(
        &mut self,
        subject: &Subject,
        waiters: impl IntoIterator<Item = Waiter>,
    ) -> Option<Instant> {
        let unsent = self.unsent.entry(subject.clone()).or_default();
        unsent.waiters.extend(waiters);
        if unsent.waiters.is_empty() || std::mem::replace(&mut unsent.is_due, true) {
            return None;
        }
        let now = Instant::now();
        Some(unsent.asked_at.map_or(now, |at| (at + QUESTION_SPACING).max(now)))
    }

    /// Takes what a question is asked for now.
    fn take(&mut self, subject: &Subject) -> Vec<Waiter> {
        let Some(unsent) = self.unsent.get_mut(subject) else { return Vec::new() };
        unsent.is_due = false;
        unsent.asked_at = Some(Instant::now());
        std::mem::take(&mut unsent.waiters)
    }
}

impl Limits {
    /// Has the tenant's home count an operation.
    pub(super) async fn ask_home(
        self: &Rc<Self>,
        tenant: &TenantName,
        priority: u32,
        until: Instant,
    ) -> Outcome {
        let (answered, answer) = oneshot::channel();
        self.add_waiters(&(tenant.clone(), priority), [Waiter { until, answered }]);
        match timeout_at(until + ANSWER_SLACK, answer).await {
            Ok(Ok(outcome)) => outcome,
            // The task that asks ends only with the process.
            Ok(Err(_)) | Err(_) => {
                Err(OverLimit { allowance: 0, retry_after: retry_after::HOME_UNANSWERED })
            }
        }
    }

    fn add_waiters(self: &Rc<Self>, subject: &Subject, waiters: impl IntoIterator<Item = Waiter>) {
        let due = self.questions.borrow_mut().add(subject, waiters);
        let Some(due) = due else { return };
        let (limits, subject) = (Rc::clone(self), subject.clone());
        actix_rt::spawn(async move {
            sleep_until(due).await;
            let waiters = limits.questions.borrow_mut().take(&subject);
            limits.ask_for(&subject, waiters).await;
        });
    }

    /// Asks one question for operations, and hands out what it brings.
    async fn ask_for(self: &Rc<Self>, subject: &Subject, mut waiters: Vec<Waiter>) {
        waiters.retain(|waiter| !waiter.answered.is_closed());
        let Some(until) = waiters.iter().map(|waiter| waiter.until).max() else { return };
        let (tenant, priority) = subject;
        let operations = waiters.len() as u64;
        let asked = AskedOperations { operations, priority: *priority, until };
        let (home, outcome) = self.question(tenant, asked).await;
        match outcome {
            Ok(begun) => self.hand_out(subject, home, begun, waiters),
            Err(over) => self.refuse(over, waiters),
        }
    }

    fn hand_out(
        self: &Rc<Self>,
        subject: &Subject,
        home: Option<Holder>,
        begun: AdmittedOperations,
        waiters: Vec<Waiter>,
    ) {
        let one = AdmittedOperations { operations: 1, ..begun };
        let mut left = begun.operations;
        let mut unserved = Vec::new();
        for waiter in waiters {
            if left == 0 {
                unserved.push(waiter);
            } else if waiter.answered.send(Ok(CountedAtHome { home, begun: one })).is_ok() {
                left -= 1;
            }
        }
        if left > 0 {
            self.give_back(&subject.0, home, AdmittedOperations { operations: left, ..begun });
        }
        if !unserved.is_empty() {
            self.add_waiters(subject, unserved);
        }
    }

    /// Refuses operations; each gets a time of its own, so that their callers do not come together.
    fn refuse(&self, over: OverLimit, waiters: Vec<Waiter>) {
        let interval = self.books.borrow().place_interval(&over);
        let mut retry_after = over.retry_after;
        for waiter in waiters {
            // A caller that has gone needs no answer.
            let _ = waiter.answered.send(Err(OverLimit { retry_after, ..over }));
            retry_after += interval;
        }
    }

    /// Asks the homes of a tenant in turn. Where none answers this gateway counts by what it has itself.
    async fn question(
        &self,
        tenant: &TenantName,
        asked: AskedOperations,
    ) -> (Option<Holder>, Result<AdmittedOperations, OverLimit>) {
        let AskedOperations { operations, priority, until } = asked;
        let mut left = self.homes(tenant);
        while !left.is_empty() {
            let Ok(tunnel) = self.tunnels.reach(&left).await else { break };
            let home = tunnel.holder();
            left.retain(|it| it.address != home.address);
            let wait = until.saturating_duration_since(Instant::now());
            let request = OperationsRequest { operations, priority, wait };
            match self.tunnels.begin_operations(tunnel, tenant, request).await {
                Ok(outcome) => return (Some(home), outcome),
                Err(TunnelError::Refused(refusal)) => log::debug!(
                    tenant:% = tenant, home:% = home.address, refusal:? = refusal;
                    "gateway counts no operations of a tenant"
                ),
                // What it may have counted stays counted there, and does not run.
                Err(TunnelError::NotSent(error) | TunnelError::Sent(error)) => log::info!(
                    tenant:% = tenant, home:% = home.address, error:% = error;
                    "gateway that counts operations of a tenant gives no answer"
                ),
            }
        }
        match self.count_here(tenant, asked).await {
            Ok(Some(begun)) => (None, Ok(begun)),
            // The limit was lifted meanwhile.
            Ok(None) => (None, Ok(AdmittedOperations { operations, marked: self.clock.now() })),
            Err(over) => (None, Err(over)),
        }
    }
}
