//! Statements that the member answers itself: settings, status, fence and promotion.
//!
//! Relies on the contract of `corktack_core::backend` for the statements and their columns.

use super::{Reply, Session};
use crate::entry::Value;
use crate::replication::{ReplicationError, ReplicationStatus};
use crate::shared::public_role;
use crate::sql::run::{Column, Description, RowSet};
use crate::sql::{ColumnType, Command, SqlError};
use corktack_core::backend::{MemberRole, STATUS_COLUMNS};
use corktack_core::position::{Position, Term};
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for a majority to confirm the primary.
const READ_INDEX_TIMEOUT: Duration = Duration::from_secs(1);
const FENCE_COLUMNS: [&str; 2] = ["promised_term", "last_position"];
const POSITION_COLUMNS: [&str; 1] = ["position"];
const STATUS_SETTING: &str = "replication.status";
const READ_INDEX_SETTING: &str = "replication.read_index";
const READ_ONLY_SETTING: &str = "transaction_read_only";
const SETTINGS: [(&str, &str); 9] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("datestyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("timezone", "UTC"),
    ("transaction_isolation", "serializable"),
    ("search_path", "public"),
];

impl Session {
    pub(super) async fn administer(&mut self, command: &Command) -> Result<Reply, SqlError> {
        match command {
            Command::Show(setting) => self.show(setting).await,
            Command::Fence(term) => self.fence(*term).await,
            Command::Promote(term) => self.promote(*term).await,
            Command::SetLag(lag) => {
                self.shared.lag.send_replace(*lag);
                Ok(Reply::of_tag("ALTER SYSTEM"))
            }
            other => Ok(self.reset(other)),
        }
    }

    /// Columns of the statements that the member answers itself.
    pub(super) fn describe_command(command: &Command) -> Description {
        let names: &[&str] = match command {
            Command::Show(setting) if setting == STATUS_SETTING => &STATUS_COLUMNS,
            Command::Show(setting) if setting == READ_INDEX_SETTING => &POSITION_COLUMNS,
            Command::Show(setting) => &[setting.as_str()],
            Command::Fence(_) => &FENCE_COLUMNS,
            Command::Promote(_) => &POSITION_COLUMNS,
            _ => &[],
        };
        Description { parameters: Vec::new(), columns: text_columns(names) }
    }

    fn reset(&mut self, command: &Command) -> Reply {
        match command {
            Command::Discard => {
                self.prepared.clear_statements();
                self.prepared.clear_portals();
                Reply::of_tag("DISCARD ALL")
            }
            Command::Deallocate(None) => {
                self.prepared.clear_statements();
                Reply::of_tag("DEALLOCATE ALL")
            }
            Command::Deallocate(Some(name)) => {
                self.prepared.remove_statement(name);
                Reply::of_tag("DEALLOCATE")
            }
            Command::Close(None) => {
                self.prepared.clear_portals();
                Reply::of_tag("CLOSE CURSOR ALL")
            }
            Command::Close(Some(name)) => {
                self.prepared.remove_portal(name);
                Reply::of_tag("CLOSE CURSOR")
            }
            Command::Reset => Reply::of_tag("RESET"),
            _ => Reply::of_tag("SET"),
        }
    }

    async fn show(&mut self, setting: &str) -> Result<Reply, SqlError> {
        match setting {
            STATUS_SETTING => Ok(row(&STATUS_COLUMNS, self.status_row(), "SHOW")),
            READ_INDEX_SETTING => {
                let position = self.read_index().await?;
                Ok(row(&POSITION_COLUMNS, vec![position.to_string()], "SHOW"))
            }
            READ_ONLY_SETTING => {
                let read_only = self.is_read_only();
                let text = if read_only { "on" } else { "off" };
                Ok(row(&[READ_ONLY_SETTING], vec![text.to_owned()], "SHOW"))
            }
            other => {
                let found = SETTINGS.iter().find(|(name, _)| *name == other);
                let (name, value) =
                    found.ok_or_else(|| SqlError::UnknownSetting(other.to_owned()))?;
                Ok(row(&[name], vec![(*value).to_owned()], "SHOW"))
            }
        }
    }

    fn is_read_only(&self) -> bool {
        let status = self.shared.replication.status();
        let in_block = self.block.as_ref().is_some_and(|block| block.read_only);
        in_block || !status.is_primary_of(status.promised_term)
    }

    fn status_row(&self) -> Vec<String> {
        let status = self.shared.replication.status();
        let role = match public_role(&status) {
            MemberRole::Primary => "primary",
            MemberRole::Replica => "replica",
            MemberRole::Fenced => "fenced",
        };
        let applied = Position { term: status.promised_term, index: *self.shared.applied.borrow() };
        vec![
            self.shared.name.to_string(),
            role.to_owned(),
            status.promised_term.to_string(),
            status.last_position.to_string(),
            applied.to_string(),
            status.primary.map(|primary| primary.to_string()).unwrap_or_default(),
        ]
    }

    /// Asks a majority whether this member is still primary.
    async fn read_index(&self) -> Result<Position, SqlError> {
        let replication = self.shared.replication.clone();
        let beginning = actix_rt::task::spawn_blocking(move || replication.begin_round()).await;
        let begun = beginning.map_err(|_| SqlError::Worker)?;
        let (round, position) = begun.map_err(SqlError::of_term)?;
        let confirmation = self.wait_for_round(round, position);
        timeout(READ_INDEX_TIMEOUT, confirmation).await.map_err(|_| SqlError::NotConfirmed)?
    }

    async fn wait_for_round(&self, round: u64, position: Position) -> Result<Position, SqlError> {
        let mut status = self.shared.replication.subscribe();
        let settled = |now: &ReplicationStatus| {
            now.confirmed_round >= round || !now.is_primary_of(position.term)
        };
        let now = status.wait_for(settled).await.map_err(|_| SqlError::NotConfirmed)?;
        if !now.is_primary_of(position.term) {
            return Err(SqlError::NotPrimary);
        }
        drop(now);
        self.wait_applied(position.index).await?;
        Ok(position)
    }

    async fn wait_applied(&self, index: u64) -> Result<(), SqlError> {
        let mut applied = self.shared.applied.subscribe();
        let reached = applied.wait_for(|applied| *applied >= index).await;
        reached.map(|_| ()).map_err(|_| SqlError::NotConfirmed)
    }

    async fn fence(&self, term: Term) -> Result<Reply, SqlError> {
        let replication = self.shared.replication.clone();
        let fencing = actix_rt::task::spawn_blocking(move || replication.fence(term)).await;
        let fenced = fencing.map_err(|_| SqlError::Worker)?;
        let (promised, last) = fenced.map_err(SqlError::of_term)?;
        let values = vec![promised.to_string(), last.to_string()];
        Ok(row(&FENCE_COLUMNS, values, "ALTER SYSTEM"))
    }

    async fn promote(&self, term: Term) -> Result<Reply, SqlError> {
        let replication = self.shared.replication.clone();
        let beginning = move || replication.begin_promotion(term);
        let begun = actix_rt::task::spawn_blocking(beginning).await;
        let index = begun.map_err(|_| SqlError::Worker)?.map_err(SqlError::of_term)?;
        let mut status = self.shared.replication.subscribe();
        let settled = |now: &ReplicationStatus| {
            let leads = now.promised_term == term && now.is_leading();
            now.commit_index >= index || !leads
        };
        let now = status.wait_for(settled).await.map_err(|_| SqlError::NotPrimary)?.clone();
        if !now.is_leading() && now.promised_term == term {
            return Err(SqlError::of_term(ReplicationError::Behind));
        }
        if now.promised_term != term {
            let refused = ReplicationError::Term { requested: term, promised: now.promised_term };
            return Err(SqlError::of_term(refused));
        }
        self.wait_applied(index).await?;
        self.shared.replication.finish_promotion(term).map_err(SqlError::of_term)?;
        let position = Position { term, index }.to_string();
        Ok(row(&POSITION_COLUMNS, vec![position], "ALTER SYSTEM"))
    }
}

fn text_columns(names: &[&str]) -> Vec<Column> {
    let column = |name: &&str| Column { name: (*name).to_owned(), kind: ColumnType::Text };
    names.iter().map(column).collect()
}

fn row(names: &[&str], values: Vec<String>, tag: &str) -> Reply {
    let values = values.into_iter().map(Value::Text).collect();
    let rows = RowSet { columns: text_columns(names), rows: vec![values], changes: 0 };
    Reply { tag: tag.to_owned(), rows, position: None }
}
