//! The wait queue for slots: classes, tenants, deadlines and refusals.

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

fn time(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn member(number: u32) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

fn tenant(name: &str) -> Option<TenantName> {
    Some(TenantName::new(name).expect("a valid name"))
}

/// A request for the first member with a late deadline.
fn request(priority: u32, name: &str) -> SlotRequest {
    SlotRequest {
        target: SlotTarget::Member(member(1)),
        priority,
        tenant: tenant(name),
        cost: MILLISECOND * 10,
        deadline: time(10_000),
    }
}

fn order(queue: &mut SlotQueue<&'static str>) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.next(time(0), &member(1), true)).collect()
}

fn put(queue: &mut SlotQueue<&'static str>, request: SlotRequest, name: &'static str) {
    queue.enqueue(time(0), request, FOUR, name).expect("the deadline can be met");
}

#[test]
fn the_highest_class_is_served_first_and_requests_in_order_of_arrival() {
    let mut queue = SlotQueue::default();
    for (name, priority) in [("low", 2), ("first", 1), ("second", 1)] {
        put(&mut queue, request(priority, "alfa"), name);
    }
    assert_eq!(order(&mut queue), ["first", "second", "low"]);
}

#[test]
fn a_slot_goes_only_to_a_request_that_can_use_it() {
    let mut queue = SlotQueue::default();
    let target = |target| SlotRequest { target, ..request(1, "alfa") };
    put(&mut queue, target(SlotTarget::Primary), "writer");
    put(&mut queue, target(SlotTarget::Member(member(2))), "at the second");
    let refused = BTreeSet::from([member(3)]);
    put(&mut queue, target(SlotTarget::AnyExcept(refused)), "reader");
    assert_eq!(queue.next(time(0), &member(3), false), None);
    assert_eq!(queue.waiting_for(&member(2), false), 2);
    assert_eq!(queue.next(time(0), &member(2), false), Some("at the second"));
    assert_eq!(queue.next(time(0), &member(2), false), Some("reader"));
    assert_eq!(queue.next(time(0), &member(2), false), None);
    assert_eq!(queue.next(time(0), &member(2), true), Some("writer"));
    assert!(queue.is_empty());
}

#[test]
fn within_a_tenant_the_earliest_deadline_goes_first() {
    let mut queue = SlotQueue::default();
    for (name, deadline) in [("late", 900), ("early", 300), ("middle", 600)] {
        let request = SlotRequest { deadline: time(deadline), ..request(1, "alfa") };
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
    assert_eq!((long, first.len() - long), (5, 20), "both tenants get the same time");
}

#[test]
fn a_new_tenant_waits_for_as_much_of_other_tenants_as_for_itself() {
    let mut queue = SlotQueue::default();
    for _ in 0..100 {
        put(&mut queue, request(1, "alfa"), "many");
    }
    put(&mut queue, request(1, "beta"), "one");
    let place = order(&mut queue).iter().position(|name| *name == "one");
    assert!(place.is_some_and(|place| place <= 1), "{place:?}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut queue = SlotQueue::default();
    let urgent = SlotRequest { deadline: time(100), ..request(1, "alfa") };
    let mut refused = None;
    let mut accepted = 0;
    while refused.is_none() {
        match queue.enqueue(time(0), urgent.clone(), FOUR, "hasty") {
            Ok(_) => accepted += 1,
            Err(error) => refused = Some(error),
        }
    }
    // 0.6 of 100 ms on four slots is enough for 24 requests of 10 ms.
    assert!((22..=25).contains(&accepted), "{accepted}");
    // A higher class does not wait for these requests, and another tenant waits only for few of
    // them.
    put(&mut queue, SlotRequest { priority: 0, ..urgent.clone() }, "higher");
    put(&mut queue, SlotRequest { tenant: tenant("beta"), ..urgent }, "other");
}

#[test]
fn refused_callers_get_different_retry_times() {
    let mut queue = SlotQueue::default();
    let urgent = SlotRequest { deadline: time(100), ..request(1, "alfa") };
    while queue.enqueue(time(0), urgent.clone(), FOUR, "hasty").is_ok() {}
    let retry_times: Vec<Duration> = (0..40)
        .map(|_| match queue.enqueue(time(0), urgent.clone(), FOUR, "hasty") {
            Err(NoSlotInTime { retry_after }) => retry_after,
            Ok(_) => panic!("the queue is too long for the deadline"),
        })
        .collect();
    assert!(retry_times.is_sorted() && retry_times[0] >= MILLISECOND * 20, "{retry_times:?}");
    // One slot becomes free every 2.5 ms, so each retry time is 2.5 ms later than the one before.
    let last = retry_times[39];
    assert!(last >= MILLISECOND * 90 && last <= MILLISECOND * 130, "{last:?}");
}

#[test]
fn removed_or_expired_requests_get_no_slot() {
    let mut queue = SlotQueue::default();
    let ticket =
        queue.enqueue(time(0), request(1, "alfa"), FOUR, "gone").expect("the deadline can be met");
    put(&mut queue, SlotRequest { deadline: time(50), ..request(1, "alfa") }, "over");
    put(&mut queue, request(1, "alfa"), "there");
    assert!(queue.remove(time(0), ticket));
    assert!(!queue.remove(time(0), ticket));
    assert_eq!(queue.next(time(60), &member(1), false), Some("there"));
    assert_eq!(queue.next(time(60), &member(1), false), None);
}

#[test]
fn estimates_are_kept_by_kind_and_a_hanging_statement_counts_little() {
    let mut times = ServiceTimes::default();
    let read = StatementKind { priority: 1, writes: false };
    let write = StatementKind { priority: 0, writes: true };
    for _ in 0..100 {
        times.record(read, MILLISECOND * 26);
        times.record(write, MILLISECOND * 5);
    }
    times.record(read, Duration::from_secs(60));
    assert_eq!(times.estimate(write), MILLISECOND * 5);
    assert!(times.estimate(read) < MILLISECOND * 60, "{:?}", times.estimate(read));
}
