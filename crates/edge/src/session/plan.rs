//! Decides where a batch is answered and rewrites its statements' names.

use crate::batch::{BatchEnd, CallerBatch};
use crate::error::Rejection;
use bytes::BytesMut;
use corktack_core::classify::{BlockEffect, Classification, ProfileCache, StatementProfile};
use corktack_core::session::{
    MISSING_STATEMENT, SessionStatement, SessionStatements, StatementError, shared_name,
};
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Access, Batch, PreparedStatement};
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{
    Bind, Close, Describe, Flush, Parse, Sync, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::simplequery::Query;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Longest batch that fits into a frame to the owner with all that goes with it.
const REQUEST_LIMIT: usize = PAYLOAD_LIMIT - 64 * 1024;
/// Most bytes of an encoded parameter type.
const TYPE_BYTES: usize = 5;
/// Most bytes of the lengths of an encoded prepared statement.
const STATEMENT_BYTES: usize = 16;

/// Where a batch is answered.
#[derive(Debug)]
pub enum Plan {
    /// By the edge.
    Local(Vec<Message>),
    /// By the owner.
    Forward(ForwardPlan),
}

/// A batch for the owner.
#[derive(Debug)]
pub struct ForwardPlan {
    /// The rewritten messages.
    pub batch: Batch,
    /// What it may do.
    pub access: Access,
    /// Whether it may commit an open transaction.
    pub may_commit: bool,
    /// Whether running it twice harms nobody.
    pub repeatable: bool,
    /// Whether anything runs; otherwise it only prepares.
    pub executes: bool,
    /// What it leaves behind of a transaction block.
    pub block: BlockEffect,
    /// Whether it ends with a `Flush`, and leaves the batch unfinished.
    pub flushes: bool,
}

impl ForwardPlan {
    /// Whether it may run a write, and does not only prepare one.
    #[must_use]
    pub fn runs_write(&self) -> bool {
        self.access == Access::Write && self.executes
    }

    /// Whether a write may stay of it, and not only a transaction that it started.
    #[must_use]
    pub fn may_leave_write(&self) -> bool {
        self.runs_write() && !self.repeatable
    }
}

/// Statements of portals by the portals' names.
pub type Portals = BTreeMap<String, Arc<SessionStatement>>;

/// Where in a session a batch stands.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Inside an open transaction block.
    pub in_transaction: bool,
    /// Behind a `Flush` whose `Sync` has not come.
    pub unfinished: bool,
    /// Whether the next write runs under an idempotency key.
    pub keyed: bool,
}

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

/// Plans a batch. Its effects on `statements` stay pending.
///
/// # Errors
/// A [`Rejection`] when no message of the batch may run.
pub fn plan(batch: CallerBatch, place: Place, known: Known<'_>) -> Result<Plan, Rejection> {
    if let Some(rejection) = batch.rejection {
        return Err(rejection);
    }
    let syncs = place.in_transaction || (batch.only_prepares() && !place.unfinished);
    let flushes = batch.end == BatchEnd::Flush && !syncs;
    let mut planner = Planner::new(known, flushes);
    for message in &batch.messages {
        planner.take(message, place.in_transaction)?;
    }
    // Even an empty part of an unfinished batch has the Sync that ends it.
    planner.uses_owner |= place.unfinished;
    if !planner.uses_owner {
        planner.statements.end_batch();
        return Ok(Plan::Local(batch.messages));
    }
    if planner.uses_edge {
        return Err(Rejection::MixedBatch);
    }
    if flushes && place.keyed && planner.writes {
        return Err(Rejection::FlushOfKeyedWrite);
    }
    let is_query = matches!(batch.messages.last(), Some(Message::Query(_)));
    if flushes {
        planner.put(&Message::Flush(Flush::new()))?;
    } else if !is_query {
        planner.put(&Message::Sync(Sync::new()))?;
    }
    let plan = planner.finish();
    if size_of_batch(&plan.batch) > REQUEST_LIMIT {
        return Err(Rejection::RequestTooLarge(REQUEST_LIMIT));
    }
    Ok(Plan::Forward(plan))
}

/// Bytes of the parts of a batch that callers can make long, and a little for each.
fn size_of_batch(batch: &Batch) -> usize {
    let prepared = batch.prepared.iter().map(|statement| {
        let texts = statement.name.len() + statement.query.len();
        texts + TYPE_BYTES * statement.parameter_types.len() + STATEMENT_BYTES
    });
    batch.messages.len() + prepared.sum::<usize>()
}

struct Planner<'a> {
    statements: &'a mut SessionStatements,
    cache: &'a mut ProfileCache,
    /// Statements of the portals bound since the last `Sync`.
    portals: &'a mut Portals,
    /// Shared names that the batch itself has parsed so far.
    parsed: HashSet<String>,
    prepared: BTreeMap<String, Arc<SessionStatement>>,
    output: BytesMut,
    uses_owner: bool,
    uses_edge: bool,
    writes: bool,
    may_commit: bool,
    /// Whether everything that runs only starts a transaction.
    repeatable: bool,
    executes: bool,
    block: BlockEffect,
    flushes: bool,
}

impl<'a> Planner<'a> {
    fn new(known: Known<'a>, flushes: bool) -> Self {
        let Known { statements, portals, cache } = known;
        Self {
            statements,
            cache,
            portals,
            parsed: HashSet::new(),
            prepared: BTreeMap::new(),
            output: BytesMut::new(),
            uses_owner: false,
            uses_edge: false,
            writes: false,
            may_commit: false,
            repeatable: true,
            executes: false,
            block: BlockEffect::None,
            flushes,
        }
    }

    fn take(&mut self, message: &Message, in_transaction: bool) -> Result<(), Rejection> {
        match message {
            Message::Query(query) => self.take_query(query),
            Message::Parse(parse) => self.take_parse(parse),
            Message::Bind(bind) => self.take_bind(bind),
            Message::Describe(describe) => self.take_describe(describe),
            Message::Execute(execute) => {
                self.executes = true;
                let name = execute.name.as_deref().unwrap_or_default();
                self.use_portal(name)?;
                if let Some(statement) = self.portals.get(name) {
                    self.block = self.block.then(statement.profile.block);
                }
                self.put(message)
            }
            Message::Close(close) => self.take_close(close, in_transaction),
            _ => Ok(()),
        }
    }

    fn take_query(&mut self, query: &Query) -> Result<(), Rejection> {
        self.executes = true;
        let profile = self.cache.profile(&query.query);
        self.use_text(&profile)?;
        self.block = self.block.then(profile.block);
        self.put(&Message::Query(Query::new(query.query.clone())))
    }

    fn take_parse(&mut self, parse: &Parse) -> Result<(), Rejection> {
        let profile = self.cache.profile(&parse.query);
        self.use_text(&profile)?;
        let shared = shared_name(&parse.query, &parse.type_oids);
        let statement = SessionStatement {
            shared_name: shared.clone(),
            query: parse.query.clone(),
            parameter_types: parse.type_oids.clone(),
            profile,
        };
        self.statements.define(parse.name.as_deref().unwrap_or_default(), statement)?;
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
        self.portals.insert(portal, statement);
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

    /// Closing a statement must not destroy the shared one, so another name is closed.
    fn take_close(&mut self, close: &Close, in_transaction: bool) -> Result<(), Rejection> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.forget(close.name.as_deref().unwrap_or_default());
            let missing = Some(MISSING_STATEMENT.to_owned());
            return self.put(&Message::Close(Close::new(TARGET_TYPE_BYTE_STATEMENT, missing)));
        }
        self.statements.close_portal();
        self.uses_owner |= in_transaction;
        self.put(&Message::Close(Close::new(close.target_type, close.name.clone())))
    }

    fn use_text(&mut self, profile: &StatementProfile) -> Result<(), Rejection> {
        match &profile.classification {
            Classification::Refused(unsupported) => return Err((*unsupported).into()),
            Classification::Local(_) => {
                self.uses_edge = true;
                return Ok(());
            }
            Classification::Read => {}
            Classification::Write => self.writes = true,
        }
        self.uses_owner = true;
        self.may_commit |= profile.may_commit;
        self.repeatable &= profile.only_starts_transaction;
        Ok(())
    }

    fn use_statement(&mut self, name: &str) -> Result<Arc<SessionStatement>, Rejection> {
        let found = self.statements.find(name);
        let statement = found.ok_or_else(|| StatementError::Unknown(name.to_owned()))?;
        self.use_text(&statement.profile)?;
        let is_local = matches!(statement.profile.classification, Classification::Local(_));
        if !is_local && !self.parsed.contains(&statement.shared_name) {
            self.prepared.insert(statement.shared_name.clone(), statement.clone());
        }
        Ok(statement)
    }

    /// A portal of an earlier batch may run anything.
    fn use_portal(&mut self, name: &str) -> Result<(), Rejection> {
        if let Some(statement) = self.portals.get(name).cloned() {
            return self.use_text(&statement.profile);
        }
        self.uses_owner = true;
        self.writes = true;
        self.may_commit = true;
        self.repeatable = false;
        Ok(())
    }

    fn put(&mut self, message: &Message) -> Result<(), Rejection> {
        let encoded = message.encode(&mut self.output);
        encoded.map_err(|_| Rejection::BatchTooLarge(self.output.len()))
    }

    fn finish(self) -> ForwardPlan {
        let prepared = self.prepared.into_values().map(|statement| PreparedStatement {
            name: statement.shared_name.clone(),
            query: statement.query.clone(),
            parameter_types: statement.parameter_types.clone(),
        });
        ForwardPlan {
            batch: Batch { prepared: prepared.collect(), messages: self.output.to_vec() },
            access: if self.writes { Access::Write } else { Access::Read },
            may_commit: self.may_commit,
            repeatable: self.repeatable || !self.executes,
            executes: self.executes,
            block: self.block,
            flushes: self.flushes,
        }
    }
}
