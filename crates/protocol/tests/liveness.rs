//! The socket options that `Liveness` sets on a connection.

use corktack_protocol::liveness::Liveness;
use rstest::rstest;
use socket2::SockRef;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

#[rstest]
#[case(Liveness::WITHIN_DEPLOYMENT)]
#[case(Liveness::TO_CALLERS)]
fn liveness_sets_the_keepalive_and_timeout_options_of_a_connection(#[case] liveness: Liveness) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    let stream = TcpStream::connect(address).expect("the listener accepts");
    liveness.apply(&stream).expect("the options are valid");
    let socket = SockRef::from(&stream);
    assert!(socket.tcp_nodelay().expect("an option"));
    assert!(socket.keepalive().expect("an option"));
    assert_eq!(
        socket.tcp_user_timeout().expect("an option"),
        Some(liveness.unacknowledged_timeout)
    );
    assert_eq!(socket.tcp_keepalive_time().expect("an option"), liveness.idle_before_probe);
    assert_eq!(socket.tcp_keepalive_interval().expect("an option"), liveness.probe_interval);
    assert_eq!(socket.tcp_keepalive_retries().expect("an option"), liveness.max_unanswered_probes);
    // The kernel counts these times in whole seconds, and refuses zero.
    assert!(liveness.idle_before_probe >= Duration::from_secs(1));
    assert!(liveness.probe_interval >= Duration::from_secs(1));
}
