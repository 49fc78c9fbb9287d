//! Answers batches whose statements the edge itself answers: settings of the session, and all of a lost
//! transaction block up to its end.

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

/// Longest idempotency key that a session keeps, in bytes, so that a key costs no more memory than a name.
/// The owner's own limit is what a write meets.
const KEY_LIMIT: usize = 256;

/// Answers a batch; after an error its later messages are skipped. Tells whether
/// all went well.
pub(super) fn answer_locally(session: &mut Session, messages: &[Message]) -> bool {
    for message in messages {
        if let Err(rejection) = answer_message(session, message) {
            answer::put_rejection(&mut session.caller.output, &rejection, Severity::Error);
            return false;
        }
    }
    true
}

fn answer_message(session: &mut Session, message: &Message) -> Result<(), Rejection> {
    match message {
        Message::Query(query) => {
            let profile = session.context.profile(&query.query);
            check(session, &profile)?;
            describe(&mut session.caller.output, &profile, Described::Query);
            execute(session, &profile)
        }
        Message::Parse(parse) => define(session, parse),
        Message::Bind(target) => bind(session, target),
        Message::Describe(target) => describe_target(session, target),
        Message::Execute(target) => {
            let profile = portal(session, target.name.as_deref().unwrap_or_default())?;
            execute(session, &profile)
        }
        Message::Close(target) => {
            if target.target_type == TARGET_TYPE_BYTE_STATEMENT {
                session.statements.forget(target.name.as_deref().unwrap_or_default());
                session.statements.confirm();
            }
            put(session, Answer::CloseComplete(CloseComplete::new()));
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Whether the edge may answer the statement. In a lost transaction block that is
/// its end, or no statement at all.
fn check(session: &Session, profile: &StatementProfile) -> Result<(), Rejection> {
    let empty = profile.classification == Classification::Local(LocalStatement::Empty);
    let local = matches!(profile.classification, Classification::Local(_));
    match session.abandoned {
        true if empty || profile.only_ends_transaction => Ok(()),
        true => Err(Rejection::TransactionAborted),
        false if local => Ok(()),
        false => Err(Rejection::MixedBatch),
    }
}

fn put(session: &mut Session, message: Answer) {
    answer::put(&mut session.caller.output, &message);
}

fn define(session: &mut Session, parse: &Parse) -> Result<(), Rejection> {
    let statement = SessionStatement {
        shared_name: shared_name(&parse.query, &parse.type_oids),
        query: parse.query.clone(),
        parameter_types: parse.type_oids.clone(),
        profile: session.context.profile(&parse.query),
    };
    check(session, &statement.profile)?;
    session.statements.define(parse.name.as_deref().unwrap_or_default(), statement)?;
    session.statements.confirm();
    put(session, Answer::ParseComplete(ParseComplete::new()));
    Ok(())
}

fn bind(session: &mut Session, bind: &Bind) -> Result<(), Rejection> {
    let name = bind.statement_name.as_deref().unwrap_or_default();
    let statement = statement_of(session, name)?;
    check(session, &statement.profile)?;
    session.portals.insert(bind.portal_name.clone().unwrap_or_default(), statement);
    put(session, Answer::BindComplete(BindComplete::new()));
    Ok(())
}

fn statement_of(session: &Session, name: &str) -> Result<Arc<SessionStatement>, Rejection> {
    let found = session.statements.find(name);
    Ok(found.ok_or_else(|| StatementError::Unknown(name.to_owned()))?)
}

fn portal(session: &Session, name: &str) -> Result<Arc<StatementProfile>, Rejection> {
    let found = session.portals.get(name).map(|statement| statement.profile.clone());
    found.ok_or_else(|| Rejection::UnknownPortal(name.to_owned()))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Described {
    Query,
    Statement,
    Portal,
}

fn describe_target(session: &mut Session, target: &Describe) -> Result<(), Rejection> {
    let name = target.name.as_deref().unwrap_or_default();
    let is_statement = target.target_type == TARGET_TYPE_BYTE_STATEMENT;
    let (profile, described) = if is_statement {
        (statement_of(session, name)?.profile.clone(), Described::Statement)
    } else {
        (portal(session, name)?, Described::Portal)
    };
    describe(&mut session.caller.output, &profile, described);
    Ok(())
}

fn describe(output: &mut BytesMut, profile: &StatementProfile, described: Described) {
    if described == Described::Statement {
        answer::put_no_parameters(output);
    }
    if profile.classification == Classification::Local(LocalStatement::ShowToken) {
        answer::put_text_column(output, TOKEN_SETTING);
    } else if described != Described::Query {
        answer::put_no_data(output);
    }
}

fn execute(session: &mut Session, profile: &StatementProfile) -> Result<(), Rejection> {
    let Classification::Local(statement) = &profile.classification else {
        check(session, profile)?;
        session.end_abandoned();
        answer::put_complete(&mut session.caller.output, "ROLLBACK");
        return Ok(());
    };
    match run(session, statement)? {
        Some(tag) => answer::put_complete(&mut session.caller.output, tag),
        None => answer::put_empty(&mut session.caller.output),
    }
    Ok(())
}

/// Runs a statement of the edge's own, and gives the tag that completes it; an empty one has none.
fn run(
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
        LocalStatement::SetIdempotencyKey(key) if key.len() > KEY_LIMIT => {
            return Err(Rejection::KeyTooLong(KEY_LIMIT));
        }
        LocalStatement::SetIdempotencyKey(key) => {
            session.idempotency_key = (!key.is_empty()).then(|| key.clone());
            "SET"
        }
        LocalStatement::SetApplicationName(name) => {
            session.identity.application_name.clone_from(name);
            answer::put_parameter(&mut session.caller.output, "application_name", name);
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
