//! Checks the reported outcomes of the callers' writes against the databases.
//!
//! The stored rows are read from the primary of the highest term, and the entries of transactions from its log
//! on disk; the checks themselves are in `load::history`.

use super::ready::connect;
use super::{Fleet, FleetError, RunningMember};
use crate::load::history::{
    RowCounts, Violation, Write, WriteKind, check_writes, find_mixed_entries,
};
use corktack_core::backend::{MemberRole, MemberStatus, SHOW_STATUS};
use corktack_standin::Member;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio_postgres::{Client, SimpleQueryMessage};

/// User name that back ends accept beyond their connection limit.
const CHECK_USER: &str = "corktack-control";
/// Attempts at finding the primary of a group.
const MAX_PRIMARY_ATTEMPTS: u32 = 100;
/// Interval between two attempts at finding the primary.
const PRIMARY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Result of checking the callers' writes against the databases.
#[derive(Debug, Default)]
pub struct Verification {
    /// Violations found.
    pub violations: Vec<Violation>,
    /// Number of log entries that hold parts of several transactions.
    pub mixed_entries: usize,
    /// Number of writes that were checked.
    pub writes: usize,
}

impl Fleet {
    /// Checks the writes of each database against its primary and its log.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when no primary of a group answers.
    pub async fn verify(
        &self,
        writes_by_database: &BTreeMap<String, Vec<Write>>,
    ) -> Result<Verification, FleetError> {
        let mut verification = Verification::default();
        for (group, members) in self.plan.groups.iter().zip(&self.groups) {
            let Some(writes) = writes_by_database.get(&group.name) else { continue };
            let (client, primary) = self.find_primary(&group.name, members).await?;
            verification.writes += writes.len();
            for (kind, query) in COUNT_QUERIES {
                let counts = query_row_counts(&client, query).await.unwrap_or_default();
                verification.violations.extend(check_writes(writes, kind, &counts));
            }
            verification.mixed_entries += count_mixed_entries(primary);
        }
        Ok(verification)
    }

    /// Returns the member that reports itself as primary with the highest term, and a connection to it.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when no member reports itself as primary in time.
    pub async fn find_primary<'a>(
        &self,
        group: &str,
        members: &'a [RunningMember],
    ) -> Result<(Client, &'a RunningMember), FleetError> {
        for _ in 0..MAX_PRIMARY_ATTEMPTS {
            let mut best = None;
            for member in members {
                let Some((client, status)) = query_status(group, member).await else { continue };
                let has_newer_term =
                    best.as_ref().is_none_or(|(term, _, _)| status.promised_term > *term);
                if status.role == MemberRole::Primary && has_newer_term {
                    best = Some((status.promised_term, client, member));
                }
            }
            if let Some((_, client, member)) = best {
                return Ok((client, member));
            }
            tokio::time::sleep(PRIMARY_RETRY_INTERVAL).await;
        }
        let waited = PRIMARY_RETRY_INTERVAL * MAX_PRIMARY_ATTEMPTS;
        let last_answer = "no member says that it is the primary".to_owned();
        Err(FleetError::NotReady { awaited: format!("a primary of {group}"), waited, last_answer })
    }
}

const COUNT_QUERIES: [(WriteKind, &str); 3] = [
    (WriteKind::Flag, "SELECT id, count(*) FROM flag GROUP BY id"),
    (WriteKind::Charge, "SELECT id, count(*) FROM charge GROUP BY id"),
    (WriteKind::Booking, "SELECT booking, count(*) FROM ledger GROUP BY booking"),
];

/// Timeout of a status query, since a member may be suspended or cut off.
const STATUS_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

async fn query_status(group: &str, member: &RunningMember) -> Option<(Client, MemberStatus)> {
    let status_query = async {
        let client = connect(member.plan.sql, group, CHECK_USER).await.ok()?;
        let messages = client.simple_query(SHOW_STATUS).await.ok()?;
        let row = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        })?;
        let columns: Vec<Option<&str>> = (0..row.len()).map(|column| row.get(column)).collect();
        let status = MemberStatus::from_columns(&columns).ok()?;
        Some((client, status))
    };
    tokio::time::timeout(STATUS_QUERY_TIMEOUT, status_query).await.ok().flatten()
}

async fn query_row_counts(
    client: &Client,
    query: &str,
) -> Result<RowCounts, tokio_postgres::Error> {
    let messages = client.simple_query(query).await?;
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some((row.get(0)?.to_owned(), row.get(1)?.parse().ok()?)),
        _ => None,
    });
    Ok(rows.collect())
}

fn count_mixed_entries(member: &RunningMember) -> usize {
    let Ok(entries) = Member::read_log(&member.data_folder) else { return 0 };
    let bookings: Vec<Vec<String>> = entries
        .iter()
        .map(|entry| {
            entry.statements.iter().filter_map(|statement| booking_id(&statement.sql)).collect()
        })
        .collect();
    find_mixed_entries(&bookings).len()
}

/// Returns the id of the booking that a statement on `ledger` names.
fn booking_id(statement: &str) -> Option<String> {
    if !statement.contains("INTO ledger") {
        return None;
    }
    statement.split('\'').nth(1).map(str::to_owned)
}
