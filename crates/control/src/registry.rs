//! Access to the registry of back ends and to the configuration document, for the interfaces of a deployment.
//!
//! Changes go through the log and reads through the state, on whichever replica leads. The handle only
//! decides whether the cell has enough voters to accept changes.

use crate::consensus::{ConsensusHandle, ReplicaStatus};
use crate::error::RequestError;
use crate::starting::StartupContext;
use corktack_core::identity::MemberName;
use corktack_core::registry::{
    BackEndReport, DocumentError, RegistryCommand, RegistryOutcome, StoredDocument,
};
use corktack_core::state::command::{Command, Outcome};
use std::net::IpAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Why a change or read of the registry failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The document is invalid and can never be put in force.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The cell does not have all its voters yet; nothing was changed.
    #[error("the cell is still forming")]
    Forming,
    /// The outcome is unknown; the same change may be sent again.
    #[error(transparent)]
    Unavailable(#[from] RequestError),
}

/// Changes and reads the registry through the leader, on any replica of the cell.
#[derive(Clone)]
pub struct RegistryHandle {
    consensus: ConsensusHandle,
    status: watch::Receiver<ReplicaStatus>,
    required_voters: usize,
    formation_deadline: Instant,
}

impl std::fmt::Debug for RegistryHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("RegistryHandle").finish_non_exhaustive()
    }
}

impl RegistryHandle {
    pub(crate) fn new(starting: &StartupContext) -> Self {
        let settings = &starting.settings;
        Self {
            consensus: starting.consensus.clone(),
            status: starting.status.clone(),
            required_voters: settings.cell_repair.map_or(0, |repair| repair.voters),
            formation_deadline: Instant::now() + settings.formation_grace,
        }
    }

    /// Puts a document in force, unless a document of the same or a higher version is in force. Returns the
    /// version in force after the change is committed.
    ///
    /// # Errors
    /// Returns [`RegistryError::Document`] if the document is invalid; after any other error the caller may
    /// repeat the call.
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

    /// Returns the document in force, at least as new as any document acknowledged before the call.
    ///
    /// # Errors
    /// Returns [`RegistryError::Unavailable`] if the replica cannot confirm within `read_timeout` that it is
    /// current.
    pub async fn document(
        &self,
        read_timeout: Duration,
    ) -> Result<Option<StoredDocument>, RegistryError> {
        let read = self
            .consensus
            .read_within(read_timeout, |reader| reader.state.registry().document().cloned());
        Ok(read.await?)
    }

    /// Applies the heartbeat of a back end. If the report changes the registry, the change is committed
    /// before this function returns.
    ///
    /// # Errors
    /// Returns a [`RegistryError`] if the change fails; the back end should report to another replica.
    pub async fn apply_report(
        &self,
        member: MemberName,
        report: BackEndReport,
    ) -> Result<(), RegistryError> {
        let (name, peeked_report) = (member.clone(), report.clone());
        let is_change = self
            .consensus
            .read_local(move |reader| {
                reader.state.registry().changes_registration(&name, &peeked_report)
            })
            .await?;
        if !is_change {
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

    /// Removes a back end that has left for good; the removal is committed before this function returns.
    ///
    /// # Errors
    /// Returns a [`RegistryError`] if the change fails; the back end should report to another replica.
    pub async fn remove_back_end(&self, member: MemberName) -> Result<(), RegistryError> {
        log::info!(member:% = member; "back end leaves");
        self.change(RegistryCommand::Leave { member }).await.map(drop)
    }

    /// Returns the address of the leader's machine, if known, so that back ends can send later heartbeats
    /// directly to the leader.
    #[must_use]
    pub fn leader_ip(&self) -> Option<IpAddr> {
        let status = self.status.borrow();
        let leader = status.leader?;
        let member = status.cell.voters.iter().find(|voter| voter.id == leader)?;
        Some(member.address.ip())
    }

    async fn change(&self, command: RegistryCommand) -> Result<RegistryOutcome, RegistryError> {
        let is_complete = self.status.borrow().cell.voters.len() >= self.required_voters;
        if !is_complete && Instant::now() < self.formation_deadline {
            return Err(RegistryError::Forming);
        }
        match self.consensus.propose(Command::Registry(Box::new(command))).await? {
            Outcome::Registry(outcome) => Ok(outcome),
            _ => Err(RequestError::OutcomeForgotten.into()),
        }
    }
}
