//! The registry of back ends and the configuration document, for the interfaces of a deployment.
//!
//! Owns nothing of them: changes go through the log and reads through the state. Decides only whether the
//! cell is complete enough to take changes.

use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::error::RequestError;
use crate::starting::Starting;
use corktack_core::identity::MemberName;
use corktack_core::registry::{
    BackEndReport, DocumentError, RegistryCommand, RegistryOutcome, StoredDocument,
};
use corktack_core::state::command::{Command, Outcome};
use std::net::IpAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Why the registry did not take a change or answer a question.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The document cannot be put in force; it never will be.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The cell is not complete yet; nothing was changed.
    #[error("the cell is still forming")]
    Forming,
    /// No outcome is known; the same change may be sent again.
    #[error(transparent)]
    Unavailable(#[from] RequestError),
}

/// Changes and reads the registry, whichever replica leads.
#[derive(Clone)]
pub struct RegistryHandle {
    consensus: ConsensusHandle,
    status: watch::Receiver<ReplicaStatus>,
    voters: usize,
    forming_until: Instant,
}

impl std::fmt::Debug for RegistryHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("RegistryHandle").finish_non_exhaustive()
    }
}

impl RegistryHandle {
    pub(crate) fn new(starting: &Starting) -> Self {
        let settings = &starting.settings;
        Self {
            consensus: starting.consensus.clone(),
            status: starting.status.clone(),
            voters: settings.cell_repair.map_or(0, |repair| repair.voters),
            forming_until: Instant::now() + settings.formation_grace,
        }
    }

    /// Puts a document in force, unless one of the same or a higher version is. Returns the
    /// version in force once the log has committed it.
    ///
    /// # Errors
    /// [`RegistryError::Document`] for one that never can be in force; the others may be repeated.
    pub async fn put_document(&self, offered: StoredDocument) -> Result<u64, RegistryError> {
        offered.document.check()?;
        let version = offered.document.version;
        let outcome = self.change(RegistryCommand::PutDocument(offered)).await?;
        let RegistryOutcome::Document { held } = outcome else {
            return Err(RequestError::OutcomeForgotten.into());
        };
        log::info!(version, held; "configuration document committed");
        Ok(held)
    }

    /// The document in force, at least as new as any acknowledged before the call.
    ///
    /// # Errors
    /// [`RegistryError::Unavailable`] when this cannot be proved now.
    pub async fn document(&self, limit: Duration) -> Result<Option<StoredDocument>, RegistryError> {
        let read =
            self.consensus.read_within(limit, |reader| reader.state.registry().document().cloned());
        Ok(read.await?)
    }

    /// Takes a heartbeat. What it reports anew is committed before this returns.
    ///
    /// # Errors
    /// [`RegistryError`]; the back end should report to another replica.
    pub async fn report(
        &self,
        member: MemberName,
        report: BackEndReport,
    ) -> Result<(), RegistryError> {
        let (name, reported) = (member.clone(), report.clone());
        let is_news = self
            .consensus
            .peek(move |reader| reader.state.registry().is_news(&name, &reported))
            .await?;
        if !is_news {
            return Ok(());
        }
        let back_end = &report.back_end;
        log::info!(
            member:% = member, group:% = back_end.group, state:? = back_end.state,
            role:? = back_end.role, sequence = report.sequence;
            "back end registers"
        );
        self.change(RegistryCommand::Report { member, report }).await.map(drop)
    }

    /// Notes that a back end is gone for good; committed before this returns.
    ///
    /// # Errors
    /// [`RegistryError`]; the back end should report to another replica.
    pub async fn leave(&self, member: MemberName) -> Result<(), RegistryError> {
        log::info!(member:% = member; "back end leaves");
        self.change(RegistryCommand::Leave { member }).await.map(drop)
    }

    /// Machine of the replica that leads, where known: later heartbeats may go there straight.
    #[must_use]
    pub fn leader_machine(&self) -> Option<IpAddr> {
        let status = self.status.borrow();
        let leader = status.leader?;
        let member = status.cell.voters.iter().find(|voter| voter.id == leader)?;
        Some(member.address.ip())
    }

    async fn change(&self, command: RegistryCommand) -> Result<RegistryOutcome, RegistryError> {
        let complete = self.status.borrow().cell.voters.len() >= self.voters;
        if !complete && Instant::now() < self.forming_until {
            return Err(RegistryError::Forming);
        }
        match self.consensus.propose(Command::Registry(Box::new(command))).await? {
            Outcome::Registry(outcome) => Ok(outcome),
            _ => Err(RequestError::OutcomeForgotten.into()),
        }
    }
}
