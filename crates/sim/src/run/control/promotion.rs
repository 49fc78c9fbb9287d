//! A registered group whose primary no gateway reaches, and an authority that answers no call.
//!
//! Every leader of the cell therefore decides on a promotion and calls for it, again and again. Owns the
//! promotion duty of one leadership. Calls are noted for the checker, which allows one machine a fence.

use super::{Machine, Origin};
use crate::run::event::Context;
use crate::run::history::Note;
use crate::run::names::{address, proxy_name, registered_group, registered_member, zone};
use corktack_core::position::{Position, Term};
use corktack_core::registry::{
    BackEndReport, BackEndRole, BackEndState, Document, DocumentLimits, GatewayContact,
    MemberAnswer, PromotionAction, PromotionManager, PromotionSettings, ReachReport,
    RegisteredBackEnd, RegistryCommand, RegistryState, ServiceRule, StoredDocument,
};
use corktack_core::state::command::Command;
use corktack_core::statement::MemberStatus;
use corktack_core::time::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Members of the registered group; the first is its primary.
const MEMBERS: u8 = 3;
const FIRST_PORT: u16 = 7_000;
const MAX_CONNECTIONS: u32 = 9;
const TRANSACTION_IDLE: Duration = Duration::from_secs(3);
/// All gateways, which do not reach the primary.
const GATEWAYS: u8 = 2;

/// The promotion duty of one leadership.
pub(super) struct Promotions {
    manager: PromotionManager,
    /// Whether this leadership has proposed what the registry lacked.
    is_registration_proposed: bool,
}

impl Promotions {
    pub fn new() -> Self {
        let mut manager = PromotionManager::new(PromotionSettings::default());
        for gateway in (0..GATEWAYS).map(proxy_name) {
            let (group, member) = (registered_group(), registered_member(0));
            manager.record_reach_report(ReachReport { gateway, group, member, reached: false });
        }
        Self { manager, is_registration_proposed: false }
    }

    /// Performs the actions of the duty. Returns its proposals.
    pub fn advance(
        &mut self,
        context: &mut Context<'_>,
        machine: u8,
        registry: &RegistryState,
    ) -> Vec<(Command, Origin)> {
        let mut commands = Vec::new();
        if !std::mem::replace(&mut self.is_registration_proposed, true) {
            commands = missing_registrations(registry);
        }
        for action in self.evaluate(context.now, registry) {
            match action {
                PromotionAction::Propose(command) => commands.push(command),
                PromotionAction::RequestPromotion { fence, .. } => {
                    context.notes.push(Note::PromotionCalled { machine, fence });
                }
                PromotionAction::RequestStatus { group, member, asked_at, .. } => {
                    let answer = replica_status();
                    self.manager.record_member_answer(&group, &member, asked_at, answer);
                }
                PromotionAction::Release { .. } => {}
            }
        }
        let proposal = |command| (Command::Registry(Box::new(command)), Origin::Registry);
        commands.into_iter().map(proposal).collect()
    }

    fn evaluate(&mut self, now: Timestamp, registry: &RegistryState) -> Vec<PromotionAction> {
        let gateways = GatewayContact { reporting: usize::from(GATEWAYS), silent: 0 };
        self.manager.advance(now, registry, gateways)
    }
}

impl Machine {
    /// Advances the promotion duty and proposes its decisions.
    pub(super) fn run_promotions(&mut self, context: &mut Context<'_>) {
        let index = self.index;
        let Some(process) = &mut self.process else { return };
        let Some(duties) = &mut process.duties else { return };
        let registry = process.state.registry();
        for (command, origin) in duties.promotions.advance(context, index, registry) {
            self.propose(context, &command, origin);
        }
    }
}

fn replica_status() -> MemberAnswer {
    let received = Position { term: Term(1), index: 1 };
    MemberAnswer::Status(MemberStatus { primary: false, term: 1, received, pause_term: 0 })
}

/// Returns the commands that register the group and its members, as far as the registry lacks them.
fn missing_registrations(registry: &RegistryState) -> Vec<RegistryCommand> {
    let document = registry.document().is_none().then(document);
    let is_missing = |index: &u8| registry.back_end(&registered_member(*index)).is_none();
    let members = (0..MEMBERS).filter(is_missing).map(registration);
    document.into_iter().chain(members).collect()
}

fn document() -> RegistryCommand {
    let service = ServiceRule {
        name: registered_group(),
        max_connections: MAX_CONNECTIONS,
        synchronous_replicas: 0,
    };
    let document = Document {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: DocumentLimits { transaction_idle: TRANSACTION_IDLE },
        tenants: None,
    };
    let source = "document".into();
    RegistryCommand::PutDocument(StoredDocument { document: Arc::new(document), source })
}

fn registration(index: u8) -> RegistryCommand {
    let back_end = RegisteredBackEnd {
        group: registered_group(),
        address: address(FIRST_PORT + u16::from(index)),
        zone: zone(index),
        capacity: 1,
        state: BackEndState::Ready,
        role: if index == 0 { BackEndRole::Primary } else { BackEndRole::Replica },
    };
    let report = BackEndReport { back_end, sequence: 1, warmup: Duration::ZERO };
    RegistryCommand::Report { member: registered_member(index), report }
}
