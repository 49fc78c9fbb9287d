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
/// Between two questions to a replica that has not reached the session's position.
const REPLICA_RETRIES: u8 = 1;

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
        retries: u8,
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
        let stage = Stage::Row { row, needed, retries: REPLICA_RETRIES };
        let request = self.begin(context, client, number, stage);
        let member = context.random.random_range(0..MEMBERS);
        context.send(Address::Member(member), Packet::Read { request, row });
    }

    /// A replica that is behind is asked once more, then the primary.
    fn take_row(
        &mut self,
        context: &mut Context<'_>,
        request: u64,
        position: Position,
        value: u32,
    ) {
        let Some(found) = self.requests.get_mut(&request) else { return };
        let Stage::Row { row, needed, retries } = &mut found.stage else { return };
        if position.covers(*needed) || context.is(Variant::TokenNotChecked) {
            let answer = Some((position.merge(*needed), value));
            let packet = Packet::ClientReadDone { request: found.number, value: answer };
            context.send(found.client, packet);
            self.requests.remove(&request);
            return;
        }
        if *retries > 0 {
            *retries -= 1;
            let row = *row;
            if let Some(primary) = self.primary() {
                context.send(primary, Packet::Read { request, row });
            }
        }
    }

    pub(super) fn expire_requests(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let late = self.requests.extract_if(.., |_, request| now >= request.deadline);
        for (_, request) in late.collect::<Vec<_>>() {
            match request.stage {
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
