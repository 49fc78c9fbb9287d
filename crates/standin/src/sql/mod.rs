//! From the callers' SQL to the embedded engine's, and back.

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
