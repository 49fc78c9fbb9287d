//! Which other gateways answer, how long they are waited for, and which of them are asked.

use corktack_core::distance::Distance;
use corktack_core::gateway::{Holder, HolderChoice, PeerTable, RoundTrip};
use corktack_core::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn holder(number: u8) -> Holder {
    let address = SocketAddr::from(([10, 0, 0, number], 7_443));
    Holder { address, distance: Distance::SameRegion }
}

fn asked(choice: &HolderChoice, now: u64, peers: &PeerTable, most: usize) -> Vec<Holder> {
    choice.to_ask(at(now), peers, most)
}

fn choice(holders: &[Holder]) -> HolderChoice {
    let mut choice = HolderChoice::default();
    choice.replace(holders);
    choice
}

#[test]
fn an_answer_is_waited_for_by_the_round_trips_seen() {
    let mut round_trip = RoundTrip::default();
    assert_eq!(round_trip.limit(), millis(100), "before the first sample");
    (0..50).for_each(|_| round_trip.record(millis(40)));
    assert_eq!(round_trip.limit().as_millis(), 40, "steady ones leave no doubt");
    (0..5).for_each(|_| round_trip.record(millis(70)));
    let after_jitter = round_trip.limit();
    assert!(after_jitter > millis(90), "{after_jitter:?}");
    (0..50).for_each(|_| round_trip.record(millis(1)));
    assert_eq!(round_trip.limit(), millis(30), "a timer may be some ticks late");
    (0..50).for_each(|_| round_trip.record(millis(900)));
    assert_eq!(round_trip.limit(), millis(200), "another gateway is the better choice by then");
}

#[test]
fn round_trips_are_known_by_distance() {
    let mut peers = PeerTable::default();
    (0..50).for_each(|_| peers.note_connected(Distance::SameZone, millis(1)));
    assert_eq!(peers.round_trip_limit(Distance::SameZone), millis(30));
    assert_eq!(peers.round_trip_limit(Distance::OtherRegion), millis(100));
    assert_eq!(peers.stagger(Distance::SameZone), millis(15));
    assert_eq!(peers.stagger(Distance::OtherRegion), millis(50), "another is tried beside it");
}

#[test]
fn a_gateway_that_does_not_answer_is_left_aside_for_growing_pauses() {
    let mut peers = PeerTable::default();
    let address = holder(1).address;
    let mut now = 0;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        peers.note_unanswered(address, at(now));
        // Other statements that were under way say the same of the same silence.
        peers.note_unanswered(address, at(now + 1));
        let pause = (0..).take_while(|more| peers.is_avoided(address, at(now + more))).count();
        pauses.push(pause);
        now += pause as u64;
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000]);
    peers.note_answered(address, at(now));
    peers.note_unanswered(address, at(now));
    assert!(!peers.is_avoided(address, at(now + 250)), "an answer makes it as good as new");
}

#[test]
fn a_gateway_counts_as_one_that_answers_until_it_is_silent_or_long_unheard() {
    let mut peers = PeerTable::default();
    let address = holder(1).address;
    assert!(!peers.answers(address, at(0)), "nothing is known of it");
    peers.note_answered(address, at(0));
    assert!(peers.answers(address, at(9_999)));
    assert!(!peers.answers(address, at(10_000)), "it may have been lost since");
    peers.note_answered(address, at(10_000));
    peers.note_unanswered(address, at(10_001));
    assert!(!peers.answers(address, at(10_002)));
    peers.note_answered(address, at(10_003));
    assert!(peers.answers(address, at(10_004)));
}

#[test]
fn gateways_that_are_silent_or_refused_are_passed_over() {
    let mut peers = PeerTable::default();
    let holders = [holder(1), holder(2), holder(3), holder(4)];
    let mut choice = choice(&holders);
    assert_eq!(asked(&choice, 0, &peers, 3), holders[..3]);
    peers.note_unanswered(holder(1).address, at(0));
    choice.refused(holder(3).address, at(0));
    assert_eq!(asked(&choice, 0, &peers, 3), [holder(2), holder(4)]);
    assert_eq!(asked(&choice, 250, &peers, 3), [holder(1), holder(2), holder(4)]);
    assert_eq!(asked(&choice, 500, &peers, 3), holders[..3], "the first is preferred again");
    choice.refused(holder(1).address, at(500));
    choice.served(holder(1).address);
    assert_eq!(asked(&choice, 500, &peers, 1), [holder(1)]);
}

#[test]
fn what_a_holder_said_is_remembered_when_others_change() {
    let peers = PeerTable::default();
    let mut choice = choice(&[holder(1), holder(2)]);
    choice.refused(holder(1).address, at(0));
    choice.replace(&[holder(3), holder(1)]);
    assert_eq!(asked(&choice, 100, &peers, 3), [holder(3)]);
    assert_eq!(asked(&choice, 500, &peers, 3), [holder(3), holder(1)]);
}
