//! The encoded shape of each message between processes and of each stored type.

use crate::shape::shape_of;
use corktack_core::consensus::{Entry, HardState, Message};
use corktack_core::state::ControlState;
use corktack_core::state::command::Command;
use corktack_protocol::cell::CellMessage;
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::peer::{EdgeMessage, OwnerMessage};
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use expect_test::expect_file;

#[test]
fn edge_message_keeps_its_shape() {
    expect_file!["./shapes/edge_message.txt"].assert_eq(&shape_of::<EdgeMessage>());
}

#[test]
fn owner_message_keeps_its_shape() {
    expect_file!["./shapes/owner_message.txt"].assert_eq(&shape_of::<OwnerMessage>());
}

#[test]
fn proxy_message_keeps_its_shape() {
    expect_file!["./shapes/proxy_message.txt"].assert_eq(&shape_of::<ProxyMessage>());
}

#[test]
fn control_message_keeps_its_shape() {
    expect_file!["./shapes/control_message.txt"].assert_eq(&shape_of::<ControlMessage>());
}

#[test]
fn cell_message_keeps_its_shape() {
    expect_file!["./shapes/cell_message.txt"].assert_eq(&shape_of::<CellMessage<Message>>());
}

#[test]
fn tunnel_request_keeps_its_shape() {
    expect_file!["./shapes/tunnel_request.txt"].assert_eq(&shape_of::<TunnelRequest>());
}

#[test]
fn tunnel_reply_keeps_its_shape() {
    expect_file!["./shapes/tunnel_reply.txt"].assert_eq(&shape_of::<TunnelReply>());
}

#[test]
fn log_entry_keeps_its_shape() {
    expect_file!["./shapes/log_entry.txt"].assert_eq(&shape_of::<Entry>());
}

#[test]
fn hard_state_keeps_its_shape() {
    expect_file!["./shapes/hard_state.txt"].assert_eq(&shape_of::<HardState>());
}

#[test]
fn command_keeps_its_shape() {
    expect_file!["./shapes/command.txt"].assert_eq(&shape_of::<Command>());
}

#[test]
fn control_state_keeps_its_shape() {
    expect_file!["./shapes/control_state.txt"].assert_eq(&shape_of::<ControlState>());
}
