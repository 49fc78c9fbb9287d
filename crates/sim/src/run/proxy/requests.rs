//! Callers' requests in a proxy.

use super::Proxy;
use crate::run::event::{Address, Context, Packet, Write, WriteOutcome};
use crate::run::member::MEMBERS;
use crate::run::variant::Variant;
use corktack_core::position::Position;
use corktack_core::time::Timestamp;
use rand::Rng;
use std::time::Duration;

const REQUEST_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a member has to answer a read before the primary is asked.
const MEMBER_PATIENCE: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug)]
enum Stage {
    Write,
    /// Waits for a confirmed position of the primary.
    Barrier {
        row: u8,
    },
    /// Waits for a member's answer that covers a position.
    Row {
        row: u8,
        needed: Position,
        asked_primary: bool,
    },
}

/// A caller's request under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    client: Address,
    /// The caller's number.
    number: u64,
    stage: Stage,
    deadline: Timestamp,
}

impl Proxy {
    fn begin(&mut self, context: &Context<'_>, client: Address, number: u64, stage: Stage) -> u64 {
        self.next_request += 1;
        // Numbers of successive lives differ, so a late answer finds no one.
        let request = self.incarnation << 32 | self.next_request;
        let deadline = context.now + REQUEST_PATIENCE;
        self.requests.insert(request, Request { client, number, stage, deadline });
        request
    }

    pub(super) fn take_request_packet(
        &mut self,
        context: &mut Context<'_>,
        from: Address,
        packet: Packet,
    ) {
        match packet {
            Packet::ClientWrite { request, write } => self.write(context, from, request, write),
            Packet::ClientRead { request, row, token } => match token {
                Some(needed) => self.read(context, from, request, (row, needed)),
                None => self.barrier(context, from, request, row),
            },
            Packet::Wrote { request, outcome } => {
                if let Some(found) = self.requests.remove(&request) {
                    let packet = Packet::ClientWrote { request: found.number, outcome };
                    context.send(found.client, packet);
                }
            }
            Packet::ReadIndexed { request, position } => {
                let Some(found) = self.requests.remove(&request) else { return };
                let Stage::Barrier { row } = found.stage else { return };
                match position {
                    Some(needed) => self.read(context, found.client, found.number, (row, needed)),
                    None => refuse_read(context, &found),
                }
            }
            Packet::ReadRow { request, position, value } => {
                self.take_row(context, request, position, value);
            }
            _ => {}
        }
    }

    fn write(&mut self, context: &mut Context<'_>, client: Address, number: u64, write: Write) {
        let Some(primary) = self.primary() else {
            let outcome = WriteOutcome::NotRun;
            context.send(client, Packet::ClientWrote { request: number, outcome });
            return;
        };
        let request = self.begin(context, client, number, Stage::Write);
        context.send(primary, Packet::Write { request, write });
    }

    fn barrier(&mut self, context: &mut Context<'_>, client: Address, number: u64, row: u8) {
        let Some(primary) = self.primary() else {
            context.send(client, Packet::ClientReadDone { request: number, value: None });
            return;
        };
        let request = self.begin(context, client, number, Stage::Barrier { row });
        context.send(primary, Packet::ReadIndex { request });
    }

    fn read(
        &mut self,
        context: &mut Context<'_>,
        client: Address,
        number: u64,
        (row, needed): (u8, Position),
    ) {
        let stage = Stage::Row { row, needed, asked_primary: false };
        let request = self.begin(context, client, number, stage);
        if let Some(begun) = self.requests.get_mut(&request) {
            begun.deadline = context.now + MEMBER_PATIENCE;
        }
        let member = context.random.random_range(0..MEMBERS);
        context.send(Address::Member(member), Packet::Read { request, row });
    }

    /// A replica that is behind makes the proxy ask the primary.
    fn take_row(
        &mut self,
        context: &mut Context<'_>,
        request: u64,
        position: Position,
        value: u32,
    ) {
        let Some(found) = self.requests.get_mut(&request) else { return };
        let Stage::Row { row, needed, asked_primary } = &mut found.stage else { return };
        if position.covers(*needed) || context.is(Variant::TokenNotChecked) {
            let answer = Some((position.merge(*needed), value));
            let packet = Packet::ClientReadDone { request: found.number, value: answer };
            context.send(found.client, packet);
            self.requests.remove(&request);
            return;
        }
        if !*asked_primary {
            let row = *row;
            self.ask_primary(context, request, row);
        }
    }

    fn ask_primary(&mut self, context: &mut Context<'_>, request: u64, row: u8) {
        if let Some(found) = self.requests.get_mut(&request) {
            if let Stage::Row { asked_primary, .. } = &mut found.stage {
                *asked_primary = true;
            }
            found.deadline = context.now + REQUEST_PATIENCE;
        }
        if let Some(primary) = self.primary() {
            context.send(primary, Packet::Read { request, row });
        }
    }

    pub(super) fn expire_requests(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let late = self.requests.extract_if(.., |_, request| now >= request.deadline);
        for (number, request) in late.collect::<Vec<_>>() {
            match request.stage {
                Stage::Row { row, asked_primary: false, .. } => {
                    self.requests.insert(number, request);
                    self.ask_primary(context, number, row);
                }
                Stage::Write => {
                    let outcome = WriteOutcome::Unknown;
                    let packet = Packet::ClientWrote { request: request.number, outcome };
                    context.send(request.client, packet);
                }
                Stage::Barrier { .. } | Stage::Row { .. } => refuse_read(context, &request),
            }
        }
    }
}

fn refuse_read(context: &mut Context<'_>, request: &Request) {
    let packet = Packet::ClientReadDone { request: request.number, value: None };
    context.send(request.client, packet);
}
