//! Rewrites the messages of a batch for the owner: statements get the names that all sessions share.
//!
//! The module owns the rewritten messages; it relies on the session's statements and portals, which it
//! changes as the messages ask, and on `effects` for the sum.

use super::effects::Effects;
use crate::error::Rejection;
use bytes::BytesMut;
use corktack_core::classify::{Classification, ProfileCache};
use corktack_core::session::{
    MISSING_STATEMENT, SessionStatement, SessionStatements, StatementError, shared_name,
};
use corktack_protocol::peer::{Batch, PreparedStatement};
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Execute, Parse, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::simplequery::Query;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Statements of portals by the portals' names.
pub type Portals = BTreeMap<String, Arc<SessionStatement>>;

/// What a plan depends on beside the batch.
#[derive(Debug)]
pub struct Known<'a> {
    /// The session's statements.
    pub statements: &'a mut SessionStatements,
    /// The portals bound since the last `Sync`.
    pub portals: &'a mut Portals,
    /// Profiles of texts.
    pub cache: &'a mut ProfileCache,
}

/// Rewrites one batch.
pub(super) struct Rewriter<'a> {
    known: Known<'a>,
    /// Shared names that the batch itself has parsed so far.
    parsed: HashSet<String>,
    /// Statements that the batch relies on, by their shared names.
    prepared: BTreeMap<String, Arc<SessionStatement>>,
    output: BytesMut,
    /// What the batch does.
    pub(super) effects: Effects,
}

impl<'a> Rewriter<'a> {
    /// Of a batch of which no message is taken yet.
    pub(super) fn new(known: Known<'a>) -> Self {
        Self {
            known,
            parsed: HashSet::new(),
            prepared: BTreeMap::new(),
            output: BytesMut::new(),
            effects: Effects::none(),
        }
    }

    /// Takes the next message of the batch.
    pub(super) fn take(
        &mut self,
        message: &Message,
        in_transaction: bool,
    ) -> Result<(), Rejection> {
        match message {
            Message::Query(query) => self.take_query(query),
            Message::Parse(parse) => self.take_parse(parse),
            Message::Bind(bind) => self.take_bind(bind),
            Message::Describe(describe) => self.take_describe(describe),
            Message::Execute(execute) => self.take_execute(execute, message),
            Message::Close(close) => self.take_close(close, in_transaction),
            _ => Ok(()),
        }
    }

    /// Drops what the batch has pending in the session's statements: the edge answers it itself.
    pub(super) fn forget_pending(self) {
        self.known.statements.end_batch();
    }

    /// Appends a message for the owner.
    pub(super) fn put(&mut self, message: &Message) -> Result<(), Rejection> {
        let encoded = message.encode(&mut self.output);
        encoded.map_err(|_| Rejection::BatchTooLarge(self.output.len()))
    }

    /// The batch for the owner.
    pub(super) fn finish(self) -> Batch {
        let prepared = self.prepared.into_values().map(|statement| PreparedStatement {
            name: statement.shared_name.clone(),
            query: statement.query.clone(),
            parameter_types: statement.parameter_types.clone(),
        });
        Batch { prepared: prepared.collect(), messages: self.output.to_vec() }
    }

    fn take_query(&mut self, query: &Query) -> Result<(), Rejection> {
        self.effects.executes = true;
        let profile = self.known.cache.profile(&query.query);
        self.effects.add_text(&profile)?;
        self.effects.add_block(profile.block);
        self.put(&Message::Query(Query::new(query.query.clone())))
    }

    fn take_parse(&mut self, parse: &Parse) -> Result<(), Rejection> {
        let profile = self.known.cache.profile(&parse.query);
        self.effects.add_text(&profile)?;
        let shared = shared_name(&parse.query, &parse.type_oids);
        let statement = SessionStatement {
            shared_name: shared.clone(),
            query: parse.query.clone(),
            parameter_types: parse.type_oids.clone(),
            profile,
        };
        self.known.statements.define(parse.name.as_deref().unwrap_or_default(), statement)?;
        self.parsed.insert(shared.clone());
        let types = parse.type_oids.clone();
        self.put(&Message::Parse(Parse::new(Some(shared), parse.query.clone(), types)))
    }

    fn take_bind(&mut self, bind: &Bind) -> Result<(), Rejection> {
        let statement = self.use_statement(bind.statement_name.as_deref().unwrap_or_default())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        let rewritten = Bind::new(
            bind.portal_name.clone(),
            Some(statement.shared_name.clone()),
            bind.parameter_format_codes.clone(),
            bind.parameters.clone(),
            bind.result_column_format_codes.clone(),
        );
        self.known.portals.insert(portal, statement);
        self.put(&Message::Bind(rewritten))
    }

    fn take_describe(&mut self, describe: &Describe) -> Result<(), Rejection> {
        let name = describe.name.as_deref().unwrap_or_default();
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            self.use_portal(name)?;
            return self.put(&Message::Describe(Describe::new(
                describe.target_type,
                describe.name.clone(),
            )));
        }
        let statement = self.use_statement(name)?;
        let shared = Some(statement.shared_name.clone());
        self.put(&Message::Describe(Describe::new(TARGET_TYPE_BYTE_STATEMENT, shared)))
    }

    fn take_execute(&mut self, execute: &Execute, message: &Message) -> Result<(), Rejection> {
        self.effects.executes = true;
        let name = execute.name.as_deref().unwrap_or_default();
        self.use_portal(name)?;
        if let Some(statement) = self.known.portals.get(name) {
            self.effects.add_block(statement.profile.block);
        }
        self.put(message)
    }

    /// Closing a statement must not destroy the shared one, so another name is closed.
    fn take_close(&mut self, close: &Close, in_transaction: bool) -> Result<(), Rejection> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.known.statements.forget(close.name.as_deref().unwrap_or_default());
            let missing = Some(MISSING_STATEMENT.to_owned());
            return self.put(&Message::Close(Close::new(TARGET_TYPE_BYTE_STATEMENT, missing)));
        }
        self.known.statements.close_portal();
        self.effects.uses_owner |= in_transaction;
        self.put(&Message::Close(Close::new(close.target_type, close.name.clone())))
    }

    fn use_statement(&mut self, name: &str) -> Result<Arc<SessionStatement>, Rejection> {
        let found = self.known.statements.find(name);
        let statement = found.ok_or_else(|| StatementError::Unknown(name.to_owned()))?;
        self.effects.add_text(&statement.profile)?;
        let is_local = matches!(statement.profile.classification, Classification::Local(_));
        if !is_local && !self.parsed.contains(&statement.shared_name) {
            self.prepared.insert(statement.shared_name.clone(), statement.clone());
        }
        Ok(statement)
    }

    fn use_portal(&mut self, name: &str) -> Result<(), Rejection> {
        match self.known.portals.get(name) {
            Some(statement) => self.effects.add_text(&statement.profile)?,
            None => self.effects.add_unknown_portal(),
        }
        Ok(())
    }
}
