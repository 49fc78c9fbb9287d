//! Who gets the next slot of a member: classes, tenants, deadlines, and who is refused when.

use corktack_core::identity::MemberName;
use corktack_core::scheduling::{
    Capacity, NoSlotInTime, ServiceTimes, SlotQueue, SlotRequest, SlotTarget, StatementKind,
};
use corktack_core::tenancy::TenantName;
use corktack_core::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);
const FOUR: Capacity = Capacity { slots: 4 };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn member(number: u32) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

fn tenant(name: &str) -> Option<TenantName> {
    Some(TenantName::new(name).expect("a valid name"))
}

/// A request at the first member that may wait for long.
fn request(priority: u32, name: &str) -> SlotRequest {
    SlotRequest {
        target: SlotTarget::At(member(1)),
        priority,
        tenant: tenant(name),
        cost: MILLISECOND * 10,
        give_up: at(10_000),
    }
}

fn order(queue: &mut SlotQueue<&'static str>) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.next(at(0), &member(1), true)).collect()
}

fn put(queue: &mut SlotQueue<&'static str>, request: SlotRequest, name: &'static str) {
    queue.enqueue(at(0), request, FOUR, name).expect("there is time");
}

#[test]
fn the_highest_class_is_served_first_and_arrivals_in_order() {
    let mut queue = SlotQueue::default();
    for (name, priority) in [("low", 2), ("first", 1), ("second", 1)] {
        put(&mut queue, request(priority, "alfa"), name);
    }
    assert_eq!(order(&mut queue), ["first", "second", "low"]);
}

#[test]
fn a_slot_goes_only_to_who_can_use_it() {
    let mut queue = SlotQueue::default();
    let target = |target| SlotRequest { target, ..request(1, "alfa") };
    put(&mut queue, target(SlotTarget::Primary), "writer");
    put(&mut queue, target(SlotTarget::At(member(2))), "at the second");
    let refused = BTreeSet::from([member(3)]);
    put(&mut queue, target(SlotTarget::AnyBut(refused)), "reader");
    assert_eq!(queue.next(at(0), &member(3), false), None);
    assert_eq!(queue.len_at(&member(2), false), 2);
    assert_eq!(queue.next(at(0), &member(2), false), Some("at the second"));
    assert_eq!(queue.next(at(0), &member(2), false), Some("reader"));
    assert_eq!(queue.next(at(0), &member(2), false), None);
    assert_eq!(queue.next(at(0), &member(2), true), Some("writer"));
    assert!(queue.is_empty());
}

#[test]
fn inside_a_tenant_the_one_whose_time_ends_first_goes_first() {
    let mut queue = SlotQueue::default();
    for (name, give_up) in [("late", 900), ("early", 300), ("middle", 600)] {
        let request = SlotRequest { give_up: at(give_up), ..request(1, "alfa") };
        put(&mut queue, request, name);
    }
    assert_eq!(order(&mut queue), ["early", "middle", "late"]);
}

#[test]
fn tenants_share_the_time_of_slots_and_not_their_number() {
    let mut queue = SlotQueue::default();
    for _ in 0..8 {
        put(&mut queue, SlotRequest { cost: MILLISECOND * 40, ..request(1, "alfa") }, "long");
    }
    for _ in 0..40 {
        put(&mut queue, request(1, "beta"), "short");
    }
    let first: Vec<_> = order(&mut queue).into_iter().take(25).collect();
    let long = first.iter().filter(|name| **name == "long").count();
    assert_eq!((long, first.len() - long), (5, 20), "as much time for both");
}

#[test]
fn a_tenant_that_comes_waits_for_no_more_of_others_than_it_asks_for_itself() {
    let mut queue = SlotQueue::default();
    for _ in 0..100 {
        put(&mut queue, request(1, "alfa"), "many");
    }
    put(&mut queue, request(1, "beta"), "one");
    let place = order(&mut queue).iter().position(|name| *name == "one");
    assert!(place.is_some_and(|place| place <= 1), "{place:?}");
}

#[test]
fn what_cannot_be_served_in_its_time_is_refused_when_it_comes() {
    let mut queue = SlotQueue::default();
    let hasty = SlotRequest { give_up: at(100), ..request(1, "alfa") };
    let mut refused = None;
    let mut taken = 0;
    while refused.is_none() {
        match queue.enqueue(at(0), hasty.clone(), FOUR, "hasty") {
            Ok(_) => taken += 1,
            Err(error) => refused = Some(error),
        }
    }
    // 0.6 of 100 ms of four slots are 24 times 10 ms.
    assert!((22..=25).contains(&taken), "{taken}");
    // A higher class does not wait for them, and another tenant for few of them.
    put(&mut queue, SlotRequest { priority: 0, ..hasty.clone() }, "higher");
    put(&mut queue, SlotRequest { tenant: tenant("beta"), ..hasty }, "other");
}

#[test]
fn refused_callers_are_told_times_of_their_own() {
    let mut queue = SlotQueue::default();
    let hasty = SlotRequest { give_up: at(100), ..request(1, "alfa") };
    while queue.enqueue(at(0), hasty.clone(), FOUR, "hasty").is_ok() {}
    let told: Vec<Duration> = (0..40)
        .map(|_| match queue.enqueue(at(0), hasty.clone(), FOUR, "hasty") {
            Err(NoSlotInTime { retry_after }) => retry_after,
            Ok(_) => panic!("the queue was too long"),
        })
        .collect();
    assert!(told.is_sorted() && told[0] >= MILLISECOND * 20, "{told:?}");
    // One more for each 2.5 ms that a slot is free.
    let last = told[39];
    assert!(last >= MILLISECOND * 90 && last <= MILLISECOND * 130, "{last:?}");
}

#[test]
fn who_leaves_or_whose_time_is_over_gets_no_slot() {
    let mut queue = SlotQueue::default();
    let ticket = queue.enqueue(at(0), request(1, "alfa"), FOUR, "gone").expect("there is time");
    put(&mut queue, SlotRequest { give_up: at(50), ..request(1, "alfa") }, "over");
    put(&mut queue, request(1, "alfa"), "there");
    assert!(queue.leave(at(0), ticket));
    assert!(!queue.leave(at(0), ticket));
    assert_eq!(queue.next(at(60), &member(1), false), Some("there"));
    assert_eq!(queue.next(at(60), &member(1), false), None);
}

#[test]
fn estimates_tell_kinds_apart_and_one_that_hangs_counts_for_little() {
    let mut times = ServiceTimes::default();
    let read = StatementKind { priority: 1, writes: false };
    let write = StatementKind { priority: 0, writes: true };
    for _ in 0..100 {
        times.note(read, MILLISECOND * 26);
        times.note(write, MILLISECOND * 5);
    }
    times.note(read, Duration::from_secs(60));
    assert_eq!(times.estimate(write), MILLISECOND * 5);
    assert!(times.estimate(read) < MILLISECOND * 60, "{:?}", times.estimate(read));
}
