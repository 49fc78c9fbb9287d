//! Which other gateways count as answering, how long they are waited for, and which of them get
//! requests.

use corktack_core::distance::Distance;
use corktack_core::gateway::{Holder, HolderChoice, PeerTable, RoundTrip};
use corktack_core::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

fn time(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn holder(number: u8) -> Holder {
    let address = SocketAddr::from(([10, 0, 0, number], 7_443));
    Holder { address, distance: Distance::SameRegion }
}

fn holders_to_ask(choice: &HolderChoice, now: u64, peers: &PeerTable, most: usize) -> Vec<Holder> {
    choice.candidates(time(now), peers, most)
}

fn choice(holders: &[Holder]) -> HolderChoice {
    let mut choice = HolderChoice::default();
    choice.replace(holders);
    choice
}

#[test]
fn the_wait_for_an_answer_follows_the_round_trips_seen() {
    let mut round_trip = RoundTrip::default();
    assert_eq!(round_trip.limit(), millis(100), "before the first sample");
    (0..50).for_each(|_| round_trip.record(millis(40)));
    assert_eq!(round_trip.limit().as_millis(), 40, "constant round trips have no variation");
    (0..5).for_each(|_| round_trip.record(millis(70)));
    let after_jitter = round_trip.limit();
    assert!(after_jitter > millis(90), "{after_jitter:?}");
    (0..50).for_each(|_| round_trip.record(millis(1)));
    assert_eq!(round_trip.limit(), millis(30), "a timer may be some ticks late");
    (0..50).for_each(|_| round_trip.record(millis(900)));
    assert_eq!(round_trip.limit(), millis(200), "a longer wait is worse than another gateway");
}

#[test]
fn round_trips_are_kept_by_distance() {
    let mut peers = PeerTable::default();
    (0..50).for_each(|_| peers.record_connected(Distance::SameZone, millis(1)));
    assert_eq!(peers.round_trip_limit(Distance::SameZone), millis(30));
    assert_eq!(peers.round_trip_limit(Distance::OtherRegion), millis(100));
    assert_eq!(peers.stagger(Distance::SameZone), millis(15));
    assert_eq!(
        peers.stagger(Distance::OtherRegion),
        millis(50),
        "another gateway is tried concurrently"
    );
}

#[test]
fn a_gateway_that_does_not_answer_is_avoided_for_growing_pauses() {
    let mut peers = PeerTable::default();
    let address = holder(1).address;
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        peers.record_unanswered(address, time(now));
        // Other statements in flight report the same silence.
        peers.record_unanswered(address, time(now + 1));
        let pause = (0..).take_while(|more| peers.is_avoided(address, time(now + more))).count();
        pauses.push(pause);
        now += pause as u64;
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000]);
    peers.record_answered(address, time(now));
    peers.record_unanswered(address, time(now));
    assert!(!peers.is_avoided(address, time(now + 250)), "an answer resets the pause");
}

#[test]
fn a_gateway_counts_as_answering_until_it_fails_to_answer_or_its_last_answer_is_old() {
    let mut peers = PeerTable::default();
    let address = holder(1).address;
    assert!(!peers.answers(address, time(0)), "the gateway has not answered yet");
    peers.record_answered(address, time(0));
    assert!(peers.answers(address, time(9_999)));
    assert!(!peers.answers(address, time(10_000)), "the gateway may have been lost since");
    peers.record_answered(address, time(10_000));
    peers.record_unanswered(address, time(10_001));
    assert!(!peers.answers(address, time(10_002)));
    peers.record_answered(address, time(10_003));
    assert!(peers.answers(address, time(10_004)));
}

#[test]
fn gateways_that_did_not_answer_or_refused_are_skipped() {
    let mut peers = PeerTable::default();
    let holders = [holder(1), holder(2), holder(3), holder(4)];
    let mut choice = choice(&holders);
    assert_eq!(holders_to_ask(&choice, 0, &peers, 3), holders[..3]);
    peers.record_unanswered(holder(1).address, time(0));
    choice.record_refusal(holder(3).address, time(0));
    assert_eq!(holders_to_ask(&choice, 0, &peers, 3), [holder(2), holder(4)]);
    assert_eq!(holders_to_ask(&choice, 250, &peers, 3), [holder(1), holder(2), holder(4)]);
    assert_eq!(
        holders_to_ask(&choice, 500, &peers, 3),
        holders[..3],
        "the first holder is preferred again"
    );
    choice.record_refusal(holder(1).address, time(500));
    choice.record_served(holder(1).address);
    assert_eq!(holders_to_ask(&choice, 500, &peers, 1), [holder(1)]);
}

#[test]
fn a_refusal_is_kept_when_other_holders_change() {
    let peers = PeerTable::default();
    let mut choice = choice(&[holder(1), holder(2)]);
    choice.record_refusal(holder(1).address, time(0));
    choice.replace(&[holder(3), holder(1)]);
    assert_eq!(holders_to_ask(&choice, 100, &peers, 3), [holder(3)]);
    assert_eq!(holders_to_ask(&choice, 500, &peers, 3), [holder(3), holder(1)]);
}
