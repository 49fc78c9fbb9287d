//! Gateways that count operations of tenants, the leader that gives them allowances, and callers.

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
/// Operations a second, all tenants together.
const OPERATIONS: f64 = 800.0;
const SKEW: f64 = 1.2;
/// Limits by the usual rates.
const LIMIT_PART: f64 = 1.6;
/// Milliseconds of a step.
const STEP: u64 = 5;
/// Milliseconds: when the hot tenant begins.
const HOT: u64 = 30_000;
const HOT_TENANT: usize = 3;

fn bounds() -> LimitBounds {
    let room = LimitBounds { overshoot: 0.1, slack: 20.0, ..LimitBounds::default() };
    LimitBounds { window: Duration::from_secs(5), ..room }
}

fn at(millis: u64) -> Timestamp {
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
    draws: ChaCha8Rng,
    now: u64,
    tenants: Vec<(TenantName, f64)>,
    directory: TenantDirectory,
    terms: Terms,
    counters: Vec<GatewayLimits>,
    reported_at: Vec<u64>,
    ledger: LimitLedger,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    waiting: HashMap<(usize, OperationRequestNumber), Caller>,
    /// Before and after the hot tenant begins.
    served: [Vec<Served>; 2],
    /// When everything is lost, and when all of it starts again.
    loss: Option<std::ops::Range<u64>>,
    /// Callers that are to come back, by when.
    coming: BTreeMap<u64, Vec<Caller>>,
    returned: Returned,
    /// What callers got whose operations the first gateway counts.
    at_first: Served,
}

impl World {
    /// Operations are counted at so many gateways.
    pub fn new(counters: usize) -> Self {
        let weights: Vec<f64> = (1..=TENANTS).map(|rank| (rank as f64).powf(-SKEW)).collect();
        let all: f64 = weights.iter().sum();
        let tenants: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| {
                let name = TenantName::new(&format!("t{number:02}")).expect("a valid name");
                (name, OPERATIONS * weight / all)
            })
            .collect();
        let rate = |usual: f64| TenantRate { per_second: usual * LIMIT_PART, burst: 0.0 };
        let rates: BTreeMap<_, _> =
            tenants.iter().map(|(name, usual)| (name.clone(), rate(*usual))).collect();
        let mut directory = TenantDirectory::default();
        let rules = rates.iter().map(|(name, rate)| TenantRule {
            name: name.clone(),
            keys: vec![ApiKey::new(name.as_str())],
            rate: Some(*rate),
        });
        directory.follow(&rules.collect::<Vec<_>>());
        let mut world = Self {
            draws: ChaCha8Rng::seed_from_u64(7),
            now: 0,
            counters: Vec::new(),
            reported_at: vec![0; counters],
            ledger: LimitLedger::new(at(0), Term(1), bounds(), BTreeSet::new(), BTreeMap::new()),
            directory,
            terms: Terms { rates, ceilings: BTreeMap::new() },
            messages: BTreeMap::new(),
            sent: 0,
            waiting: HashMap::new(),
            served: [vec![Served::default(); TENANTS], vec![Served::default(); TENANTS]],
            loss: None,
            coming: BTreeMap::new(),
            returned: Returned::default(),
            at_first: Served::default(),
            tenants,
        };
        world.start_counters(1);
        world.counters.iter_mut().for_each(|counter| counter.follow_leader(at(0), Term(1)));
        world
    }

    /// `run`: the number of this incarnation of all that count.
    fn start_counters(&mut self, run: u64) {
        let numbers = 0..self.reported_at.len();
        self.counters = numbers.map(|number| self.start_counter(number, run)).collect();
    }

    fn start_counter(&self, number: usize, run: u64) -> GatewayLimits {
        let it = incarnation(number, run);
        let mut limits = GatewayLimits::new(at(self.now), it.gateway, it.incarnation, bounds());
        limits.follow(Some(&self.directory));
        limits
    }

    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            if let Some(loss) = self.loss.clone() {
                self.lose(&loss);
            }
            self.take_messages();
            self.arrive();
            self.settle();
            if self.is_lost() {
                continue;
            }
            self.report();
            let answer = self.ledger.offer_again(at(self.now), &self.terms);
            self.send_answer(answer);
            let Terms { ceilings, .. } = &self.terms;
            let lowered = self.ledger.lower_ceilings(at(self.now), ceilings, &self.terms);
            self.log(lowered);
        }
    }

    /// Part of the operations that were refused of tenants that stay below their limits.
    pub fn refused_below(&self) -> f64 {
        let mut all = Served::default();
        for (phase, served) in self.served.iter().enumerate() {
            for (tenant, served) in served.iter().enumerate() {
                if phase == 0 || tenant != HOT_TENANT {
                    all.asked += served.asked;
                    all.begun += served.begun;
                }
            }
        }
        1.0 - all.begun as f64 / all.asked as f64
    }

    /// Part of its limit that the hot tenant got until now.
    pub fn hot_part(&self) -> f64 {
        let (name, _) = &self.tenants[HOT_TENANT];
        let limit = self.ledger.window_limit(self.terms.rates[name]) as f64;
        let windows = (self.now - HOT) as f64 / 5_000.0;
        self.served[1][HOT_TENANT].begun as f64 / (limit * windows)
    }
}
