//! Which requests are sent again, which never are, and how many.

use crate::support::owner::FakeOwner;
use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, OWNER, group, settings, view_with_owner};
use corktack_core::identity::GroupName;
use corktack_edge::EdgeSettings;
use corktack_protocol::peer::{EdgeMessage, Failure, NotRunReason, StreamId};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const INSERT: &str = "INSERT INTO t VALUES (1)";
const SELECT: &str = "SELECT 1";
/// Retries that a group's budget holds at most.
const MAX_BUDGET: usize = 50;
/// Enough requests to exhaust the budget.
const REQUESTS: usize = 100;

/// Faults of an owner after it received a request.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ConnectionClosed,
    Unknown,
    Garbage,
}

impl Fault {
    fn inject(self, owner: &FakeOwner, stream: StreamId) {
        match self {
            Self::ConnectionClosed => owner.close_connection(),
            Self::Unknown => owner.send_failure(stream, Failure::Unknown),
            Self::Garbage => owner.send_bytes(&[0xff; 64]),
        }
    }
}

fn not_run(reason: NotRunReason) -> Failure {
    Failure::NotRun { reason, retry_after_ms: 40 }
}

/// Returns the SQLSTATE and the fields of the caller's error. Checks that the session is idle after the
/// error, and that the next request to the owner is a new one.
async fn final_answer(fixture: &mut Fixture, caller: &mut RawCaller) -> (String, String) {
    let (kind, body) = caller.read().await;
    assert_eq!(kind, 'E');
    let text = String::from_utf8(body).expect("errors are UTF-8").replace('\0', "|");
    assert_eq!(caller.read_ready_status().await, 'I');
    caller.send(&wire::query("SELECT 'next'")).await;
    let request = fixture.owner.serve_one_request("").await;
    assert_eq!(wire::query_text(&request.batch), "SELECT 'next'", "nothing was sent again");
    let code = text.split('|').find_map(|field| field.strip_prefix('C')).map(str::to_owned);
    (code.expect("an error has a SQLSTATE"), text)
}

#[rstest]
#[case::no_back_end(NotRunReason::NoBackEnd)]
#[case::back_end_refused(NotRunReason::BackEndRefused)]
#[case::not_owner(NotRunReason::NotOwner)]
#[actix_rt::test]
async fn write_that_did_not_run_is_sent_again(#[case] reason: NotRunReason) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_failure(stream, not_run(reason));
    let request = fixture.owner.serve_one_request("").await;
    assert_eq!(wire::query_text(&request.batch), INSERT);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[rstest]
#[case::full(NotRunReason::QueueFull, "53300")]
#[case::waited(NotRunReason::QueueTimeout, "53400")]
#[actix_rt::test]
async fn request_refused_by_the_queue_gets_its_final_answer(
    #[case] reason: NotRunReason,
    #[case] sqlstate: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_failure(stream, not_run(reason));
    let (code, text) = final_answer(&mut fixture, &mut caller).await;
    assert_eq!(code, sqlstate);
    assert!(text.contains("not run"), "{text}");
    assert!(text.contains("|Hretry_after_ms=40|"), "{text}");
}

#[rstest]
#[actix_rt::test]
async fn write_of_unknown_outcome_is_never_sent_again(
    #[values(Fault::ConnectionClosed, Fault::Unknown, Fault::Garbage)] fault: Fault,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fault.inject(&fixture.owner, stream);
    assert_eq!(final_answer(&mut fixture, &mut caller).await.0, "08007");
}

#[rstest]
#[actix_rt::test]
async fn read_of_unknown_outcome_is_sent_again(
    #[values(Fault::ConnectionClosed, Fault::Unknown, Fault::Garbage)] fault: Fault,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(SELECT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fault.inject(&fixture.owner, stream);
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[rstest]
#[actix_rt::test]
async fn write_with_a_key_is_sent_again_under_its_key(
    #[values(Fault::ConnectionClosed, Fault::Unknown, Fault::Garbage)] fault: Fault,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SET corktack.idempotency_key = 'order-7'")).await;
    caller.read_types_until_ready().await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fault.inject(&fixture.owner, stream);
    let request = fixture.owner.serve_one_request("").await;
    assert_eq!(request.idempotency_key.as_deref(), Some("order-7"));
    assert_eq!(wire::query_text(&request.batch), INSERT);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[rstest]
#[case::read("", SELECT, "57014")]
#[case::write("", INSERT, "08007")]
#[case::write_with_a_key("order-7", INSERT, "08007")]
#[actix_rt::test]
async fn request_whose_answer_has_begun_is_not_sent_again(
    #[case] key: &str,
    #[case] text: &str,
    #[case] sqlstate: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(&format!("SET corktack.idempotency_key = '{key}'"))).await;
    caller.read_types_until_ready().await;
    caller.send(&wire::query(text)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_data(stream, wire::encode(&[wire::columns(), wire::row("1")]));
    assert_eq!((caller.read().await.0, caller.read().await.0), ('T', 'D'));
    fixture.owner.close_connection();
    assert_eq!(final_answer(&mut fixture, &mut caller).await.0, sqlstate);
}

#[rstest]
#[case::read(SELECT, "57014")]
#[case::write(INSERT, "08007")]
#[actix_rt::test]
async fn request_to_a_silent_owner_times_out(#[case] text: &str, #[case] sqlstate: &str) {
    let settings = EdgeSettings { request_timeout: Duration::from_millis(50), ..settings() };
    let mut fixture = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query(text)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    assert_eq!(caller.read_error_code().await, sqlstate);
    assert_eq!(caller.read_ready_status().await, 'I');
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
}

#[actix_rt::test]
async fn request_without_an_owner_is_answered_after_its_timeout() {
    let settings = EdgeSettings { request_timeout: Duration::from_millis(50), ..settings() };
    let fixture = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    fixture.view.send_replace(Arc::new(view_with_owner(None)));
    caller.send(&wire::query(INSERT)).await;
    let (kind, body) = caller.read().await;
    let text = String::from_utf8(body).expect("errors are UTF-8");
    assert_eq!(kind, 'E');
    assert!(text.contains("C57P03\0") && text.contains("not run"), "{text:?}");
    assert!(text.contains("Hretry_after_ms="), "{text:?}");
}

#[actix_rt::test]
async fn request_to_an_owner_that_cannot_be_reached_goes_to_the_next_one() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = closed.local_addr().expect("it is bound");
    drop(closed);
    fixture.view.send_replace(Arc::new(view_with_owner(Some(("gone", address)))));
    caller.send(&wire::query(INSERT)).await;
    let view = view_with_owner(Some((OWNER, fixture.owner.address)));
    fixture.view.send_replace(Arc::new(view));
    fixture.owner.serve_one_request("").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

/// Sends a write from each of `count` callers to the owner, then refuses all writes.
async fn refuse_writes(fixture: &mut Fixture, count: usize) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    let mut streams = Vec::new();
    for _ in 0..count {
        let mut caller = RawCaller::start(fixture.edge.address()).await;
        caller.send(&wire::query(INSERT)).await;
        callers.push(caller);
        streams.push(fixture.owner.expect_open().await.0);
    }
    for stream in streams {
        fixture.owner.send_failure(stream, not_run(NotRunReason::NoBackEnd));
    }
    callers
}

#[actix_rt::test]
async fn failing_group_gets_retries_only_within_its_budget() {
    let mut fixture = Fixture::start().await;
    let mut callers = refuse_writes(&mut fixture, REQUESTS).await;
    let answers = async {
        for caller in &mut callers {
            let (kind, body) = caller.read().await;
            let text = String::from_utf8(body).expect("errors are UTF-8");
            assert_eq!(kind, 'E');
            assert!(text.contains("C57P03\0") && text.contains("not run"), "{text:?}");
            assert!(text.contains("Hretry_after_ms=40\0"), "{text:?}");
        }
    };
    let mut sent_again = 0;
    let owner = async {
        loop {
            let (stream, _) = fixture.owner.expect_open().await;
            sent_again += 1;
            fixture.owner.send_failure(stream, not_run(NotRunReason::NoBackEnd));
        }
    };
    tokio::select! {
        () = answers => {}
        () = owner => {}
    }
    assert_eq!(sent_again, MAX_BUDGET);
}

#[actix_rt::test]
async fn failing_group_does_not_exhaust_the_budget_of_another_group() {
    let mut fixture = Fixture::start().await;
    let mut view = view_with_owner(Some((OWNER, fixture.owner.address)));
    let mut other = (*view.groups[&group()]).clone();
    other.spec.database = "billing".to_owned();
    view.groups.insert(GroupName::new("billing").expect("a valid name"), Arc::new(other));
    fixture.view.send_replace(Arc::new(view));
    let mut callers = refuse_writes(&mut fixture, REQUESTS).await;
    for _ in 0..MAX_BUDGET {
        let (stream, _) = fixture.owner.expect_open().await;
        fixture.owner.send_failure(stream, not_run(NotRunReason::NoBackEnd));
    }
    for caller in &mut callers {
        assert_eq!(caller.read_error_code().await, "57P03");
    }
    let mut caller = RawCaller::connect(fixture.edge.address()).await;
    caller.send(&wire::startup(&[("user", "clerk"), ("database", "billing")])).await;
    caller.read_types_until_ready().await;
    caller.send(&wire::query(INSERT)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_failure(stream, not_run(NotRunReason::NoBackEnd));
    fixture.owner.serve_one_request("").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}
