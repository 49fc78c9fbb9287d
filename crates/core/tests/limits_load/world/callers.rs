//! Callers: when they come, what becomes of their operations, and when they come back.

use super::losses::DOCUMENTS;
use super::{GATEWAYS, HOT, HOT_TENANT, STEP, TENANTS, World, at};
use corktack_core::limits::{OperationOutcome, OperationRequest, OverLimit, SettledRequest};
use rand::Rng;

/// Milliseconds that an operation may wait (0.8 of 0.22 of an objective of 500 ms).
const WAIT: u64 = 88;
/// Milliseconds: when what is counted begins, and the time in which all ask for more.
const SETTLED: u64 = 15_000;
const BURST: std::ops::Range<u64> = 20_000..26_000;
/// Milliseconds over which callers come back that found nobody.
const RETURN: u64 = 500;
/// Milliseconds that a caller goes on for, and how often it comes back.
pub const PATIENCE: u64 = 6_000;
const RETRIES: u32 = 2;
/// What callers of a tenant got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub asked: u64,
    pub begun: u64,
}

/// A caller with one operation.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    tenant: usize,
    /// When it came, and since when it could be let in.
    came: u64,
    let_in: u64,
    retries: u32,
}

/// What became of the callers that came while everything was lost, or in the second after.
#[derive(Clone, Debug, Default)]
pub struct Returned {
    pub callers: usize,
    /// Milliseconds from when a caller could be let in until its operation began, of those that began.
    pub begun_after: Vec<u64>,
    /// Milliseconds after which refused callers were told to come back.
    pub retry_after: Vec<u64>,
}

impl Returned {
    /// Part of the callers whose operation began so many milliseconds after they could be let in.
    pub fn begun_within(&self, millis: u64) -> f64 {
        let begun = self.begun_after.iter().filter(|after| **after <= millis).count();
        begun as f64 / self.callers as f64
    }
}

impl World {
    /// Operations a second of a tenant now.
    fn rate(&self, tenant: usize) -> f64 {
        let usual = self.tenants[tenant].1;
        if BURST.contains(&self.now) {
            usual * 1.5
        } else if tenant == HOT_TENANT && self.now >= HOT && self.loss.is_none() {
            usual * 5.0
        } else {
            usual
        }
    }

    pub fn arrive(&mut self) {
        for tenant in 0..TENANTS {
            let expected = self.rate(tenant) * STEP as f64 / 1_000.0;
            // As good as Poisson: several in a step are rare.
            let whole =
                expected.floor() as u64 + u64::from(self.draws.random_bool(expected.fract()));
            for _ in 0..whole {
                let (came, let_in) = (self.now, self.now);
                self.come(Caller { tenant, came, let_in, retries: 0 });
            }
        }
        let due = self.coming.range(..=self.now).map(|(at, _)| *at).collect::<Vec<_>>();
        for at in due {
            let callers = self.coming.remove(&at).unwrap_or_default();
            callers.into_iter().for_each(|caller| self.come(caller));
        }
    }

    /// A caller comes; where nobody lets it in it comes back once somebody does.
    fn come(&mut self, mut caller: Caller) {
        let loss = self.loss.clone().filter(|loss| self.now >= loss.start);
        let Some(loss) = loss else { return self.ask(caller) };
        let open = loss.end + DOCUMENTS.end;
        if self.now < open {
            caller.let_in = open + self.draws.random_range(0..RETURN) / STEP * STEP;
            self.coming.entry(caller.let_in).or_default().push(caller);
        } else {
            self.ask(caller);
        }
    }

    fn ask(&mut self, caller: Caller) {
        // Callers are spread over the gateways, and each gateway's operations are counted at one.
        let counter = self.draws.random_range(0..GATEWAYS) % self.counters.len();
        let now = at(self.now);
        let name = &self.tenants[caller.tenant].0;
        let ask = OperationRequest { operations: 1, priority: 1, until: at(self.now + WAIT) };
        let asked = self.counters[counter].request(now, name, ask);
        if caller.retries == 0 {
            self.note(caller.tenant, |served| served.asked += 1);
            self.returned.callers += usize::from(self.is_observed(caller));
        }
        self.at_first.asked += u64::from(counter == 0);
        match asked {
            OperationOutcome::Admitted(_) | OperationOutcome::Unlimited => {
                self.begun(counter, caller);
            }
            OperationOutcome::Waiting(number) => {
                self.waiting.insert((counter, number), caller);
            }
            OperationOutcome::Refused(over) => self.refused(caller, over),
        }
    }

    fn begun(&mut self, counter: usize, caller: Caller) {
        self.at_first.begun += u64::from(counter == 0);
        self.note(caller.tenant, |served| served.begun += 1);
        if self.is_observed(caller) {
            self.returned.begun_after.push(self.now - caller.let_in);
        }
    }

    fn refused(&mut self, caller: Caller, over: OverLimit) {
        if self.loss.is_none() {
            return;
        }
        let retry_after = over.retry_after.as_millis() as u64;
        if self.is_observed(caller) {
            self.returned.retry_after.push(retry_after);
        }
        let back = (self.now + retry_after).next_multiple_of(STEP);
        if caller.retries < RETRIES && back < caller.came + PATIENCE {
            let caller = Caller { retries: caller.retries + 1, ..caller };
            self.coming.entry(back).or_default().push(caller);
        }
    }

    /// Whether it came while everything was lost, or in the second after.
    fn is_observed(&self, caller: Caller) -> bool {
        let near = |loss: &std::ops::Range<u64>| {
            (loss.start..loss.end + DOCUMENTS.end + 1_000).contains(&caller.came)
        };
        self.loss.as_ref().is_some_and(near)
    }

    fn note(&mut self, tenant: usize, note: impl FnOnce(&mut Served)) {
        if self.now >= SETTLED {
            let phase = usize::from(self.now >= HOT);
            note(&mut self.served[phase][tenant]);
        }
    }

    pub fn settle(&mut self) {
        for counter in 0..self.counters.len() {
            for SettledRequest { number, outcome } in self.counters[counter].settle(at(self.now)) {
                let caller = self.waiting.remove(&(counter, number)).expect("it waited");
                match outcome {
                    Ok(_) => self.begun(counter, caller),
                    Err(over) => self.refused(caller, over),
                }
            }
        }
    }
}
