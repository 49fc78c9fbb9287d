//! Checks what callers were told against what the databases hold.
//!
//! Relies on the primary of the highest term for what is stored and on its log on disk for whole
//! transactions; the rules themselves are in `load::history`.

use super::ready::connect;
use super::{Fleet, FleetError, RunningMember};
use crate::load::history::{Counts, Violation, Write, WriteKind, check, mixed_entries};
use corktack_core::backend::{MemberRole, MemberStatus, SHOW_STATUS};
use corktack_standin::Member;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio_postgres::{Client, SimpleQueryMessage};

/// User name that back ends serve over their connection limit.
const CHECK_USER: &str = "corktack-control";
/// Times the members are asked for a primary.
const PRIMARY_ATTEMPTS: u32 = 100;
/// Time between them.
const PRIMARY_INTERVAL: Duration = Duration::from_millis(100);

/// What the databases say about the callers' writes.
#[derive(Debug, Default)]
pub struct Verification {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Log entries that hold parts of several transactions.
    pub mixed_entries: usize,
    /// Writes that were checked.
    pub writes: usize,
}

impl Fleet {
    /// Checks the writes of each database against its primary and its log.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when a group has no primary that answers.
    pub async fn verify(
        &self,
        written: &BTreeMap<String, Vec<Write>>,
    ) -> Result<Verification, FleetError> {
        let mut verification = Verification::default();
        for (group, members) in self.plan.groups.iter().zip(&self.groups) {
            let Some(writes) = written.get(&group.name) else { continue };
            let (client, primary) = self.find_primary(&group.name, members).await?;
            verification.writes += writes.len();
            for (kind, query) in QUERIES {
                let counts = counts(&client, query).await.unwrap_or_default();
                verification.violations.extend(check(writes, kind, &counts));
            }
            verification.mixed_entries += mixed(primary);
        }
        Ok(verification)
    }

    /// The member that says it is primary of the highest term, with a connection to it.
    ///
    /// # Errors
    /// [`FleetError::NotReady`] when none does for a while.
    pub async fn find_primary<'a>(
        &self,
        group: &str,
        members: &'a [RunningMember],
    ) -> Result<(Client, &'a RunningMember), FleetError> {
        for _ in 0..PRIMARY_ATTEMPTS {
            let mut best = None;
            for member in members {
                let Some((client, status)) = ask(group, member).await else { continue };
                let better = best.as_ref().is_none_or(|(term, _, _)| status.promised_term > *term);
                if status.role == MemberRole::Primary && better {
                    best = Some((status.promised_term, client, member));
                }
            }
            if let Some((_, client, member)) = best {
                return Ok((client, member));
            }
            tokio::time::sleep(PRIMARY_INTERVAL).await;
        }
        let waited = PRIMARY_INTERVAL * PRIMARY_ATTEMPTS;
        let last = "no member says that it is the primary".to_owned();
        Err(FleetError::NotReady { what: format!("a primary of {group}"), waited, last })
    }
}

const QUERIES: [(WriteKind, &str); 3] = [
    (WriteKind::Flag, "SELECT id, count(*) FROM flag GROUP BY id"),
    (WriteKind::Charge, "SELECT id, count(*) FROM charge GROUP BY id"),
    (WriteKind::Booking, "SELECT booking, count(*) FROM ledger GROUP BY booking"),
];

/// Longest wait for a member that may be frozen or cut off.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

async fn ask(group: &str, member: &RunningMember) -> Option<(Client, MemberStatus)> {
    let asking = async {
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
    tokio::time::timeout(ASK_TIMEOUT, asking).await.ok().flatten()
}

async fn counts(client: &Client, query: &str) -> Result<Counts, tokio_postgres::Error> {
    let messages = client.simple_query(query).await?;
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some((row.get(0)?.to_owned(), row.get(1)?.parse().ok()?)),
        _ => None,
    });
    Ok(rows.collect())
}

fn mixed(member: &RunningMember) -> usize {
    let Ok(entries) = Member::read_log(&member.data_folder) else { return 0 };
    let bookings: Vec<Vec<String>> = entries
        .iter()
        .map(|entry| entry.statements.iter().filter_map(|it| booking_of(&it.sql)).collect())
        .collect();
    mixed_entries(&bookings).len()
}

/// The booking that a statement on `ledger` names.
fn booking_of(statement: &str) -> Option<String> {
    if !statement.contains("INTO ledger") {
        return None;
    }
    statement.split('\'').nth(1).map(str::to_owned)
}
