//! Load test of the choice of members for reads: the share of each member while one member is slow,
//! then while another one fails, and afterwards.
//!
//! Eight members in six zones run four statements concurrently, 22 ms each. 48 gateways send them
//! 0.6 of the load that they can serve, in waves that differ between zones. From 10 to 18 s, one
//! member takes 6.5 times as long; from 24 to 30 s, another one fails 41 % of its statements after
//! 1 ms. A failed read is sent to another member. For comparison, the same reads are sent to the
//! member with the least latency as last observed.

use corktack_core::distance::Distance;
use corktack_core::gateway::{
    MemberEstimate, MemberLoad, ReaderPreferences, ReportedLoad, choose_reader,
};
use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const MEMBERS: usize = 8;
const GATEWAYS: usize = 48;
const ZONES: usize = 6;
const SLOTS: usize = 4;
/// Milliseconds that a statement runs.
const WORK: f64 = 22.0;
/// Fraction of the members' capacity that the statements take.
const LOAD: f64 = 0.6;
/// End of the run in microseconds, the unit of all event times.
const END: u64 = 40_000_000;
const SLOW: (usize, std::ops::Range<u64>) = (1, 10_000_000..18_000_000);
const FAILING: (usize, std::ops::Range<u64>) = (2, 24_000_000..30_000_000);
/// Length of the periods for which results are collected.
const PERIOD: u64 = 5_000_000;
/// Milliseconds after which an answer is late.
const OBJECTIVE: u64 = 250;

/// Policy by which a member is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Choice {
    /// The policy of the gateways.
    GatewayPolicy,
    /// The least latency, whatever its age and whatever share was served.
    LeastEstimate,
}

struct Gateway {
    estimates: Vec<MemberEstimate>,
    running: Vec<usize>,
    preferences: ReaderPreferences,
}

#[derive(Default)]
struct Member {
    running: usize,
    waiting: VecDeque<usize>,
    /// Mean latency of a statement in milliseconds.
    latency: f64,
}

/// A read in flight.
#[derive(Clone, Copy)]
struct Read {
    gateway: usize,
    member: usize,
    begun: u64,
    sent: u64,
    arrived: u64,
    failed_at: [bool; MEMBERS],
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask,
    Arrive(usize),
    Ran(usize),
    Answer(usize),
    Failure(usize),
}

/// Results of one period.
#[derive(Clone, Debug, Default)]
struct Period {
    offers: [u64; MEMBERS],
    asked: u64,
    late: u64,
    failures: u64,
}

impl Period {
    fn share(&self, member: usize) -> f64 {
        self.offers[member] as f64 * MEMBERS as f64 / self.offers.iter().sum::<u64>() as f64
    }

    fn busiest(&self) -> f64 {
        (0..MEMBERS).map(|member| self.share(member)).fold(0.0, f64::max)
    }
}

struct Simulation {
    choice: Choice,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    members: Vec<Member>,
    names: Vec<MemberName>,
    reads: Vec<Read>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    periods: Vec<Period>,
}

/// Zones of gateways and members follow from their numbers; the zones are in two regions.
fn distance(gateway: usize, member: usize) -> Distance {
    match (gateway % ZONES, member % ZONES) {
        (left, right) if left == right => Distance::SameZone,
        (left, right) if left % 2 == right % 2 => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

/// Round trip in microseconds.
fn round_trip(gateway: usize, member: usize) -> u64 {
    match distance(gateway, member) {
        Distance::SameZone => 1_000,
        Distance::SameRegion => 4_000,
        Distance::OtherRegion => 42_000,
    }
}

fn at(micros: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_micros(micros)
}

impl Simulation {
    fn new(choice: Choice) -> Self {
        let gateway = |place: usize| Gateway {
            estimates: (0..MEMBERS)
                .map(|member| MemberEstimate::new(distance(place, member)))
                .collect(),
            running: vec![0; MEMBERS],
            preferences: ReaderPreferences::for_gateway(
                &ProxyName::new(format!("g{place}")).expect("a valid name"),
            ),
        };
        let name = |place| MemberName::new(format!("m{place}")).expect("a valid name");
        let member = |_| Member { latency: WORK, ..Member::default() };
        Self {
            choice,
            random: ChaCha8Rng::seed_from_u64(1),
            gateways: (0..GATEWAYS).map(gateway).collect(),
            members: (0..MEMBERS).map(member).collect(),
            names: (0..MEMBERS).map(name).collect(),
            reads: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            periods: vec![Period::default(); (END / PERIOD) as usize],
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn period(&mut self, at: u64) -> &mut Period {
        let last = self.periods.len() - 1;
        &mut self.periods[((at / PERIOD) as usize).min(last)]
    }

    fn run_to_end(mut self) -> Vec<Period> {
        self.schedule(0, Event::Ask);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= END {
                break;
            }
            match event {
                Event::Ask => self.ask(now),
                Event::Arrive(read) => self.arrive(now, read),
                Event::Ran(read) => self.finish(now, read),
                Event::Answer(read) => self.answer(now, read),
                Event::Failure(read) => self.fail(now, read),
            }
        }
        self.periods
    }

    fn ask(&mut self, now: u64) {
        let per_micro = LOAD * (MEMBERS * SLOTS) as f64 / (WORK * 1_000.0);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / per_micro;
        self.schedule(now + gap as u64, Event::Ask);
        let wave = |zone: usize| 1.0 + 0.55 * ((now as f64 / 8e6 + zone as f64) * 1.047).sin();
        let mut drawn = self.random.random::<f64>() * (0..ZONES).map(wave).sum::<f64>();
        let passed = |zone: &usize| {
            drawn -= wave(*zone);
            drawn <= 0.0
        };
        let zone = (0..ZONES).find(passed).unwrap_or(ZONES - 1);
        let gateway = self.random.random_range(0..GATEWAYS / ZONES) * ZONES + zone;
        let failed_at = [false; MEMBERS];
        self.reads.push(Read {
            gateway,
            member: 0,
            begun: now,
            sent: now,
            arrived: now,
            failed_at,
        });
        self.period(now).asked += 1;
        self.offer(now, self.reads.len() - 1);
    }

    fn offer(&mut self, now: u64, number: usize) {
        let read = self.reads[number];
        let gateway = &mut self.gateways[read.gateway];
        let candidates: Vec<usize> =
            (0..MEMBERS).filter(|member| !read.failed_at[*member]).collect();
        let preferred = gateway.preferences.next_preference(None);
        let load = |member: &usize| {
            let load =
                gateway.estimates[*member].load(gateway.running[*member], SLOTS as f64, at(now));
            match self.choice {
                Choice::GatewayPolicy => {
                    let preference = preferred.weight(&self.names[*member]);
                    MemberLoad { preference, ..load }
                }
                Choice::LeastEstimate => MemberLoad { age: Duration::ZERO, served: 1.0, ..load },
            }
        };
        let loads: Vec<MemberLoad> = candidates.iter().map(load).collect();
        let place = choose_reader(&loads);
        let member = candidates[place.expect("a member that has not failed it")];
        gateway.running[member] += 1;
        self.reads[number] = Read { member, sent: now, ..read };
        self.schedule(now + round_trip(read.gateway, member) / 2, Event::Arrive(number));
    }

    fn arrive(&mut self, now: u64, number: usize) {
        self.reads[number].arrived = now;
        let Read { gateway, member, .. } = self.reads[number];
        self.period(now).offers[member] += 1;
        if member == FAILING.0 && FAILING.1.contains(&now) && self.random.random_bool(0.41) {
            return self
                .schedule(now + 1_000 + round_trip(gateway, member) / 2, Event::Failure(number));
        }
        if self.members[member].running == SLOTS {
            return self.members[member].waiting.push_back(number);
        }
        self.members[member].running += 1;
        self.run(now, number);
    }

    fn run(&mut self, now: u64, number: usize) {
        let is_slow = self.reads[number].member == SLOW.0 && SLOW.1.contains(&now);
        let times = if is_slow { 6.5 } else { 1.0 };
        let work = WORK * self.random.random_range(0.7..1.3) * times;
        self.schedule(now + (work * 1_000.0) as u64, Event::Ran(number));
    }

    fn finish(&mut self, now: u64, number: usize) {
        let Read { gateway, member, arrived, .. } = self.reads[number];
        let taken = (now - arrived) as f64 / 1_000.0;
        let serving = &mut self.members[member];
        serving.latency = serving.latency * 0.9 + taken * 0.1;
        match serving.waiting.pop_front() {
            Some(next) => self.run(now, next),
            None => serving.running -= 1,
        }
        self.schedule(now + round_trip(gateway, member) / 2, Event::Answer(number));
    }

    fn answer(&mut self, now: u64, number: usize) {
        let Read { gateway, member, begun, sent, arrived, .. } = self.reads[number];
        let serving = &self.members[member];
        let spent = now - round_trip(gateway, member) / 2 - arrived;
        let reported = ReportedLoad {
            spent: Duration::from_micros(spent),
            latency: Duration::from_secs_f64(serving.latency / 1_000.0),
            waiting: serving.waiting.len() as f64 / SLOTS as f64,
        };
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.running[member] -= 1;
        gateway_state.estimates[member].record_reported(
            &reported,
            Duration::from_micros(now - sent),
            at(now),
        );
        gateway_state.estimates[member].record_served_remotely(at(now));
        self.period(begun).late += u64::from(now - begun > OBJECTIVE * 1_000);
    }

    fn fail(&mut self, now: u64, number: usize) {
        let Read { gateway, member, .. } = self.reads[number];
        self.reads[number].failed_at[member] = true;
        self.gateways[gateway].running[member] -= 1;
        self.gateways[gateway].estimates[member].record_unserved(at(now));
        self.period(now).failures += 1;
        self.offer(now, number);
    }
}

fn sum(periods: &[Period], of: impl Fn(&Period) -> u64) -> u64 {
    periods.iter().map(of).sum()
}

#[test]
fn a_slow_or_failing_member_gets_fewer_reads_and_then_its_share_again() {
    let product = Simulation::new(Choice::GatewayPolicy).run_to_end();
    let least = Simulation::new(Choice::LeastEstimate).run_to_end();
    for (name, periods) in [("product", &product), ("least estimate", &least)] {
        for (place, period) in periods.iter().enumerate() {
            println!(
                "{name} from {} s: busiest {:.2}, slow one {:.2}, failing one {:.2}, late {} of {}, failures {}",
                place as u64 * PERIOD / 1_000_000,
                period.busiest(),
                period.share(SLOW.0),
                period.share(FAILING.0),
                period.late,
                period.asked,
                period.failures
            );
        }
    }
    assert!(product[0].busiest() < 1.2, "no member is slow or failing yet");
    assert!(product[3].share(SLOW.0) < 0.35, "the member is slow for most of the period");
    assert!(product[7].share(SLOW.0) > 0.8, "the member is as fast as the others again");
    assert!(least[7].share(SLOW.0) < 0.1, "the least estimate never tries the member again");
    assert!(product[7].busiest() < 1.2, "no member is slow or failing any more");
    let failures = |periods| sum(periods, |period| period.failures);
    assert!(failures(&product) * 4 < failures(&least) * 3, "a failing member gets fewer reads");
    let late = |periods| sum(periods, |period| period.late);
    assert!(late(&product) <= late(&least), "reads leave a slow member in time");
}
