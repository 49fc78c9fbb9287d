//! Tables of the workloads.

use tokio_postgres::Client;

/// Rows of the lookup table.
pub const RECORDS: i64 = 500;

/// Statements that create the tables.
const TABLES: [&str; 4] = [
    "CREATE TABLE IF NOT EXISTS record (line BIGINT PRIMARY KEY, detail TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS flag (id TEXT PRIMARY KEY, caller TEXT NOT NULL, sequence BIGINT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS charge (id TEXT NOT NULL, caller TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS ledger (booking TEXT NOT NULL, part BIGINT NOT NULL)",
];
/// Index that the callers' own reads use.
const INDEX: &str = "CREATE INDEX IF NOT EXISTS flag_caller ON flag (caller)";

/// Creates and fills the tables through a connection to the primary.
///
/// # Errors
/// The client's error of the first statement that failed.
pub async fn create(client: &Client) -> Result<(), tokio_postgres::Error> {
    for statement in TABLES {
        client.simple_query(statement).await?;
    }
    client.simple_query(INDEX).await?;
    let rows: Vec<String> =
        (0..RECORDS).map(|line| format!("({line}, 'detail of line {line}')")).collect();
    let insert = format!("INSERT INTO record (line, detail) VALUES {}", rows.join(", "));
    client.simple_query(&insert).await?;
    Ok(())
}
