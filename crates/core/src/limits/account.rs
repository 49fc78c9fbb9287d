//! One tenant's operations at one gateway.

use super::bounds::LimitBounds;
use super::messages::TenantAllowance;
use super::queue::{AskQueue, OperationRequestNumber, Waiting};
use super::trailing::SlidingWindowCount;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is asked for beside the operations of the last window: a part of them, their square root, and one.
/// It has to last until the leader has answered, some 0.25 s after the count began to rise: at 2.5 times
/// the usual rate a window holds 0.08 of its operations more by then, and what arrives by chance in that
/// time differs by three deviations of a twentieth of a window. More would be held back from a new leader
/// that does not know who may have begun what.
const HEADROOM_PART: f64 = 0.1;
const HEADROOM_ROOTS: f64 = 1.0;
const HEADROOM_LEAST: f64 = 1.0;
/// More is asked for once less than this part of that is left.
const EARLY_PART: f64 = 0.5;
/// How long after the last operation a few are kept at hand for the next: without them it waits for the
/// leader, a round trip over regions. On the users' deployment with tenants the smaller half begin less
/// than one operation in 3 s in a zone.
const ACTIVE_TIME: Duration = Duration::from_secs(60);
/// An allowance is lowered to what is wanted once that is less than this part of it. What is held and not
/// used is held back from all after a loss of everything: in the load test of the limits 0.26 of the callers
/// that came back after one began within 0.4 s with 0.85 here and 0.9 in the ceilings, and 0.39 with 0.95.
const KEPT_PART: f64 = 0.95;
/// The leader hears that less is needed once that is less than this part of what it was told: it shares
/// what there is by what all need.
const NEEDED_LESS_PART: f64 = 0.8;
/// How long operations are refused at once after the leader gave less than was wanted.
const EXHAUSTED_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time after which a caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);
/// Part of a window after which a caller comes back where nothing is allowed.
const RETRY_PART: f64 = 0.2;
/// When a caller comes back where the leader has not answered yet: a round trip between the users'
/// regions and an entry in the log take 0.1 s.
const ANSWER_RETRY: Duration = Duration::from_millis(100);
/// Windows after which a caller is told to come back at the latest: what others will have asked for by
/// then is not known, and a flood ends sooner than the places that it was promised.
const LONGEST_RETRY_WINDOWS: u32 = 2;

/// An operation that a tenant's limit does not allow now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the tenant's limit is reached: {allowance} operations in a window at this gateway")]
pub struct OverLimit {
    /// Operations that the gateway that counts them may let begin in a window.
    pub allowance: u64,
    /// When one may begin, as far as that gateway knows.
    pub retry_after: Duration,
}

/// Operations that were counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedOperations {
    /// How many.
    pub operations: u64,
    /// When, on the clock of the gateway that counted them.
    pub marked: Timestamp,
}

/// What becomes of operations that are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// Nothing limits them.
    Unlimited,
    /// So many begin now, perhaps fewer than were asked for.
    Admitted(AdmittedOperations),
    /// They wait; [`super::GatewayLimits::settle`] tells what becomes of them.
    Waiting(OperationRequestNumber),
    /// None begins.
    Refused(OverLimit),
}

/// What a gateway tells the leader of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Told {
    /// Operations that it may begin in a window, and those that it has begun in the last one.
    pub(super) held: u64,
    /// Operations begun within the last window, and those that wait.
    pub(super) needed: u64,
    /// Operations that it could use.
    pub(super) wanted: u64,
}

/// One tenant's operations at one gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Operations begun.
    begun: SlidingWindowCount,
    /// Operations asked for, refused ones included, and when somebody asked or was expected to last.
    asked: SlidingWindowCount,
    active_at: Option<Timestamp>,
    allowance: u64,
    /// The limit of all gateways that the allowance was worked out by.
    basis: u64,
    ends: Timestamp,
    /// The limit of all gateways in force here.
    limit: u64,
    /// What was told to the leader last.
    told: Option<Told>,
    /// Whether the leader has not answered that yet.
    unanswered: bool,
    /// Operations asked for since that could not begin at once.
    lacking: u64,
    queue: AskQueue,
    /// Whether the leader should hear at once that a lower allowance was taken.
    lowered: bool,
    exhausted_until: Timestamp,
    /// Whether the leader is about to give more.
    more_follows: bool,
    /// From when on the leader can give more, where it cannot before and said so.
    more_at: Option<Timestamp>,
}

impl Account {
    pub(super) fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Operations that may begin in a window: none once the allowance has ended, and no more than its
    /// part of a limit that was lowered.
    fn allowance(&self, now: Timestamp) -> u64 {
        if now >= self.ends {
            return 0;
        }
        if self.limit >= self.basis {
            return self.allowance;
        }
        let part = u128::from(self.allowance) * u128::from(self.limit) / u128::from(self.basis);
        u64::try_from(part).unwrap_or(self.allowance)
    }

    /// What others must leave to this gateway: its allowance, and what began under a higher one.
    fn held(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        self.allowance(now).max(self.begun.count(now, bounds.window))
    }

    /// Operations that may begin in a window, and those that began in the last one.
    pub(super) fn in_window(&mut self, now: Timestamp, bounds: &LimitBounds) -> (u64, u64) {
        (self.allowance(now), self.begun.count(now, bounds.window))
    }

    /// Notes that operations are likely to be asked for: somebody who may ask has come.
    pub(super) fn expect(&mut self, now: Timestamp) {
        self.active_at = Some(now);
    }

    /// Operations that may begin now.
    fn free(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        let begun = self.begun.count(now, bounds.window);
        self.allowance(now).saturating_sub(begun)
    }

    /// Takes operations that are asked for: they begin, wait in turn, or are refused where none of them
    /// can begin in their time. Where a limit is short, higher classes take the places that become free.
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        waiting: Waiting,
    ) -> OperationOutcome {
        self.active_at = Some(now);
        self.asked.add(now, bounds.window, waiting.operations);
        if self.queue.is_empty()
            && let Some(begun) = self.begin(now, bounds, waiting.operations)
        {
            return OperationOutcome::Admitted(begun);
        }
        self.lacking += waiting.operations;
        let before = self.queue.operations_before(waiting.priority);
        if self.may_begin_in_time(now, bounds, &waiting, before) {
            self.queue.push(waiting);
            return OperationOutcome::Waiting(waiting.number);
        }
        OperationOutcome::Refused(self.refuse(now, bounds, waiting.operations))
    }

    /// Counts as many operations as may begin now, where any may.
    fn begin(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        operations: u64,
    ) -> Option<AdmittedOperations> {
        let operations = self.free(now, bounds).min(operations);
        if operations == 0 {
            return None;
        }
        self.begun.add(now, bounds.window, operations);
        Some(AdmittedOperations { operations, marked: now })
    }

    /// Whether the first of operations that wait may begin in their time, behind so many others: a place
    /// becomes free by then, or the leader may still allow more.
    fn may_begin_in_time(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
        waiting: &Waiting,
        before: u64,
    ) -> bool {
        if waiting.until <= now {
            return false;
        }
        let free_after = self.free_after(now, bounds, before + 1);
        now >= self.exhausted_until || free_after.is_some_and(|after| now + after <= waiting.until)
    }

    /// Time until a place becomes free, counted from the next one on; none where nothing is allowed.
    fn free_after(&self, now: Timestamp, bounds: &LimitBounds, place: u64) -> Option<Duration> {
        let allowance = self.allowance(now);
        if allowance == 0 {
            return None;
        }
        // Who takes a place keeps it for a window: further places are the same ones again.
        let rounds = u32::try_from((place - 1) / allowance).unwrap_or(u32::MAX);
        let place = (place - 1) % allowance + 1;
        let above = self.begun.total().saturating_sub(allowance);
        let after = self.begun.until_fewer(now, bounds.window, above + place);
        Some(after.unwrap_or_default() + bounds.window.saturating_mul(rounds))
    }

    /// A refusal that says when the next place is free that nobody waits for or was promised.
    fn refuse(&mut self, now: Timestamp, bounds: &LimitBounds, operations: u64) -> OverLimit {
        let place = self.queue.next_place(now);
        let retry_after = self.retry_after(now, bounds, place).max(SHORTEST_RETRY);
        self.queue.promise(now + retry_after, operations);
        OverLimit { allowance: self.allowance(now), retry_after }
    }

    /// When a caller should come back that may hope for a place, counted from the next one that becomes
    /// free: by what is allowed now, or once the leader allows more.
    fn retry_after(&self, now: Timestamp, bounds: &LimitBounds, place: u64) -> Duration {
        let free_after = self.free_after(now, bounds, place);
        if self.awaits_answer(now) {
            return free_after.map_or(ANSWER_RETRY, |after| after.min(ANSWER_RETRY));
        }
        let more_after = self.more_at.filter(|at| now < *at).map(|at| {
            // Those who come back then come one after the other, at the pace of what is asked for.
            let pace = bounds.window.div_f64(self.asked.total().max(1) as f64);
            let behind = u32::try_from(place - 1).unwrap_or(u32::MAX);
            at.saturating_since(now) + pace.saturating_mul(behind).min(bounds.window)
        });
        let after = free_after.into_iter().chain(more_after).min();
        let after = after.unwrap_or(bounds.window.mul_f64(RETRY_PART));
        after.min(bounds.window * LONGEST_RETRY_WINDOWS)
    }

    /// Whether the leader may allow more as soon as it answers, or its log does.
    fn awaits_answer(&self, now: Timestamp) -> bool {
        let is_asked = self.unanswered || self.lacking > 0 || self.more_follows;
        is_asked && now >= self.exhausted_until && self.allowance(now) < self.limit
    }

    /// Decides what can be decided of the operations that wait.
    pub(super) fn settle(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
    ) -> Vec<(OperationRequestNumber, Result<AdmittedOperations, OverLimit>)> {
        let mut settled = Vec::new();
        while let Some(first) = self.queue.first().filter(|first| now < first.until) {
            let Some(begun) = self.begin(now, bounds, first.operations) else { break };
            self.queue.pop();
            settled.push((first.number, Ok(begun)));
        }
        let mut queue = std::mem::take(&mut self.queue);
        let hopeless =
            queue.take_out(|waiting, before| !self.may_begin_in_time(now, bounds, waiting, before));
        self.queue = queue;
        for waiting in hopeless {
            settled.push((waiting.number, Err(self.refuse(now, bounds, waiting.operations))));
        }
        settled
    }

    /// When something may be decided of the operations that wait, if nothing else happens.
    pub(super) fn settle_due(&self, now: Timestamp, bounds: &LimitBounds) -> Option<Timestamp> {
        let end = self.queue.earliest_end()?;
        let free = self.free_after(now, bounds, 1).map(|after| now + after);
        Some(free.map_or(end, |free| free.min(end)))
    }

    /// Who asked has gone.
    pub(super) fn leave(&mut self, number: OperationRequestNumber) {
        self.queue.leave(number);
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Operations that were counted did not run.
    pub(super) fn uncount(&mut self, begun: AdmittedOperations, bounds: &LimitBounds) {
        self.begun.uncount(begun.marked, bounds.window, begun.operations);
    }

    /// Operations asked for in the last window.
    fn demand(&mut self, now: Timestamp, bounds: &LimitBounds) -> u64 {
        self.asked.count(now, bounds.window)
    }

    /// Operations that could be used in a window.
    fn wanted(&self, now: Timestamp, demand: u64) -> u64 {
        if !self.is_active(now) {
            return 0;
        }
        (demand + headroom(demand).ceil() as u64).min(self.limit)
    }

    fn is_active(&self, now: Timestamp) -> bool {
        self.active_at.is_some_and(|at| now.saturating_since(at) < ACTIVE_TIME)
    }

    /// Whether the allowance will not be enough for long.
    fn runs_short(&self, demand: u64, held: u64) -> bool {
        let soon = demand as f64 + headroom(demand) * EARLY_PART;
        demand > 0 && (soon.ceil() as u64).min(self.limit) > held
    }

    /// What is held and wanted, where the leader should hear of it; always where `renews`.
    pub(super) fn report(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        renews: bool,
    ) -> Option<Told> {
        let demand = self.demand(now, bounds);
        let wanted = self.wanted(now, demand);
        self.give_back_surplus(now, wanted);
        let held = self.held(now, bounds);
        let waiting = self.lacking.max(self.queue.operations());
        let needed = self.begun.count(now, bounds.window) + waiting;
        let before = self.told.unwrap_or_default();
        let needs_less = (needed as f64) < before.needed as f64 * NEEDED_LESS_PART;
        let lacks = self.lacking > 0;
        let is_news = before.held != held || needs_less || lacks || self.runs_short(demand, held)
            // Somebody has come, and nothing is held for what is asked first.
            || held == 0 && wanted > before.wanted;
        let is_known_nothing = held == 0 && wanted == 0 && before.held == 0;
        if is_known_nothing || !(renews || is_news) {
            return None;
        }
        let told = Told { held, needed, wanted };
        self.told = Some(told);
        self.unanswered = true;
        self.lacking = 0;
        self.lowered = false;
        Some(told)
    }

    /// Lowers the allowance to what may be used of it now, before that is told: it must not rise again
    /// with the limit in force here. What is much more than wanted is given back.
    fn give_back_surplus(&mut self, now: Timestamp, wanted: u64) {
        let allowance = self.allowance(now);
        let has_surplus = (wanted as f64) < allowance as f64 * KEPT_PART;
        self.lower(now, if has_surplus { wanted } else { allowance });
    }

    /// Lowers the allowance, if it is higher; a limit that falls later still lowers it in proportion.
    fn lower(&mut self, now: Timestamp, to: u64) {
        self.allowance = self.allowance(now).min(to);
        self.basis = self.basis.min(self.limit).max(self.allowance);
    }

    /// Gives back what others need.
    pub(super) fn keep(&mut self, now: Timestamp, kept: u64) {
        let before = self.allowance(now);
        self.lower(now, kept);
        self.lowered |= self.allowance < before;
    }

    /// Whether the leader should hear at once: an operation was refused that it may allow, or a lower
    /// allowance was taken that others may wait for.
    pub(super) fn is_urgent(&self, now: Timestamp) -> bool {
        let lacks = self.lacking > 0 && !self.unanswered && now >= self.exhausted_until;
        lacks || self.lowered
    }

    /// Takes another allowance. One that is lower than what began within the last window lets nothing
    /// begin before that has grown old.
    pub(super) fn take(&mut self, now: Timestamp, granted: &TenantAllowance, ends: Timestamp) {
        self.allowance = granted.operations;
        self.basis = granted.window_limit.max(granted.operations);
        self.ends = self.ends.max(ends);
        self.unanswered = false;
        self.more_follows = granted.more_follows;
        self.more_at = granted.more_after.map(|after| now + after);
        if let Some(told) = &mut self.told {
            // The leader knows what it gives; it does not know that a lower allowance was taken.
            self.lowered = granted.operations < told.held;
            told.held = granted.operations.max(told.held);
            if granted.operations < told.needed && !granted.more_follows {
                self.exhausted_until = now + EXHAUSTED_PAUSE;
            }
        }
    }

    /// A leader that knows nothing of what was told to the one before.
    pub(super) fn follow_leader(&mut self) {
        self.told = None;
        self.unanswered = false;
        self.more_follows = false;
        self.more_at = None;
    }

    /// Whether there is nothing to remember.
    pub(super) fn is_unused(&mut self, now: Timestamp, bounds: &LimitBounds) -> bool {
        let quiet = !self.is_active(now) && self.held(now, bounds) == 0;
        quiet && self.told.is_none_or(|told| told.held == 0)
    }
}

/// Operations that are wanted beside those of the last window.
fn headroom(demand: u64) -> f64 {
    let demand = demand as f64;
    demand * HEADROOM_PART + demand.sqrt() * HEADROOM_ROOTS + HEADROOM_LEAST
}
