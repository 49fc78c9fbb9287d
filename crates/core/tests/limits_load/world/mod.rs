//! Simulation of gateways that count operations of tenants, the leader that grants them allowances, and
//! callers.

mod callers;
mod losses;
mod messages;

use callers::{Caller, Returned, Served};
use corktack_core::limits::{
    GatewayLimits, LimitBounds, LimitLedger, LimitTerms, OperationRequestNumber,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{ApiKey, TenantDirectory, TenantName, TenantRate, TenantRule};
use corktack_core::time::Timestamp;
use losses::incarnation;
use messages::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

const TENANTS: usize = 76;
pub const GATEWAYS: usize = 68;
pub const ZONES: usize = 6;
/// Operations a second of all tenants together.
const OPERATIONS: f64 = 800.0;
/// Exponent of the Zipf distribution of operations over tenants.
const SKEW: f64 = 1.2;
/// Limits as a multiple of the usual rates.
const LIMIT_FACTOR: f64 = 1.6;
/// Milliseconds of a simulation step.
const STEP: u64 = 5;
/// Time at which the hot tenant begins to send more, in milliseconds.
const HOT_FROM: u64 = 30_000;
const HOT_TENANT: usize = 3;

fn bounds() -> LimitBounds {
    let tolerant = LimitBounds { overshoot: 0.1, slack: 20.0, ..LimitBounds::default() };
    LimitBounds { window: Duration::from_secs(5), ..tolerant }
}

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

struct Terms {
    rates: BTreeMap<TenantName, TenantRate>,
    ceilings: BTreeMap<TenantName, u64>,
}

impl LimitTerms for Terms {
    fn rate(&self, tenant: &TenantName) -> Option<TenantRate> {
        self.rates.get(tenant).copied()
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        self.ceilings.get(tenant).copied()
    }
}

pub struct World {
    rng: ChaCha8Rng,
    now: u64,
    tenants: Vec<(TenantName, f64)>,
    directory: TenantDirectory,
    terms: Terms,
    counters: Vec<GatewayLimits>,
    reported_at: Vec<u64>,
    ledger: LimitLedger,
    messages: BTreeMap<(u64, u64), Message>,
    messages_sent: u64,
    waiting: HashMap<(usize, OperationRequestNumber), Caller>,
    /// Results by tenant, before and after the hot tenant begins to send more.
    served: [Vec<Served>; 2],
    /// Time range in which all processes are lost.
    loss: Option<std::ops::Range<u64>>,
    /// Callers that will return, by time.
    returning: BTreeMap<u64, Vec<Caller>>,
    returned: Returned,
    /// Results of the callers whose operations the first gateway counts.
    first_counter_served: Served,
}

impl World {
    /// Creates a simulation in which `counters` gateways count operations.
    pub fn new(counters: usize) -> Self {
        let weights: Vec<f64> = (1..=TENANTS).map(|rank| (rank as f64).powf(-SKEW)).collect();
        let total_weight: f64 = weights.iter().sum();
        let tenants: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| {
                let name = TenantName::new(&format!("t{number:02}")).expect("a valid name");
                (name, OPERATIONS * weight / total_weight)
            })
            .collect();
        let rate = |usual: f64| TenantRate { per_second: usual * LIMIT_FACTOR, burst: 0.0 };
        let rates: BTreeMap<_, _> =
            tenants.iter().map(|(name, usual)| (name.clone(), rate(*usual))).collect();
        let mut directory = TenantDirectory::default();
        let rules = rates.iter().map(|(name, rate)| TenantRule {
            name: name.clone(),
            keys: vec![ApiKey::new(name.as_str())],
            rate: Some(*rate),
        });
        directory.update(&rules.collect::<Vec<_>>());
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(7),
            now: 0,
            counters: Vec::new(),
            reported_at: vec![0; counters],
            ledger: LimitLedger::new(at_ms(0), Term(1), bounds(), BTreeSet::new(), BTreeMap::new()),
            directory,
            terms: Terms { rates, ceilings: BTreeMap::new() },
            messages: BTreeMap::new(),
            messages_sent: 0,
            waiting: HashMap::new(),
            served: [vec![Served::default(); TENANTS], vec![Served::default(); TENANTS]],
            loss: None,
            returning: BTreeMap::new(),
            returned: Returned::default(),
            first_counter_served: Served::default(),
            tenants,
        };
        world.start_counters(1);
        world.counters.iter_mut().for_each(|counter| counter.follow_leader(at_ms(0), Term(1)));
        world
    }

    /// Starts all counting gateways in the given incarnation.
    fn start_counters(&mut self, incarnation_number: u64) {
        let numbers = 0..self.reported_at.len();
        self.counters =
            numbers.map(|number| self.start_counter(number, incarnation_number)).collect();
    }

    fn start_counter(&self, number: usize, incarnation_number: u64) -> GatewayLimits {
        let present = incarnation(number, incarnation_number);
        let mut limits =
            GatewayLimits::new(at_ms(self.now), present.gateway, present.incarnation, bounds());
        limits.apply_rates(Some(&self.directory));
        limits
    }

    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            if let Some(loss) = self.loss.clone() {
                self.apply_loss(&loss);
            }
            self.deliver_messages();
            self.generate_callers();
            self.settle();
            if self.has_no_leader() {
                continue;
            }
            self.report();
            let answer = self.ledger.offer_again(at_ms(self.now), &self.terms);
            self.send_answer(answer);
            let Terms { ceilings, .. } = &self.terms;
            let lowered = self.ledger.lower_ceilings(at_ms(self.now), ceilings, &self.terms);
            self.log_ceilings(lowered);
        }
    }

    /// Returns the fraction of the operations that were refused of tenants below their limits.
    pub fn refused_below_limits(&self) -> f64 {
        let mut total = Served::default();
        for (phase, served) in self.served.iter().enumerate() {
            for (tenant, served) in served.iter().enumerate() {
                if phase == 0 || tenant != HOT_TENANT {
                    total.requested += served.requested;
                    total.begun += served.begun;
                }
            }
        }
        1.0 - total.begun as f64 / total.requested as f64
    }

    /// Returns the fraction of its limit that the hot tenant has got until now.
    pub fn hot_tenant_fraction(&self) -> f64 {
        let (name, _) = &self.tenants[HOT_TENANT];
        let limit = self.ledger.window_limit(self.terms.rates[name]) as f64;
        let windows = (self.now - HOT_FROM) as f64 / 5_000.0;
        self.served[1][HOT_TENANT].begun as f64 / (limit * windows)
    }
}
