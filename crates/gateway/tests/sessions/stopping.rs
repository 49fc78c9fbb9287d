//! Planned stops of a gateway: every statement that it reads is answered, and its sessions end.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, ONE_SHARE, World};
use futures_util::future::join;
use rstest::rstest;
use std::time::Duration;

/// Time that a statement takes in these tests; longer than the grace period of transactions.
const STATEMENT_TIME: Duration = Duration::from_millis(300);
/// Grace period of transactions that ends while a statement runs.
const SHORT_GRACE: Duration = Duration::from_millis(50);
/// Grace period of transactions in which a busy session answers many statements.
const BUSY_GRACE: Duration = Duration::from_millis(500);
/// Time that a statement of a busy session takes; shorter than the pause after which a session is idle.
const SHORT_STATEMENT: Duration = Duration::from_millis(5);
/// Time that is long enough for an overloaded machine; no test waits for it to pass.
const LONG: Duration = Duration::from_secs(60);
/// Statements after which a session that is still served does not end.
const MOST_STATEMENTS: usize = 500;

/// Starts a gateway that holds the connections to one primary, whose statements take some time.
async fn slow_primary(grace: Duration, limit: Duration) -> (Member, World) {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_stop_times(&[&primary], 1, 36, grace, limit);
    (primary, world)
}

/// Waits until the member runs a statement of a caller.
async fn statement_runs(member: &Member) {
    while member.state.borrow().running == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

// Guards against a session that is never idle and is served until the process ends, with a statement cut.
#[rstest]
#[case::reads("read x")]
#[case::writes("write x")]
#[actix_rt::test]
async fn a_busy_session_ends_between_two_statements(#[case] statement: &str) {
    let (primary, world) = slow_primary(BUSY_GRACE, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query(statement).await.is_success());
    primary.state.borrow_mut().statements.clear();
    primary.state.borrow_mut().statement_time = SHORT_STATEMENT;
    let mut answered = 0;
    let calling = async {
        while let Some(answer) = caller.query_unless_closed(statement).await {
            assert!(answer.is_success(), "{answer:?}");
            answered += 1;
            assert!(answered < MOST_STATEMENTS, "the session is still served");
        }
    };
    join(calling, world.stop_gateway(0)).await;
    assert_eq!(primary.texts().len(), answered, "each statement that ran is answered");
}

// Guards against a stop that ends at a fixed time, whether or not statements run at members.
#[actix_rt::test]
async fn a_stop_waits_for_the_answer_of_a_running_statement() {
    let (primary, world) = slow_primary(SHORT_GRACE, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().statement_time = STATEMENT_TIME;
    let stopping = async {
        statement_runs(&primary).await;
        world.stop_gateway(0).await;
        assert_eq!(primary.state.borrow().running, 0, "the statement is cut");
    };
    let (answer, ()) = join(caller.query("write x"), stopping).await;
    assert_eq!(answer.lines, ["complete|by-m1"]);
    assert!(caller.closes_silently().await);
}

// Guards against a transaction that goes on because its statement ran at the moment the grace period ended.
#[actix_rt::test]
async fn a_transaction_whose_statement_outlasts_the_grace_ends_after_the_answer() {
    let (primary, world) = slow_primary(SHORT_GRACE, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    primary.state.borrow_mut().statement_time = STATEMENT_TIME;
    let stopping = async {
        statement_runs(&primary).await;
        world.stop_gateway(0).await;
    };
    let calling = async {
        let answer = caller.query("write y").await;
        assert_eq!(
            (answer.lines.as_slice(), answer.state.as_str()),
            (&["complete|by-m1".to_owned()][..], "open")
        );
        assert!(caller.query_unless_closed("commit").await.is_none());
    };
    join(calling, stopping).await;
    assert!(!primary.texts().contains(&"commit".to_owned()));
}

// Guards against a commit that was read with the statement before it and stays without an answer.
#[actix_rt::test]
async fn a_commit_that_was_received_before_the_grace_ended_is_served() {
    let (primary, world) = slow_primary(SHORT_GRACE, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    primary.state.borrow_mut().statement_time = STATEMENT_TIME;
    let stopping = async {
        statement_runs(&primary).await;
        world.stop_gateway(0).await;
    };
    let (answers, ()) = join(caller.query_two("write y", "commit"), stopping).await;
    assert!(answers.iter().all(|answer| answer.lines == ["complete|by-m1"]), "{answers:?}");
    assert_eq!(answers[1].state, "idle");
}

// Guards against a stop that cuts an open transaction off before its grace period is over.
#[actix_rt::test]
async fn an_open_transaction_can_commit_within_its_grace() {
    let (_primary, world) = slow_primary(LONG, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    let calling = async {
        tokio::time::sleep(SHORT_GRACE).await;
        assert_eq!(caller.query("write y").await.state, "open");
        assert_eq!(caller.query("commit").await.lines, ["complete|by-m1"]);
        assert!(caller.closes_silently().await);
    };
    join(calling, world.stop_gateway(0)).await;
}

// Guards against an idle transaction that keeps a stopping process until it is killed.
#[actix_rt::test]
async fn an_idle_transaction_is_rolled_back_at_the_end_of_the_grace() {
    let (primary, world) = slow_primary(SHORT_GRACE, LONG).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    world.stop_gateway(0).await;
    assert!(caller.closes_silently().await);
    assert!(!primary.texts().contains(&"commit".to_owned()));
}

// Guards against a session that begins when the process is about to end, which cuts its statement.
#[actix_rt::test]
async fn a_session_that_starts_after_the_stop_is_refused_as_not_run() {
    let (_primary, world) = slow_primary(LONG, LONG).await;
    world.stop_gateway(0).await;
    let lines = Caller::refused(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(lines[0].starts_with("error|busy|not run: the gateway stops"), "{lines:?}");
}

// Guards against a stop that outlasts the time until the process is killed.
#[actix_rt::test]
async fn a_stop_abandons_a_statement_at_its_limit() {
    let (primary, world) = slow_primary(SHORT_GRACE, 2 * SHORT_GRACE).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    primary.state.borrow_mut().statement_time = LONG;
    actix_rt::spawn(async move { caller.query_unless_closed("write x").await });
    statement_runs(&primary).await;
    world.stop_gateway(0).await;
    assert_eq!(primary.state.borrow().running, 1);
}

/// Starts a primary whose connections one of two gateways holds; returns the indices of the holder and of the
/// other gateway as well.
async fn held_primary() -> (Member, World, usize, usize) {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_stop_times(&[&primary], 2, ONE_SHARE, SHORT_GRACE, LONG);
    let holder = world.holder_of(&primary);
    (primary, world, holder, 1 - holder)
}

// Guards against a holder that ends without callers of its own while it runs statements of other gateways.
#[rstest]
#[case::single_statements(false)]
#[case::transactions(true)]
#[actix_rt::test]
async fn a_holder_waits_for_statements_of_other_gateways(#[case] in_transaction: bool) {
    let (primary, world, holder, other) = held_primary().await;
    let mut caller = Caller::start(world.gateways[other], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success());
    if in_transaction {
        assert!(caller.query("begin").await.is_success());
        assert!(caller.query("write x").await.is_success());
    }
    primary.state.borrow_mut().statement_time = STATEMENT_TIME;
    let stopping = async {
        statement_runs(&primary).await;
        world.stop_gateway(holder).await;
        assert_eq!(primary.state.borrow().running, 0, "the statement is cut");
    };
    let calling = async {
        assert_eq!(caller.query("write y").await.lines, ["complete|by-m1"]);
        if in_transaction {
            assert_eq!(caller.query("commit").await.lines, ["complete|by-m1"]);
        }
    };
    join(calling, stopping).await;
}

// Guards against statements that a holder takes on when it is about to end.
#[rstest]
#[case::linearizable(LINEARIZABLE)]
#[case::bounded(BOUNDED)]
#[actix_rt::test]
async fn a_stopped_holder_takes_on_no_statement(#[case] route: &str) {
    let (primary, world, holder, other) = held_primary().await;
    let mut caller = Caller::start(world.gateways[other], route, "a").await;
    assert!(caller.query("write x").await.is_success());
    let accepted = primary.state.borrow().accepted;
    world.stop_gateway(holder).await;
    // The other gateway opens a connection of its own.
    assert!(caller.query("write y").await.is_success());
    assert!(primary.state.borrow().accepted > accepted);
}
