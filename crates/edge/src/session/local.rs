//! Answers batches that the edge answers itself: statements about settings of the session, and all
//! statements in a lost transaction block up to its end.

use super::state::Session;
use crate::answer;
use crate::error::{Rejection, Severity};
use bytes::BytesMut;
use corktack_core::classify::{Classification, LocalStatement, StatementProfile, TOKEN_SETTING};
use corktack_core::session::{SessionStatement, SessionToken, StatementError, shared_name};
use pgwire::messages::PgWireBackendMessage as Answer;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, CloseComplete, Describe, Parse, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use std::sync::Arc;

/// Longest idempotency key that a session stores, in bytes, which bounds its memory. The owner applies
/// its own limit to the key of a write.
const MAX_KEY_BYTES: usize = 256;

/// Answers a batch, and reports whether every message succeeded. The messages after an error are
/// skipped.
pub(super) fn answer_locally(session: &mut Session, messages: &[Message]) -> bool {
    for message in messages {
        if let Err(rejection) = answer_message(session, message) {
            answer::put_error_response(&mut session.caller.output, &rejection, Severity::Error);
            return false;
        }
    }
    true
}

fn answer_message(session: &mut Session, message: &Message) -> Result<(), Rejection> {
    match message {
        Message::Query(query) => {
            let profile = session.context.profile(&query.query);
            check_answered_locally(session, &profile)?;
            describe_profile(&mut session.caller.output, &profile, DescribeTarget::Query);
            execute_profile(session, &profile)
        }
        Message::Parse(parse) => define_statement(session, parse),
        Message::Bind(message) => bind_portal(session, message),
        Message::Describe(target) => describe_message(session, target),
        Message::Execute(target) => {
            let profile = profile_of_portal(session, target.name.as_deref().unwrap_or_default())?;
            execute_profile(session, &profile)
        }
        Message::Close(target) => {
            if target.target_type == TARGET_TYPE_BYTE_STATEMENT {
                session.statements.forget(target.name.as_deref().unwrap_or_default());
                session.statements.confirm();
            }
            put_message(session, Answer::CloseComplete(CloseComplete::new()));
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Returns an error unless the edge may answer the statement. In a lost transaction block these are the
/// statement that ends the block and the empty statement.
fn check_answered_locally(session: &Session, profile: &StatementProfile) -> Result<(), Rejection> {
    let is_empty = profile.classification == Classification::Local(LocalStatement::Empty);
    let is_local = matches!(profile.classification, Classification::Local(_));
    match session.block_abandoned {
        true if is_empty || profile.only_ends_transaction => Ok(()),
        true => Err(Rejection::TransactionAborted),
        false if is_local => Ok(()),
        false => Err(Rejection::MixedBatch),
    }
}

fn put_message(session: &mut Session, message: Answer) {
    answer::put_message(&mut session.caller.output, &message);
}

fn define_statement(session: &mut Session, parse: &Parse) -> Result<(), Rejection> {
    let statement = SessionStatement {
        shared_name: shared_name(&parse.query, &parse.type_oids),
        query: parse.query.clone(),
        parameter_types: parse.type_oids.clone(),
        profile: session.context.profile(&parse.query),
    };
    check_answered_locally(session, &statement.profile)?;
    session.statements.define(parse.name.as_deref().unwrap_or_default(), statement)?;
    session.statements.confirm();
    put_message(session, Answer::ParseComplete(ParseComplete::new()));
    Ok(())
}

fn bind_portal(session: &mut Session, message: &Bind) -> Result<(), Rejection> {
    let name = message.statement_name.as_deref().unwrap_or_default();
    let statement = statement_of(session, name)?;
    check_answered_locally(session, &statement.profile)?;
    session.portals.insert(message.portal_name.clone().unwrap_or_default(), statement);
    put_message(session, Answer::BindComplete(BindComplete::new()));
    Ok(())
}

fn statement_of(session: &Session, name: &str) -> Result<Arc<SessionStatement>, Rejection> {
    let found = session.statements.find(name);
    Ok(found.ok_or_else(|| StatementError::Unknown(name.to_owned()))?)
}

fn profile_of_portal(session: &Session, name: &str) -> Result<Arc<StatementProfile>, Rejection> {
    let found = session.portals.get(name).map(|statement| statement.profile.clone());
    found.ok_or_else(|| Rejection::UnknownPortal(name.to_owned()))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum DescribeTarget {
    Query,
    Statement,
    Portal,
}

fn describe_message(session: &mut Session, target: &Describe) -> Result<(), Rejection> {
    let name = target.name.as_deref().unwrap_or_default();
    let is_statement = target.target_type == TARGET_TYPE_BYTE_STATEMENT;
    let (profile, target_kind) = if is_statement {
        (statement_of(session, name)?.profile.clone(), DescribeTarget::Statement)
    } else {
        (profile_of_portal(session, name)?, DescribeTarget::Portal)
    };
    describe_profile(&mut session.caller.output, &profile, target_kind);
    Ok(())
}

fn describe_profile(
    output: &mut BytesMut,
    profile: &StatementProfile,
    target_kind: DescribeTarget,
) {
    if target_kind == DescribeTarget::Statement {
        answer::put_no_parameters(output);
    }
    if profile.classification == Classification::Local(LocalStatement::ShowToken) {
        answer::put_text_column(output, TOKEN_SETTING);
    } else if target_kind != DescribeTarget::Query {
        answer::put_no_data(output);
    }
}

fn execute_profile(session: &mut Session, profile: &StatementProfile) -> Result<(), Rejection> {
    let Classification::Local(statement) = &profile.classification else {
        check_answered_locally(session, profile)?;
        session.end_abandoned_block();
        answer::put_command_complete(&mut session.caller.output, "ROLLBACK");
        return Ok(());
    };
    match run_local_statement(session, statement)? {
        Some(tag) => answer::put_command_complete(&mut session.caller.output, tag),
        None => answer::put_empty_query_response(&mut session.caller.output),
    }
    Ok(())
}

/// Runs a statement that the edge answers, and returns its command tag; an empty statement has none.
fn run_local_statement(
    session: &mut Session,
    statement: &LocalStatement,
) -> Result<Option<&'static str>, Rejection> {
    Ok(Some(match statement {
        LocalStatement::Empty => return Ok(None),
        LocalStatement::ShowToken => {
            let token = session.token.to_string();
            answer::put_text_row(&mut session.caller.output, &token);
            "SHOW"
        }
        LocalStatement::SetToken(text) => {
            session.token.merge(&text.parse::<SessionToken>()?)?;
            "SET"
        }
        LocalStatement::SetIdempotencyKey(key) if key.len() > MAX_KEY_BYTES => {
            return Err(Rejection::KeyTooLong(MAX_KEY_BYTES));
        }
        LocalStatement::SetIdempotencyKey(key) => {
            session.idempotency_key = (!key.is_empty()).then(|| key.clone());
            "SET"
        }
        LocalStatement::SetApplicationName(name) => {
            session.identity.application_name.clone_from(name);
            answer::put_parameter_status(&mut session.caller.output, "application_name", name);
            "SET"
        }
        LocalStatement::SetIgnored => "SET",
        LocalStatement::DiscardNothing(tag) => tag,
        LocalStatement::DiscardAll => {
            session.statements.clear();
            session.idempotency_key = None;
            "DISCARD ALL"
        }
        LocalStatement::DeallocateAll => {
            session.statements.clear();
            "DEALLOCATE ALL"
        }
    }))
}
