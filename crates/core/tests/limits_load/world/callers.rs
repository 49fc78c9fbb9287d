//! Simulated callers: when they arrive, what becomes of their operations, and when they retry.

use super::losses::DOCUMENT_DELAY;
use super::{GATEWAYS, HOT_FROM, HOT_TENANT, STEP, TENANTS, World, at_ms};
use corktack_core::limits::{OperationOutcome, OperationRequest, OverLimit, SettledRequest};
use rand::Rng;

/// Milliseconds that an operation may wait: 0.8 of 0.22 of an objective of 500 ms.
const MAX_WAIT: u64 = 88;
/// Time from which operations are counted, in milliseconds.
const COUNTED_FROM: u64 = 15_000;
/// Time range in which all tenants send more, in milliseconds.
const BURST_TIME: std::ops::Range<u64> = 20_000..26_000;
/// Milliseconds over which the callers that found no gateway return.
const RETURN_SPREAD: u64 = 500;
/// Milliseconds for which a caller goes on retrying.
pub const PATIENCE: u64 = 6_000;
/// Times that a refused caller retries.
const MAX_RETRIES: u32 = 2;
/// Operations that callers of a tenant requested and began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub requested: u64,
    pub begun: u64,
}

/// Caller with one operation.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    tenant: usize,
    /// Time of arrival, in milliseconds.
    arrived_at: u64,
    /// Time at which a gateway could first admit the caller, in milliseconds.
    admissible_at: u64,
    retries: u32,
}

/// Results of the callers that arrived while all processes were lost, or in the second after.
#[derive(Clone, Debug, Default)]
pub struct Returned {
    pub callers: usize,
    /// For each operation that began, the milliseconds since a gateway could first admit its caller.
    pub begun_after: Vec<u64>,
    /// Milliseconds after which refused callers were told to retry.
    pub retry_after: Vec<u64>,
}

impl Returned {
    /// Returns the fraction of the callers whose operation began within `millis` of when a gateway
    /// could first admit them.
    pub fn begun_within(&self, millis: u64) -> f64 {
        let begun = self.begun_after.iter().filter(|after| **after <= millis).count();
        begun as f64 / self.callers as f64
    }
}

impl World {
    /// Returns the operations a second that a tenant's callers request now.
    fn rate(&self, tenant: usize) -> f64 {
        let usual = self.tenants[tenant].1;
        if BURST_TIME.contains(&self.now) {
            usual * 1.5
        } else if tenant == HOT_TENANT && self.now >= HOT_FROM && self.loss.is_none() {
            usual * 5.0
        } else {
            usual
        }
    }

    pub fn generate_callers(&mut self) {
        for tenant in 0..TENANTS {
            let expected = self.rate(tenant) * STEP as f64 / 1_000.0;
            // Approximates Poisson arrivals: several in a step are rare.
            let count = expected.floor() as u64 + u64::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                let (arrived_at, admissible_at) = (self.now, self.now);
                self.admit_or_return_later(Caller {
                    tenant,
                    arrived_at,
                    admissible_at,
                    retries: 0,
                });
            }
        }
        let due_times = self.returning.range(..=self.now).map(|(due, _)| *due).collect::<Vec<_>>();
        for due in due_times {
            let callers = self.returning.remove(&due).unwrap_or_default();
            callers.into_iter().for_each(|caller| self.admit_or_return_later(caller));
        }
    }

    /// Lets a caller send its operation; where no gateway admits callers, it returns once one does.
    fn admit_or_return_later(&mut self, mut caller: Caller) {
        let loss = self.loss.clone().filter(|loss| self.now >= loss.start);
        let Some(loss) = loss else { return self.request_operation(caller) };
        let admitting_from = loss.end + DOCUMENT_DELAY.end;
        if self.now < admitting_from {
            caller.admissible_at =
                admitting_from + self.rng.random_range(0..RETURN_SPREAD) / STEP * STEP;
            self.returning.entry(caller.admissible_at).or_default().push(caller);
        } else {
            self.request_operation(caller);
        }
    }

    fn request_operation(&mut self, caller: Caller) {
        // Callers are spread over the gateways; each gateway's operations are counted at one counter.
        let counter = self.rng.random_range(0..GATEWAYS) % self.counters.len();
        let now = at_ms(self.now);
        let name = &self.tenants[caller.tenant].0;
        let request =
            OperationRequest { operations: 1, priority: 1, until: at_ms(self.now + MAX_WAIT) };
        let outcome = self.counters[counter].request(now, name, request);
        if caller.retries == 0 {
            self.record(caller.tenant, |served| served.requested += 1);
            self.returned.callers += usize::from(self.is_observed(caller));
        }
        self.first_counter_served.requested += u64::from(counter == 0);
        match outcome {
            OperationOutcome::Admitted(_) | OperationOutcome::Unlimited => {
                self.record_begun(counter, caller);
            }
            OperationOutcome::Waiting(number) => {
                self.waiting.insert((counter, number), caller);
            }
            OperationOutcome::Refused(refusal) => self.handle_refusal(caller, refusal),
        }
    }

    fn record_begun(&mut self, counter: usize, caller: Caller) {
        self.first_counter_served.begun += u64::from(counter == 0);
        self.record(caller.tenant, |served| served.begun += 1);
        if self.is_observed(caller) {
            self.returned.begun_after.push(self.now - caller.admissible_at);
        }
    }

    fn handle_refusal(&mut self, caller: Caller, refusal: OverLimit) {
        if self.loss.is_none() {
            return;
        }
        let retry_after = refusal.retry_after.as_millis() as u64;
        if self.is_observed(caller) {
            self.returned.retry_after.push(retry_after);
        }
        let retry_at = (self.now + retry_after).next_multiple_of(STEP);
        if caller.retries < MAX_RETRIES && retry_at < caller.arrived_at + PATIENCE {
            let caller = Caller { retries: caller.retries + 1, ..caller };
            self.returning.entry(retry_at).or_default().push(caller);
        }
    }

    /// Reports whether a caller arrived while all processes were lost, or in the second after.
    fn is_observed(&self, caller: Caller) -> bool {
        let includes_arrival = |loss: &std::ops::Range<u64>| {
            (loss.start..loss.end + DOCUMENT_DELAY.end + 1_000).contains(&caller.arrived_at)
        };
        self.loss.as_ref().is_some_and(includes_arrival)
    }

    fn record(&mut self, tenant: usize, update: impl FnOnce(&mut Served)) {
        if self.now >= COUNTED_FROM {
            let phase = usize::from(self.now >= HOT_FROM);
            update(&mut self.served[phase][tenant]);
        }
    }

    pub fn settle(&mut self) {
        for counter in 0..self.counters.len() {
            for SettledRequest { number, outcome } in self.counters[counter].settle(at_ms(self.now))
            {
                let caller = self.waiting.remove(&(counter, number)).expect("a waiting caller");
                match outcome {
                    Ok(_) => self.record_begun(counter, caller),
                    Err(refusal) => self.handle_refusal(caller, refusal),
                }
            }
        }
    }
}
