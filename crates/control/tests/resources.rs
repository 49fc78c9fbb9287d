//! Creation, replacement and deletion of resources over HTTP, errors of requests, and the operators' token.

mod support;

use awc::http::{Method, StatusCode};
use corktack_control::api::{AnyManifest, ErrorCode, ResourceList};
use corktack_control::{ControlError, ControlListeners, ControlReplica, ControlSettings};
use corktack_core::resources::ResourceVersion;
use rstest::rstest;
use serde_json::json;
use std::net::TcpListener;
use support::Cell;
use support::operator::class_body;

#[rstest]
#[case(1)]
#[case(3)]
#[actix_rt::test]
async fn resources_are_created_replaced_and_deleted(#[case] size: u64) {
    let cell = Cell::start(size);
    cell.leader().await;
    for replica in &cell.replicas {
        let operator = replica.operator();
        let created = operator.put_class("gold", 1, Some(0)).await.accepted();
        let version = created.resource_version;
        let replaced = operator.put_class("gold", 2, Some(version.0)).await.accepted();
        assert!(replaced.resource_version > version);

        let stored: AnyManifest = operator.get("/v1/classes/gold").await.read();
        assert_eq!(stored.metadata().resource_version, Some(replaced.resource_version));
        assert_eq!(stored.metadata().generation, Some(2));
        let list: ResourceList = operator.get("/v1/classes").await.read();
        assert_eq!(list.items, [stored]);
        assert_eq!(list.revision, replaced.revision);

        operator.send(Method::DELETE, "/v1/classes/gold", None, None).await.accepted();
        let missing = operator.get("/v1/classes/gold").await.refused(StatusCode::NOT_FOUND);
        assert_eq!(missing.code, ErrorCode::NotFound);
    }
}

#[rstest]
#[case::root("/")]
#[case::outside("/nowhere")]
#[case::kind("/v1/nowhere")]
#[case::behind_a_resource("/v1/classes/gold/more")]
#[actix_rt::test]
async fn path_that_is_not_served_is_answered_with_the_error_body(#[case] path: &str) {
    let cell = Cell::start(1);
    cell.leader().await;
    let answer = cell.replicas[0].operator().get(path).await.refused(StatusCode::NOT_FOUND);
    assert_eq!(answer.code, ErrorCode::NotFound);
}

#[actix_rt::test]
async fn of_two_changes_from_one_version_one_conflicts() {
    let cell = Cell::start(3);
    cell.leader().await;
    let [first, second] = [0, 1].map(|index| cell.replicas[index].operator());
    let version = first.put_class("gold", 1, Some(0)).await.accepted().resource_version;
    let (left, right) = tokio::join!(
        first.put_class("gold", 2, Some(version.0)),
        second.put_class("gold", 3, Some(version.0)),
    );
    let (won, lost) = if left.status == StatusCode::OK { (left, right) } else { (right, left) };
    let won = won.accepted();
    let lost = lost.refused(StatusCode::CONFLICT);
    assert_eq!(lost.code, ErrorCode::Conflict);
    assert_eq!(lost.stored_version, Some(won.resource_version));
    let path = format!("/v1/classes/gold?resourceVersion={}", version.0);
    let stale = first.send(Method::DELETE, &path, None, None).await;
    assert_eq!(stale.refused(StatusCode::CONFLICT).code, ErrorCode::Conflict);
}

#[actix_rt::test]
async fn a_resend_gets_the_first_answer_after_the_leader_stopped() {
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let body = class_body(7, Some(0));
    let send = async |index: usize, cell: &Cell| {
        let operator = cell.replicas[index].operator();
        operator.send(Method::PUT, "/v1/classes/gold", Some("change-1"), Some(&body)).await
    };
    let first = send(leader, &cell).await;
    assert_eq!(first.change_id.as_deref(), Some("change-1"));
    cell.replicas[leader].stop().await;
    let follower = cell.follower().await;
    assert_eq!(send(follower, &cell).await.accepted(), first.accepted());
    let operator = cell.replicas[follower].operator();
    let other_body = class_body(8, Some(0));
    let reused =
        operator.send(Method::PUT, "/v1/classes/gold", Some("change-1"), Some(&other_body));
    assert_eq!(reused.await.refused(StatusCode::UNPROCESSABLE_ENTITY).code, ErrorCode::Invalid);
}

#[rstest]
#[case::unknown_field(json!({"spec": {"priority": 1, "color": "red"}}), "spec.color")]
#[case::missing_field(json!({"spec": {}}), "spec.priority")]
#[case::unknown_part(json!({"spec": {"priority": 1}, "more": 1}), "more")]
#[case::wrong_type(json!({"spec": {"priority": "high"}}), "spec")]
#[case::other_name(json!({"spec": {"priority": 1}, "metadata": {"name": "x"}}), "metadata.name")]
#[case::other_kind(json!({"spec": {"priority": 1}, "kind": "Binding"}), "kind")]
#[actix_rt::test]
async fn invalid_fields_are_named(#[case] body: serde_json::Value, #[case] field: &str) {
    let cell = Cell::start(1);
    let operator = cell.replicas[0].operator();
    let refused = operator.put("/v1/classes/gold", body).await;
    let refused = refused.refused(StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(refused.field.as_deref(), Some(field), "{refused:?}");
}

#[actix_rt::test]
async fn a_manifest_that_was_read_can_be_sent_back() {
    let cell = Cell::start(1);
    cell.leader().await;
    let operator = cell.replicas[0].operator();
    operator.put_class("gold", 1, None).await.accepted();
    let stored: serde_json::Value = operator.get("/v1/classes/gold").await.read();
    let again = operator.put("/v1/classes/gold", stored).await.accepted();
    assert_ne!(again.resource_version, ResourceVersion(0));
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let cell = Cell::start(1);
    let operator = cell.replicas[0].operator();
    let text = "x".repeat(corktack_control::api::MAX_BODY_BYTES);
    let refused = operator.put("/v1/classes/gold", json!({ "spec": text })).await;
    assert_eq!(refused.refused(StatusCode::PAYLOAD_TOO_LARGE).code, ErrorCode::TooLarge);
}

#[actix_rt::test]
async fn operators_must_present_the_token() {
    let cell = Cell::start_with(1, |settings| settings.operator_token = Some("secret".to_owned()));
    cell.leader().await;
    let mut operator = cell.replicas[0].operator();
    for token in [None, Some("secre"), Some("secrets")] {
        operator.token = token.map(str::to_owned);
        let refused = operator.get("/v1/classes").await.refused(StatusCode::UNAUTHORIZED);
        assert_eq!(refused.code, ErrorCode::Unauthorized);
    }
    operator.token = Some("secret".to_owned());
    assert_eq!(operator.get("/v1/classes").await.status, StatusCode::OK);
}

#[actix_rt::test]
async fn without_a_token_only_loopback_is_served() {
    let bind = |address| TcpListener::bind(address).expect("a free port");
    let listeners = ControlListeners {
        cell: bind("127.0.0.1:0"),
        proxies: bind("127.0.0.1:0"),
        operators: bind("0.0.0.0:0"),
    };
    let folder = tempfile::tempdir().expect("a folder can be made");
    let start = corktack_control::CellStart::Join(Vec::new());
    let cell = corktack_protocol::cell::CellName("test".to_owned());
    let replica = corktack_core::identity::ReplicaId(1);
    let settings = ControlSettings::new(cell, replica, start, folder.path().to_path_buf());
    let mut registry = prometheus_client::registry::Registry::default();
    let refused = ControlReplica::start(settings, listeners, &mut registry);
    assert!(matches!(refused, Err(ControlError::TokenRequired(_))), "{refused:?}");
}
