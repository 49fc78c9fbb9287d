//! One caller's session: its values, its own commits, its transaction.
//!
//! It is for the statements of one caller, one after the other. It owns what lasts between them. [`serve`] is
//! the caller's connection; [`alone`] and [`read`] run statements outside a transaction, [`opening`] and
//! [`transaction`] those inside; [`response`] is what the caller is answered, [`decision`] the line that
//! explains it. It relies on the routes for what the caller may do and on the group for connections.

mod alone;
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
use crate::shared::Shared;
use crate::wire::Wire;
use corktack_core::gateway::{KnownPosition, OwnPosition, ReadBound, SessionProfile};
use corktack_core::identity::GroupName;
use corktack_core::position::Position;
use corktack_core::registry::Consistency;
use corktack_core::statement::{ErrorCode, PreparedShape, Request, Statement};
use corktack_core::tenancy::ApiKey;
use decision::Decision;
use response::Response;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use transaction::Transaction;

/// A session's last commit in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnCommit {
    /// At this position.
    At(KnownPosition),
    /// The member did not tell its position: only the primary surely has it.
    Unreported,
}

/// One caller's session.
pub(crate) struct Session<W: Wire> {
    shared: Rc<Shared<W>>,
    database: String,
    /// What the caller showed to say who it is.
    key: ApiKey,
    profile: SessionProfile,
    /// The session's last commit in each group: positions of one say nothing of another.
    own_commits: BTreeMap<GroupName, OwnCommit>,
    transaction: Transaction<W>,
    /// What is decided for the statement under way.
    decision: RefCell<Decision>,
}

impl<W: Wire> Session<W> {
    fn new(shared: Rc<Shared<W>>, database: String, key: ApiKey) -> Self {
        Self {
            shared,
            database,
            key,
            profile: SessionProfile::default(),
            own_commits: BTreeMap::new(),
            transaction: Transaction::None,
            decision: RefCell::default(),
        }
    }

    /// Serves one statement.
    async fn handle(&mut self, request: Request) -> Response {
        self.decision.take();
        if self.transaction.is_failed() {
            return self.handle_after_failure(&request);
        }
        match request.statement {
            Statement::Malformed => self.own_failure(ErrorCode::Malformed, "no such statement"),
            Statement::Set { name, value } => {
                self.profile.set(name, value);
                self.own_success()
            }
            Statement::Prepare { name, shape } => {
                self.profile.prepare(name, shape);
                self.own_success()
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
            match self.admitted() {
                Ok(admitted) => self.run_alone(&admitted, request, shape.as_ref()).await,
                Err(response) => response,
            }
        } else {
            self.run_inside(request, shape.as_ref()).await
        }
    }

    /// The shape that an execution runs; none for a plain statement.
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

    /// What the caller may do now: a change of its route or key binds from the next operation on.
    fn admitted(&self) -> Result<Admission<W>, Response> {
        let admitted = self.shared.routes.admit(&self.database, &self.key);
        admitted.map_err(|refused| {
            Response::failure(refused.code(), &refused.to_string(), self.transaction.state())
        })
    }

    /// Remembers that a member was asked in vain.
    fn attempted(&self, outcome: &str) {
        self.decision.borrow_mut().attempted(outcome);
    }

    /// The product's own success.
    fn own_success(&self) -> Response {
        Response::own_success(self.transaction.state())
    }

    /// The product's own failure; inside a transaction it fails the transaction.
    fn own_failure(&mut self, code: ErrorCode, text: &str) -> Response {
        if !self.transaction.is_none() {
            self.transaction = Transaction::Failed;
        }
        Response::failure(code, text, self.transaction.state())
    }

    /// What a read must see on a route; none where only the primary may serve it.
    fn read_bound(&self, route: &Route<W>) -> Option<ReadBound> {
        let own = |commit: KnownPosition| OwnPosition {
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
                        Some(ReadBound { staleness, own: Some(own(*commit)) })
                    }
                    None => Some(ReadBound { staleness, own: None }),
                }
            }
        }
    }

    fn note_own_commit(&mut self, group: &GroupName, position: Option<Position>) {
        let known_at = self.shared.now();
        let at = |position| OwnCommit::At(KnownPosition { position, known_at });
        self.own_commits.insert(group.clone(), position.map_or(OwnCommit::Unreported, at));
    }
}
