//! Gateways that count operations of tenants, the leader that gives them allowances, and callers.

use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, CeilingChange, GatewayIncarnation, GatewayLimits,
    LedgerAnswer, LimitBounds, LimitLedger, LimitTerms, OperationOutcome, OperationRequest,
    OperationRequestNumber, OverLimit, SettledRequest,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{ApiKey, TenantDirectory, TenantName, TenantRate, TenantRule};
use corktack_core::time::Timestamp;
use rand::{Rng, SeedableRng};
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
/// Milliseconds: of a step, on the way to the leader, until a ceiling is in the log, between regular and
/// between urgent reports, and how long an operation may wait (0.8 of 0.22 of an objective of 500 ms).
const STEP: u64 = 5;
const WAY: u64 = 21;
const COMMIT: u64 = 45;
const REPORT_INTERVAL: u64 = 250;
const REPORT_SPACING: u64 = 20;
const WAIT: u64 = 88;
/// Milliseconds: when what is counted begins, the time in which all ask for more, when the hot tenant
/// begins.
const SETTLED: u64 = 15_000;
const BURST: std::ops::Range<u64> = 20_000..26_000;
const HOT: u64 = 30_000;
const HOT_TENANT: usize = 3;
/// Milliseconds after a restart of everything: until a new leader has its books, and until gateways have
/// a document by which they let callers in, the first and the last of them (as seen on the users' days).
const BOOKS: u64 = 300;
const DOCUMENTS: std::ops::Range<u64> = 350..700;
/// Milliseconds over which callers come back that found nobody.
const RETURN: u64 = 500;
/// Milliseconds that a caller goes on for, and how often it comes back.
const PATIENCE: u64 = 6_000;
const RETRIES: u32 = 2;

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

enum Message {
    Report(AllowanceReport),
    Grant(AllowanceGrant),
    /// Changes of ceilings are in the log.
    Logged(Vec<CeilingChange>),
}

/// What callers of a tenant got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u64,
    begun: u64,
}

/// A caller with one operation.
#[derive(Clone, Copy, Debug)]
struct Caller {
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
    pub told: Vec<u64>,
}

impl Returned {
    /// Part of the callers whose operation began so many milliseconds after they could be let in.
    pub fn begun_within(&self, millis: u64) -> f64 {
        let begun = self.begun_after.iter().filter(|after| **after <= millis).count();
        begun as f64 / self.callers as f64
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

fn life(number: usize, incarnation: u64) -> GatewayIncarnation {
    GatewayIncarnation {
        gateway: ProxyName::new(format!("g{number}")).expect("a valid name"),
        incarnation: Incarnation(incarnation),
    }
}

fn lives(counters: usize, incarnation: u64) -> BTreeSet<GatewayIncarnation> {
    (0..counters).map(|number| life(number, incarnation)).collect()
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

    /// Loses all processes for a time, and plays on until callers have come back.
    pub fn lose_all(&mut self, loss: std::ops::Range<u64>) -> &Returned {
        let end = loss.end + PATIENCE + 2_000;
        self.loss = Some(loss);
        self.run(end);
        &self.returned
    }

    /// Has another process count in place of the first gateway's, from now on; gives the part of its
    /// callers' operations that are refused in the window after.
    pub fn replace_first(&mut self) -> f64 {
        self.counters[0] = self.start_counter(0, 2);
        self.counters[0].follow_leader(at(self.now), Term(1));
        let mut lives = lives(self.counters.len(), 1);
        lives.remove(&life(0, 1));
        lives.insert(life(0, 2));
        self.ledger.follow_gateways(at(self.now), &lives);
        self.waiting.retain(|(counter, _), _| *counter != 0);
        self.at_first = Served::default();
        self.run(self.now + 5_000);
        1.0 - self.at_first.begun as f64 / self.at_first.asked as f64
    }

    fn start_counters(&mut self, incarnation: u64) {
        let numbers = 0..self.reported_at.len();
        self.counters = numbers.map(|number| self.start_counter(number, incarnation)).collect();
    }

    fn start_counter(&self, number: usize, incarnation: u64) -> GatewayLimits {
        let GatewayIncarnation { gateway, incarnation } = life(number, incarnation);
        let mut limits = GatewayLimits::new(at(self.now), gateway, incarnation, bounds());
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

    /// Whether no process is there, or none knows a leader yet.
    fn is_lost(&self) -> bool {
        let lost = |loss: &std::ops::Range<u64>| (loss.start..loss.end + BOOKS).contains(&self.now);
        self.loss.as_ref().is_some_and(lost)
    }

    /// What happens to the processes at a loss of everything.
    fn lose(&mut self, loss: &std::ops::Range<u64>) {
        if self.now == loss.start {
            self.messages.clear();
            self.waiting.clear();
            self.counters.clear();
        }
        if self.now == loss.end {
            self.start_counters(2);
        }
        if self.now == loss.end + BOOKS {
            let count = self.counters.len();
            let ceilings = self.terms.ceilings.clone();
            let known = lives(count, 1);
            self.ledger = LimitLedger::new(at(self.now), Term(2), bounds(), known, ceilings);
            self.ledger.follow_gateways(at(self.now), &lives(count, 2));
        }
        for number in 0..self.counters.len() {
            if self.now == loss.end + self.document_after(number) {
                self.counters[number].follow_leader(at(self.now), Term(2));
            }
        }
    }

    /// Milliseconds from a restart until a gateway has its document, in whole steps.
    fn document_after(&self, number: usize) -> u64 {
        let span = DOCUMENTS.end - DOCUMENTS.start;
        let after = DOCUMENTS.start + span * number as u64 / self.reported_at.len() as u64;
        after / STEP * STEP
    }

    fn take_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Message::Report(report) => self.answer(&report),
                Message::Grant(grant) => {
                    let now = at(self.now);
                    self.counters.iter_mut().for_each(|counter| counter.take(now, &grant));
                }
                Message::Logged(changes) => self.apply(changes),
            }
        }
    }

    fn apply(&mut self, changes: Vec<CeilingChange>) {
        let mut has_lowered = false;
        for change in changes {
            match change {
                CeilingChange::Raise(tenant, operations) => {
                    let ceiling = self.terms.ceilings.entry(tenant).or_default();
                    *ceiling = (*ceiling).max(operations);
                }
                CeilingChange::Lower(tenant, Some(operations)) => {
                    has_lowered = true;
                    self.terms.ceilings.insert(tenant, operations);
                }
                CeilingChange::Lower(tenant, None) => {
                    has_lowered = true;
                    self.terms.ceilings.remove(&tenant);
                }
            }
        }
        if has_lowered {
            self.ledger.lowered();
        }
    }

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

    fn arrive(&mut self) {
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
        let asked = self.counters[counter].ask(now, name, ask);
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
            self.returned.told.push(retry_after);
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

    fn settle(&mut self) {
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

    fn report(&mut self) {
        for counter in 0..self.counters.len() {
            let limits = &mut self.counters[counter];
            let spacing =
                if limits.is_urgent(at(self.now)) { REPORT_SPACING } else { REPORT_INTERVAL };
            if self.now < self.reported_at[counter] + spacing {
                continue;
            }
            self.reported_at[counter] = self.now;
            if let Some(report) = limits.report(at(self.now)) {
                self.send(Message::Report(report));
            }
        }
    }

    fn answer(&mut self, report: &AllowanceReport) {
        let answer = self.ledger.take_report(at(self.now), report, &self.terms);
        self.send_answer(answer);
    }

    fn send_answer(&mut self, LedgerAnswer { grants, ceilings }: LedgerAnswer) {
        self.log(ceilings);
        grants.into_iter().for_each(|grant| self.send(Message::Grant(grant)));
    }

    fn log(&mut self, changes: Vec<CeilingChange>) {
        if !changes.is_empty() {
            self.send_after(COMMIT, Message::Logged(changes));
        }
    }

    fn send(&mut self, message: Message) {
        self.send_after(WAY, message);
    }

    fn send_after(&mut self, delay: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
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
