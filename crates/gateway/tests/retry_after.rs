//! Texts of refusals. The module is included by path because it isn't public.

#![allow(missing_docs)]

#[path = "../src/retry_after.rs"]
mod retry_after;

use retry_after::not_run;

#[test]
fn a_refusal_says_that_nothing_ran_why_and_when_to_come_back_in_milliseconds() {
    let texts = [
        not_run("no member can be reached", retry_after::UNREACHED_MEMBER),
        not_run("no connection is free in time", retry_after::NO_ROOM_REPORTED),
        not_run("the limit is reached", retry_after::HOME_UNANSWERED),
        not_run("nothing proves that the configuration is current", retry_after::UNCONFIRMED),
        not_run("no configuration yet", retry_after::NO_CONFIGURATION),
        not_run("the gateway stops", retry_after::GATEWAY_STOPS),
        not_run("all connections are in use", retry_after::CLIENT_LIMITS),
    ];
    let expected = [
        "not run: no member can be reached; retry_after_ms=250",
        "not run: no connection is free in time; retry_after_ms=100",
        "not run: the limit is reached; retry_after_ms=500",
        "not run: nothing proves that the configuration is current; retry_after_ms=1000",
        "not run: no configuration yet; retry_after_ms=500",
        "not run: the gateway stops; retry_after_ms=10",
        "not run: all connections are in use; retry_after_ms=250",
    ];
    assert_eq!(texts, expected);
}
