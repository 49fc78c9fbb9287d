//! Database tables of the workloads.

use tokio_postgres::Client;

/// Number of rows in the lookup table `record`.
pub const RECORD_COUNT: i64 = 500;

/// SQL statements that create the tables.
const CREATE_TABLES: [&str; 4] = [
    "CREATE TABLE IF NOT EXISTS record (line BIGINT PRIMARY KEY, detail TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS flag (id TEXT PRIMARY KEY, caller TEXT NOT NULL, sequence BIGINT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS charge (id TEXT NOT NULL, caller TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS ledger (booking TEXT NOT NULL, part BIGINT NOT NULL)",
];
/// SQL statement that creates the index for callers' reads of their own writes.
const CREATE_INDEX: &str = "CREATE INDEX IF NOT EXISTS flag_caller ON flag (caller)";

/// Creates and fills the tables through a connection to the primary.
///
/// # Errors
/// The error of the first statement that failed.
pub async fn create_tables(client: &Client) -> Result<(), tokio_postgres::Error> {
    for statement in CREATE_TABLES {
        client.simple_query(statement).await?;
    }
    client.simple_query(CREATE_INDEX).await?;
    let rows: Vec<String> =
        (0..RECORD_COUNT).map(|line| format!("({line}, 'detail of line {line}')")).collect();
    let insert = format!("INSERT INTO record (line, detail) VALUES {}", rows.join(", "));
    client.simple_query(&insert).await?;
    Ok(())
}
