//! Rewrites the messages of a batch for the owner: statement names are replaced by the names that all
//! sessions share.
//!
//! Rewriting updates the session's statements and portals as the messages ask, and adds each message to
//! the batch's effects.

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

/// Statements of the session's portals, by portal name.
pub type Portals = BTreeMap<String, Arc<SessionStatement>>;

/// State of the session that planning a batch reads and updates.
#[derive(Debug)]
pub struct PlanContext<'a> {
    /// The session's prepared statements.
    pub statements: &'a mut SessionStatements,
    /// The portals bound since the last `Sync`.
    pub portals: &'a mut Portals,
    /// The arbiter's cache of profiles of SQL texts.
    pub profile_cache: &'a mut ProfileCache,
}

/// Rewrites the messages of one batch.
pub(super) struct Rewriter<'a> {
    context: PlanContext<'a>,
    /// Shared names of the statements that the batch itself has parsed so far.
    parsed_names: HashSet<String>,
    /// Statements that the batch uses without having parsed them, by their shared names.
    used_statements: BTreeMap<String, Arc<SessionStatement>>,
    output: BytesMut,
    /// Combined effects of the messages so far.
    pub(super) effects: Effects,
}

impl<'a> Rewriter<'a> {
    /// Creates a rewriter for an empty batch.
    pub(super) fn new(context: PlanContext<'a>) -> Self {
        Self {
            context,
            parsed_names: HashSet::new(),
            used_statements: BTreeMap::new(),
            output: BytesMut::new(),
            effects: Effects::of_empty_batch(),
        }
    }

    /// Rewrites the next message of the batch.
    pub(super) fn add_message(
        &mut self,
        message: &Message,
        in_transaction: bool,
    ) -> Result<(), Rejection> {
        match message {
            Message::Query(query) => self.rewrite_query(query),
            Message::Parse(parse) => self.rewrite_parse(parse),
            Message::Bind(bind) => self.rewrite_bind(bind),
            Message::Describe(describe) => self.rewrite_describe(describe),
            Message::Execute(execute) => self.rewrite_execute(execute, message),
            Message::Close(close) => self.rewrite_close(close, in_transaction),
            _ => Ok(()),
        }
    }

    /// Discards the batch's pending changes of the session's statements, because the edge answers the
    /// batch itself.
    pub(super) fn discard_pending(self) {
        self.context.statements.end_batch();
    }

    /// Appends an encoded message for the owner.
    pub(super) fn put_message(&mut self, message: &Message) -> Result<(), Rejection> {
        let encoded = message.encode(&mut self.output);
        encoded.map_err(|_| Rejection::BatchTooLarge(self.output.len()))
    }

    /// Returns the rewritten batch.
    pub(super) fn finish(self) -> Batch {
        let prepared = self.used_statements.into_values().map(|statement| PreparedStatement {
            name: statement.shared_name.clone(),
            query: statement.query.clone(),
            parameter_types: statement.parameter_types.clone(),
        });
        Batch { prepared: prepared.collect(), messages: self.output.to_vec() }
    }

    fn rewrite_query(&mut self, query: &Query) -> Result<(), Rejection> {
        self.effects.executes = true;
        let profile = self.context.profile_cache.profile(&query.query);
        self.effects.add_text(&profile)?;
        self.effects.add_block(profile.block);
        self.put_message(&Message::Query(Query::new(query.query.clone())))
    }

    fn rewrite_parse(&mut self, parse: &Parse) -> Result<(), Rejection> {
        let profile = self.context.profile_cache.profile(&parse.query);
        self.effects.add_text(&profile)?;
        let statement_name = shared_name(&parse.query, &parse.type_oids);
        let statement = SessionStatement {
            shared_name: statement_name.clone(),
            query: parse.query.clone(),
            parameter_types: parse.type_oids.clone(),
            profile,
        };
        self.context.statements.define(parse.name.as_deref().unwrap_or_default(), statement)?;
        self.parsed_names.insert(statement_name.clone());
        let parameter_types = parse.type_oids.clone();
        self.put_message(&Message::Parse(Parse::new(
            Some(statement_name),
            parse.query.clone(),
            parameter_types,
        )))
    }

    fn rewrite_bind(&mut self, bind: &Bind) -> Result<(), Rejection> {
        let statement = self.use_statement(bind.statement_name.as_deref().unwrap_or_default())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        let rewritten = Bind::new(
            bind.portal_name.clone(),
            Some(statement.shared_name.clone()),
            bind.parameter_format_codes.clone(),
            bind.parameters.clone(),
            bind.result_column_format_codes.clone(),
        );
        self.context.portals.insert(portal, statement);
        self.put_message(&Message::Bind(rewritten))
    }

    fn rewrite_describe(&mut self, describe: &Describe) -> Result<(), Rejection> {
        let name = describe.name.as_deref().unwrap_or_default();
        if describe.target_type != TARGET_TYPE_BYTE_STATEMENT {
            self.use_portal(name)?;
            return self.put_message(&Message::Describe(Describe::new(
                describe.target_type,
                describe.name.clone(),
            )));
        }
        let statement = self.use_statement(name)?;
        let statement_name = Some(statement.shared_name.clone());
        self.put_message(&Message::Describe(Describe::new(
            TARGET_TYPE_BYTE_STATEMENT,
            statement_name,
        )))
    }

    fn rewrite_execute(&mut self, execute: &Execute, message: &Message) -> Result<(), Rejection> {
        self.effects.executes = true;
        let name = execute.name.as_deref().unwrap_or_default();
        self.use_portal(name)?;
        if let Some(statement) = self.context.portals.get(name) {
            self.effects.add_block(statement.profile.block);
        }
        self.put_message(message)
    }

    /// Rewrites `Close`. The shared statement must stay for other sessions, so the server is asked to
    /// close a name that no statement has.
    fn rewrite_close(&mut self, close: &Close, in_transaction: bool) -> Result<(), Rejection> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.context.statements.forget(close.name.as_deref().unwrap_or_default());
            let missing_name = Some(MISSING_STATEMENT.to_owned());
            return self.put_message(&Message::Close(Close::new(
                TARGET_TYPE_BYTE_STATEMENT,
                missing_name,
            )));
        }
        self.context.statements.close_portal();
        self.effects.uses_owner |= in_transaction;
        self.put_message(&Message::Close(Close::new(close.target_type, close.name.clone())))
    }

    fn use_statement(&mut self, name: &str) -> Result<Arc<SessionStatement>, Rejection> {
        let found = self.context.statements.find(name);
        let statement = found.ok_or_else(|| StatementError::Unknown(name.to_owned()))?;
        self.effects.add_text(&statement.profile)?;
        let is_local = matches!(statement.profile.classification, Classification::Local(_));
        if !is_local && !self.parsed_names.contains(&statement.shared_name) {
            self.used_statements.insert(statement.shared_name.clone(), statement.clone());
        }
        Ok(statement)
    }

    fn use_portal(&mut self, name: &str) -> Result<(), Rejection> {
        match self.context.portals.get(name) {
            Some(statement) => self.effects.add_text(&statement.profile)?,
            None => self.effects.add_unknown_portal(),
        }
        Ok(())
    }
}
