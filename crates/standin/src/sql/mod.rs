//! From the callers' SQL to the embedded engine's, and back.
//!
//! Owns the division into statements, the types of parameters and columns, and the SQLSTATE of each failure;
//! relies on the engine for everything else that SQL means.

pub mod column_type;
pub mod command;
pub mod error;
pub mod infer;
pub mod run;
pub mod tokens;
pub mod value;

pub use column_type::ColumnType;
pub use command::{Command, Statement};
pub use error::SqlError;
