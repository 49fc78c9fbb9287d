//! Gateway decisions: session and connection profiles, the choice of members, silence and indirect routes.

use corktack_core::distance::Distance;
use corktack_core::gateway::{
    ConnectionProfile, IndirectRoute, IndirectRouteStep, MemberEstimate, MemberLoad, Preference,
    ReaderPreferences, ReportedLoad, SessionProfile, SilenceDetector, choose_reader,
};
use corktack_core::identity::{MemberName, ProxyName, ZoneName};
use corktack_core::statement::{Access, OwnStatement, PreparedShape};
use corktack_core::tenancy::TenantName;
use corktack_core::time::Timestamp;
use rstest::rstest;
use std::time::Duration;

fn session(values: &[(&str, &str)]) -> SessionProfile {
    let mut session = SessionProfile::default();
    for (name, value) in values {
        session.set((*name).to_owned(), (*value).to_owned()).expect("a small value");
    }
    session
}

fn set(name: &str, value: &str) -> OwnStatement {
    OwnStatement::Set { name: name.to_owned(), value: value.to_owned() }
}

/// Creates a connection with a session's values.
fn aligned_to(session: &SessionProfile) -> ConnectionProfile {
    let mut connection = ConnectionProfile::default();
    align(&mut connection, session);
    connection
}

fn align(connection: &mut ConnectionProfile, session: &SessionProfile) {
    for statement in connection.alignment(session) {
        connection.apply_completed(&statement);
    }
}

fn shape(text: &str) -> PreparedShape {
    PreparedShape { access: Access::Read, text: text.to_owned() }
}

#[test]
fn a_new_connection_gets_every_value() {
    let connection = ConnectionProfile::default();
    let alignment = connection.alignment(&session(&[("a", "1"), ("b", "2")]));
    assert_eq!(alignment, [set("a", "1"), set("b", "2")]);
}

#[test]
fn only_what_differs_is_set() {
    let connection = aligned_to(&session(&[("a", "1")]));
    assert_eq!(connection.alignment(&session(&[("a", "1"), ("b", "2")])), [set("b", "2")]);
    assert_eq!(connection.alignment(&session(&[("a", "3")])), [set("a", "3")]);
    assert_eq!(connection.alignment(&session(&[("a", "1")])), []);
}

#[test]
fn a_value_that_the_session_does_not_have_is_reset() {
    let connection = aligned_to(&session(&[("a", "1"), ("b", "2")]));
    let alignment = connection.alignment(&session(&[("b", "2")]));
    assert_eq!(alignment, [OwnStatement::Reset, set("b", "2")]);
}

#[test]
fn an_unknown_connection_state_is_reset() {
    let wanted = session(&[("a", "1")]);
    let mut connection = aligned_to(&wanted);
    connection.mark_unknown();
    assert_eq!(connection.alignment(&wanted), [OwnStatement::Reset, set("a", "1")]);
    align(&mut connection, &wanted);
    assert_eq!(connection.alignment(&wanted), []);
}

#[test]
fn distance_is_the_number_of_statements_to_align() {
    let wanted = session(&[("a", "1"), ("b", "2")]);
    let distances = [
        aligned_to(&wanted).distance(&wanted),
        aligned_to(&session(&[("a", "1")])).distance(&wanted),
        ConnectionProfile::default().distance(&wanted),
        aligned_to(&session(&[("c", "3")])).distance(&wanted),
    ];
    assert_eq!(distances, [0, 1, 2, 3]);
}

#[test]
fn a_prepared_statement_is_found_by_its_shape_and_dropped_by_a_reset() {
    let mut connection = ConnectionProfile::default();
    let (name, prepare) = connection.name_for(&shape("q1"));
    connection.apply_completed(&prepare.expect("the shape is new to the connection"));
    assert_eq!(connection.name_for(&shape("q1")), (name.clone(), None));
    let (other, prepare) = connection.name_for(&shape("q2"));
    assert_ne!(other, name);
    assert!(prepare.is_some());
    connection.apply_completed(&OwnStatement::Reset);
    assert!(connection.name_for(&shape("q1")).1.is_some());
}

#[test]
fn a_statement_that_was_not_completed_is_prepared_again() {
    let mut connection = ConnectionProfile::default();
    let (first, _) = connection.name_for(&shape("q1"));
    let (second, prepare) = connection.name_for(&shape("q1"));
    assert_ne!(first, second, "a name that may be in use is not used again");
    assert!(prepare.is_some());
}

#[test]
fn prepared_statements_of_a_connection_are_bounded() {
    let mut connection = ConnectionProfile::default();
    for number in 0..100 {
        let (_, prepare) = connection.name_for(&shape(&number.to_string()));
        connection.apply_completed(&prepare.expect("the shape is new to the connection"));
    }
    let alignment = connection.alignment(&SessionProfile::default());
    assert_eq!(alignment, [OwnStatement::Reset]);
}

#[test]
fn statement_names_belong_to_the_session() {
    let mut session = SessionProfile::default();
    session.prepare("s1".to_owned(), shape("q1")).expect("a small shape");
    assert_eq!(session.shape("s1"), Ok(&shape("q1")));
    assert!(session.shape("s2").is_err());
    assert_eq!(session.deallocate("s1"), Ok(()));
    assert!(session.deallocate("s1").is_err());
}

#[rstest]
#[case("amba.a", "amba.a", Distance::SameZone)]
#[case("amba.a", "amba.b", Distance::SameRegion)]
#[case("amba.a", "cuyo.a", Distance::OtherRegion)]
fn distance_follows_zone_and_region(
    #[case] left: &str,
    #[case] right: &str,
    #[case] distance: Distance,
) {
    let zone = |name: &str| ZoneName::new(name).expect("a valid name");
    assert_eq!(Distance::between(&zone(left), &zone(right)), distance);
}

fn load(latency: u64, running: usize) -> MemberLoad {
    MemberLoad {
        latency: Duration::from_millis(latency),
        network_time: Duration::ZERO,
        age: Duration::ZERO,
        running,
        waiting: 0.0,
        capacity_share: 1.0,
        served: 1.0,
        preference: 0,
    }
}

#[rstest]
#[case::no_member(&[], None)]
#[case::the_faster_member(&[load(60, 0), load(20, 0)], Some(1))]
#[case::the_farther_once_the_nearer_is_busy(&[load(20, 3), load(60, 0)], Some(1))]
fn a_read_goes_to_the_member_with_the_least_expected_time(
    #[case] loads: &[MemberLoad],
    #[case] place: Option<usize>,
) {
    assert_eq!(choose_reader(loads), place);
}

#[test]
fn the_most_preferred_of_nearly_equal_members_is_chosen() {
    let preferred = |latency, preference| MemberLoad { preference, ..load(latency, 0) };
    let loads = [preferred(100, 3), preferred(104, 7), preferred(101, 5), preferred(106, 9)];
    assert_eq!(choose_reader(&loads), Some(1));
}

fn member(number: usize) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

fn preferences(gateway: &str) -> ReaderPreferences {
    ReaderPreferences::for_gateway(&ProxyName::new(gateway).expect("a valid name"))
}

fn most_preferred(preference: Preference, members: usize) -> usize {
    let weight = |number: &usize| preference.weight(&member(*number));
    (0..members).max_by_key(weight).expect("a member")
}

#[test]
fn reads_without_a_tenant_spread_evenly() {
    let mut preferences = preferences("g1");
    let mut counts = [0; 8];
    for _ in 0..8_000 {
        counts[most_preferred(preferences.next_preference(None), 8)] += 1;
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn a_tenant_prefers_the_same_member_everywhere_and_moves_only_from_a_removed_one() {
    let (mut here, mut there) = (preferences("g1"), preferences("g2"));
    let mut counts = [0; 8];
    for number in 0..400 {
        let tenant = TenantName::new(&format!("t{number}")).expect("a valid name");
        let with_all = most_preferred(here.next_preference(Some(&tenant)), 8);
        assert_eq!(most_preferred(there.next_preference(Some(&tenant)), 8), with_all);
        let without_last = most_preferred(here.next_preference(Some(&tenant)), 7);
        assert!(with_all == 7 || without_last == with_all);
        counts[with_all] += 1;
    }
    assert!(counts.iter().all(|count| (30..70).contains(count)), "{counts:?}");
}

#[test]
fn a_member_that_fails_a_share_of_its_statements_counts_as_slower() {
    let failing = MemberLoad { served: 0.5, ..load(20, 0) };
    assert_eq!(choose_reader(&[failing, load(30, 0)]), Some(1));
    assert_eq!(choose_reader(&[failing, load(50, 0)]), Some(0));
}

#[test]
fn a_member_that_was_slow_long_ago_is_tried_again() {
    let age = Duration::from_millis;
    let slow = |millis| MemberLoad { age: age(millis), preference: 1, ..load(130, 0) };
    assert_eq!(choose_reader(&[slow(0), load(20, 0)]), Some(1));
    assert_eq!(choose_reader(&[slow(4_000), load(20, 0)]), Some(1));
    assert_eq!(choose_reader(&[slow(7_000), load(20, 0)]), Some(0));
}

#[test]
fn network_time_does_not_decay_with_the_age_of_an_estimate() {
    let (network_time, age) = (Duration::from_millis(40), Duration::from_secs(60));
    let far = MemberLoad { network_time, age, ..load(200, 0) };
    assert_eq!(choose_reader(&[far, load(20, 0)]), Some(1));
    assert_eq!(
        choose_reader(&[far, load(70, 0)]),
        Some(1),
        "an equal member without the network time"
    );
    assert_eq!(choose_reader(&[far, load(20, 3)]), Some(0), "the nearer member is busy");
}

#[test]
fn the_share_of_unserved_statements_halves_each_second() {
    let mut estimate = MemberEstimate::new(Distance::SameZone);
    for _ in 0..100 {
        estimate.record_unserved(time(0));
    }
    let served = |millis| estimate.load(0, 1.0, time(millis)).served;
    assert!((served(0) - 0.05).abs() < 1e-9, "a member that serves nothing keeps a share of 0.05");
    assert!((served(1_000) - 0.5).abs() < 1e-3);
    assert!((served(2_000) - 0.75).abs() < 1e-3);
    assert!(served(20_000) > 0.999);
}

#[test]
fn an_estimate_follows_own_and_reported_statements() {
    let mut estimate = MemberEstimate::new(Distance::SameRegion);
    let millis = Duration::from_millis;
    assert_eq!(estimate.latency(), millis(24));
    estimate.record_served(millis(124), time(0));
    assert_eq!(estimate.latency(), millis(34));
    assert_eq!(estimate.load(0, 1.0, time(300)).age, millis(300));
    let reported = ReportedLoad { spent: millis(20), latency: millis(50), waiting: 1.5 };
    estimate.record_reported(&reported, millis(24), time(1_000));
    let load = estimate.load(2, 4.0, time(1_999));
    assert_eq!((load.latency, load.network_time, load.waiting), (millis(54), millis(4), 1.5));
    assert_eq!(estimate.load(2, 4.0, time(2_000)).waiting, 0.0, "the report has expired");
}

fn time(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

#[test]
fn many_unanswered_questions_over_a_long_time_are_silence() {
    let mut silence = SilenceDetector::default();
    let reported: Vec<bool> =
        [0, 600, 1_200, 1_900, 2_000].map(|millis| silence.record_unanswered(time(millis))).into();
    assert_eq!(reported, [false, false, false, false, true]);
}

#[test]
fn few_unanswered_questions_are_not_silence() {
    let mut silence = SilenceDetector::default();
    assert!([0, 5_000, 9_000].iter().all(|millis| !silence.record_unanswered(time(*millis))));
}

#[test]
fn an_answer_ends_the_silence_unless_it_came_before_the_silence() {
    let mut silence = SilenceDetector::default();
    for millis in [1_000, 1_500, 2_500] {
        assert!(!silence.record_unanswered(time(millis)));
    }
    let mut answered = silence;
    answered.record_answer(time(2_600));
    assert!(!answered.record_unanswered(time(3_200)), "the count starts over");
    silence.record_answer(time(900));
    assert!(
        silence.record_unanswered(time(3_200)),
        "an old answer that is recorded late is ignored"
    );
}

#[test]
fn one_request_at_a_time_finds_out_whether_others_reach_a_member() {
    let mut route = IndirectRoute::default();
    assert_eq!(route.step(time(0)), IndirectRouteStep::Send);
    assert_eq!(route.step(time(1)), IndirectRouteStep::Wait);
    assert_eq!(route.step(time(799)), IndirectRouteStep::Wait);
    assert_eq!(route.step(time(800)), IndirectRouteStep::Send, "the first caller went away");
    route.record_reached();
    assert!(route.is_open());
    assert_eq!([route.step(time(802)), route.step(time(802))], [IndirectRouteStep::Send; 2]);
}

#[test]
fn a_failed_indirect_route_is_retried_after_growing_pauses() {
    let mut route = IndirectRoute::default();
    let mut now = time(0);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        assert_eq!(route.step(now), IndirectRouteStep::Send);
        route.record_failure(now);
        assert!(!route.is_open());
        let closed = (0..2_000).take_while(|millis| {
            let mut copy = route;
            copy.step(now + Duration::from_millis(*millis)) == IndirectRouteStep::Unreachable
        });
        let pause = closed.count() as u64;
        pauses.push(pause);
        now = now + Duration::from_millis(pause);
    }
    assert_eq!(pauses, [150, 300, 600, 1_000, 1_000]);
}
