//! Transactions that are begun through another gateway in one request with their first statement.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{LINEARIZABLE, ONE_SHARE, World};
use corktack_core::gateway::ConnectionProfile;
use corktack_core::statement::{ReadyState, TransactionState};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{MemberLoadReport, RunOutcome, TunnelReply, TunnelRequest};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Number of other gateways, all of which serve as holders.
const OTHERS: usize = 5;

/// Kinds of the requests that the other gateways received, in order.
type Requests = Rc<RefCell<Vec<&'static str>>>;

/// Whether a gateway answers a request to begin a transaction, or closes the tunnel instead.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Opening {
    Answered,
    Lost,
}

fn answered(state: TransactionState) -> RunOutcome {
    let ready = ReadyState { state, position: "1.6".parse().ok() };
    RunOutcome::Answered { rows: Vec::new(), outcome: Ok(None), ready }
}

/// Serves a tunnel as a gateway that holds connections, without a member behind it.
async fn serve_tunnel(stream: TcpStream, requests: Requests, opening: Opening) {
    let mut tunnel: Framed<_, FrameCodec<TunnelReply, TunnelRequest>> =
        Framed::new(stream, FrameCodec::default());
    while let Some(Ok(request)) = tunnel.next().await {
        let (kind, reply) = match request {
            TunnelRequest::Run { .. } => {
                let outcome = answered(TransactionState::Idle);
                let load = MemberLoadReport::default();
                ("run", TunnelReply::Ran { outcome, position: None, newest: None, load })
            }
            TunnelRequest::Open { .. } => {
                let outcome = answered(TransactionState::Open);
                let profile = ConnectionProfile::default();
                ("open", TunnelReply::Opened { profile, position: None, newest: None, outcome })
            }
            TunnelRequest::Position { .. } => ("position", TunnelReply::Position(None)),
            _ => ("other", TunnelReply::Closed),
        };
        requests.borrow_mut().push(kind);
        if kind == "open" && opening == Opening::Lost {
            return;
        }
        tunnel.send(reply).await.expect("the requesting gateway reads");
    }
}

async fn start_other_gateway(requests: Requests, opening: Opening) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve_tunnel(stream, Rc::clone(&requests), opening));
        }
    });
    address
}

/// Starts a gateway whose primary's connections are held by other gateways, and has it get an answer from a
/// holder.
async fn caller_through_others(opening: Opening) -> (World, Caller, Requests) {
    let requests = Requests::default();
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(start_other_gateway(Rc::clone(&requests), opening).await);
    }
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = World::with_listed_gateways(&[&primary], &others, ONE_SHARE);
        if world.holder_of(&primary) == 0 {
            continue;
        }
        let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
        assert!(caller.query("write w").await.is_success());
        requests.borrow_mut().clear();
        return (world, caller, requests);
    }
    panic!("the first of six gateways holds the connections to all of fifty members");
}

#[actix_rt::test]
async fn begin_and_first_statement_are_one_request_to_another_gateway() {
    let (_world, mut caller, requests) = caller_through_others(Opening::Answered).await;
    assert!(caller.query("begin").await.is_success());
    assert_eq!(*requests.borrow(), [""; 0], "the begin waits for the first statement");
    let first = caller.query("write x").await;
    assert!(first.is_success(), "{first:?}");
    assert_eq!(first.state, "open");
    assert_eq!(*requests.borrow(), ["open"]);
}

/// The first statement may have run, and the member may not have rolled it back yet: a retry on another
/// connection could wait for its locks.
#[actix_rt::test]
async fn a_first_statement_is_rolled_back_and_not_resent_if_its_gateway_is_lost() {
    let (_world, mut caller, requests) = caller_through_others(Opening::Lost).await;
    assert!(caller.query("begin").await.is_success());
    let first = caller.query("write x").await;
    assert_eq!((first.code(), first.state.as_str()), ("aborted", "failed"));
    assert_eq!(*requests.borrow(), ["open"]);
    assert_eq!(caller.query("commit").await.code(), "aborted", "the transaction is rolled back");
}

#[actix_rt::test]
async fn a_transaction_opened_through_another_gateway_runs_each_statement_once() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, name).await;
        assert!(caller.query("write w").await.is_success());
        primary.state.borrow_mut().statements.clear();
        for text in ["begin", "write x", "write y", "commit"] {
            assert!(caller.query(text).await.is_success(), "{text}");
        }
        assert_eq!(primary.texts(), ["write x", "write y", "commit"]);
    }
}

/// A transaction that could not be begun has run nothing: it is begun again, at the same holder or another.
#[actix_rt::test]
async fn a_begin_that_is_lost_behind_another_gateway_is_resent() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, name).await;
        assert!(caller.query("write w").await.is_success());
        primary.state.borrow_mut().statements.clear();
        primary.state.borrow_mut().begins_to_lose = 1;
        for text in ["begin", "write x", "commit"] {
            assert!(caller.query(text).await.is_success(), "{text}");
        }
        assert_eq!(primary.state.borrow().begins_to_lose, 0, "one begin was lost");
        assert_eq!(primary.texts(), ["write x", "commit"]);
    }
}

/// After a first statement that fails, the caller has to roll the transaction back, as after any later one.
#[actix_rt::test]
async fn a_first_statement_that_fails_leaves_the_transaction_failed() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, name).await;
        assert!(caller.query("write w").await.is_success());
        assert!(caller.query("begin").await.is_success());
        primary.state.borrow_mut().reads_to_fail = 1;
        let first = caller.query("read x").await;
        assert_eq!((first.code(), first.state.as_str()), ("failed", "failed"));
        assert_eq!(caller.query("rollback").await.state, "idle");
        assert!(caller.query("write z").await.is_success(), "the connection can be used again");
    }
}
