//! One caller's session: the state kept between its statements (session values, commit positions,
//! transaction).
//!
//! [`serve`] handles the caller's connection ([`caller`]); [`alone`] and [`read`] run statements outside a transaction,
//! [`opening`] and [`transaction`] those inside. [`response`] builds the answers, [`decision`] the log line
//! that explains a statement's outcome. The routes say what the caller may do; the group provides
//! connections.

mod alone;
mod caller;
mod decision;
mod open_transaction;
mod opening;
mod read;
mod response;
mod serve;
mod statement;
mod transaction;

pub(crate) use serve::serve_caller;

use crate::routes::{Admission, Route};
use crate::shared::GatewayContext;
use crate::wire::Wire;
use corktack_core::gateway::{KnownPosition, OwnPosition, ReadBound, SessionFull, SessionProfile};
use corktack_core::identity::GroupName;
use corktack_core::position::Position;
use corktack_core::registry::Consistency;
use corktack_core::statement::{ErrorCode, PreparedShape, Request, Statement, TransactionState};
use corktack_core::tenancy::ApiKey;
use decision::Decision;
use response::Response;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use transaction::Transaction;

/// Number of priority classes by which statements that were sent ahead wait behind the others: more than there
/// are.
const SENT_AHEAD_CLASSES: u32 = 1_000;

/// A session's last commit in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnCommit {
    /// Position that the member reported for the commit.
    At(KnownPosition),
    /// The member reported no position: only the primary is sure to hold the commit.
    Unreported,
}

/// State of one caller's session.
pub(crate) struct Session<W: Wire> {
    shared: Rc<GatewayContext<W>>,
    database: String,
    /// Key with which the caller authenticates.
    key: ApiKey,
    profile: SessionProfile,
    /// The session's last commit in each group: positions of different groups can't be compared.
    own_commits: BTreeMap<GroupName, OwnCommit>,
    transaction: Transaction<W>,
    /// Whether the caller sends many statements without waiting for answers.
    sends_ahead: bool,
    /// Decisions made for the current statement, for its log line.
    decision: RefCell<Decision>,
}

impl<W: Wire> Session<W> {
    fn new(shared: Rc<GatewayContext<W>>, database: String, key: ApiKey) -> Self {
        Self {
            shared,
            database,
            key,
            profile: SessionProfile::default(),
            own_commits: BTreeMap::new(),
            transaction: Transaction::None,
            sends_ahead: false,
            decision: RefCell::default(),
        }
    }

    /// Runs one statement and returns the answer to the caller.
    async fn handle(&mut self, request: Request) -> Response {
        self.decision.take();
        if self.transaction.is_failed() {
            return self.handle_after_failure(&request);
        }
        match request.statement {
            Statement::Malformed => self.own_failure(ErrorCode::Malformed, "no such statement"),
            Statement::Set { name, value } => {
                let stored = self.profile.set(name, value);
                self.own_outcome(stored)
            }
            Statement::Prepare { name, shape } => {
                let stored = self.profile.prepare(name, shape);
                self.own_outcome(stored)
            }
            Statement::Deallocate { ref name } => match self.profile.deallocate(name) {
                Ok(()) => self.own_success(),
                Err(unknown) => self.own_failure(ErrorCode::UnknownStatement, &unknown.to_string()),
            },
            Statement::Begin { access } => self.begin(access),
            Statement::Commit => self.commit(&request).await,
            Statement::Rollback => self.rollback(),
            Statement::Run(_) | Statement::Execute { .. } => self.run(&request).await,
        }
    }

    async fn run(&mut self, request: &Request) -> Response {
        let shape = match self.prepared_shape(request) {
            Ok(shape) => shape,
            Err(response) => return response,
        };
        if self.transaction.is_none() {
            match self.admit() {
                Ok(admission) => {
                    self.run_outside_transaction(&admission, request, shape.as_ref()).await
                }
                Err(response) => response,
            }
        } else {
            self.run_in_transaction(request, shape.as_ref()).await
        }
    }

    /// Returns the shape of a prepared statement that the request executes; none for a plain statement.
    fn prepared_shape(&mut self, request: &Request) -> Result<Option<PreparedShape>, Response> {
        let Statement::Execute { name, .. } = &request.statement else { return Ok(None) };
        match self.profile.shape(name) {
            Ok(shape) => Ok(Some(shape.clone())),
            Err(unknown) => {
                let text = unknown.to_string();
                Err(self.own_failure(ErrorCode::UnknownStatement, &text))
            }
        }
    }

    /// Returns the caller's route and principal. A change of either applies from the next operation on.
    fn admit(&self) -> Result<Admission<W>, Response> {
        let admission = self.shared.routes.admit(&self.database, &self.key);
        admission.map_err(|refused| {
            Response::failure(refused.code(), &refused.to_string(), self.transaction.state())
        })
    }

    /// Refuses a statement for which there is no memory; it was not run. A transaction is rolled back.
    fn refuse_for_memory(&mut self) -> Response {
        if self.transaction.is_none() {
            return Response::memory_short(ErrorCode::Busy, TransactionState::Idle);
        }
        self.transaction.fail();
        Response::memory_short(ErrorCode::Aborted, self.transaction.state())
    }

    /// Returns the priority class in which a statement on a route waits for a connection. Callers that wait for
    /// their answers go first.
    fn priority(&self, route: &Route<W>) -> u32 {
        let behind = if self.sends_ahead { SENT_AHEAD_CLASSES } else { 0 };
        route.rule.priority.saturating_add(behind)
    }

    /// Returns the memory that the session's names, values and prepared statements take, in bytes.
    fn bytes(&self) -> usize {
        self.database.len() + self.key.len() + self.profile.bytes()
    }

    /// Records a failed attempt at a member.
    fn record_attempt(&self, outcome: &str) {
        self.decision.borrow_mut().record_attempt(outcome);
    }

    /// Returns the answer to a statement that stores something in the session.
    fn own_outcome(&mut self, stored: Result<(), SessionFull>) -> Response {
        match stored {
            Ok(()) => self.own_success(),
            Err(full) => self.own_failure(ErrorCode::Failed, &full.to_string()),
        }
    }

    /// Returns a success of a statement that the gateway handles without a member.
    fn own_success(&self) -> Response {
        Response::own_success(self.transaction.state())
    }

    /// Returns a failure detected by the gateway; inside a transaction, fails the transaction as well.
    fn own_failure(&mut self, code: ErrorCode, text: &str) -> Response {
        if !self.transaction.is_none() {
            self.transaction = Transaction::Failed;
        }
        Response::failure(code, text, self.transaction.state())
    }

    /// Returns what a read on a route must see at least; none if only the primary may serve it.
    fn read_bound(&self, route: &Route<W>) -> Option<ReadBound> {
        let own_position = |commit: KnownPosition| OwnPosition {
            position: commit.position,
            age: self.shared.now() - commit.known_at,
        };
        match route.rule.consistency {
            Consistency::Linearizable => None,
            Consistency::BoundedStaleness(staleness) => Some(ReadBound { staleness, own: None }),
            Consistency::ReadYourWrites(staleness) => {
                match self.own_commits.get(&route.group.name) {
                    Some(OwnCommit::Unreported) => None,
                    Some(OwnCommit::At(commit)) => {
                        Some(ReadBound { staleness, own: Some(own_position(*commit)) })
                    }
                    None => Some(ReadBound { staleness, own: None }),
                }
            }
        }
    }

    /// Records the position of a commit of this session, or that the member reported none.
    fn record_own_commit(&mut self, group: &GroupName, position: Option<Position>) {
        let known_at = self.shared.now();
        let at_position = |position| OwnCommit::At(KnownPosition { position, known_at });
        self.own_commits.insert(group.clone(), position.map_or(OwnCommit::Unreported, at_position));
    }
}
