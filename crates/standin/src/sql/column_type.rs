//! Types of columns and parameters that the stand-in knows.

/// A type of the PostgreSQL protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnType {
    /// `boolean`
    Bool,
    /// `bytea`
    Bytea,
    /// `bigint`
    Int8,
    /// `smallint`
    Int2,
    /// `integer`
    Int4,
    /// `text` and whatever is carried as text
    Text,
    /// `real`
    Float4,
    /// `double precision`
    Float8,
    /// `character varying`
    Varchar,
}

const VARIABLE_SIZE: i16 = -1;

impl ColumnType {
    const ALL: [Self; 9] = [
        Self::Bool,
        Self::Bytea,
        Self::Int8,
        Self::Int2,
        Self::Int4,
        Self::Text,
        Self::Float4,
        Self::Float8,
        Self::Varchar,
    ];

    /// Object identifier of the type in the protocol.
    #[must_use]
    pub fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Bytea => 17,
            Self::Int8 => 20,
            Self::Int2 => 21,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float4 => 700,
            Self::Float8 => 701,
            Self::Varchar => 1043,
        }
    }

    /// Size on the wire as a row description tells it.
    #[must_use]
    pub fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int2 => 2,
            Self::Int4 | Self::Float4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Bytea | Self::Text | Self::Varchar => VARIABLE_SIZE,
        }
    }

    /// The type's name for messages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Bool => "boolean",
            Self::Bytea => "bytea",
            Self::Int8 => "bigint",
            Self::Int2 => "smallint",
            Self::Int4 => "integer",
            Self::Text => "text",
            Self::Float4 => "real",
            Self::Float8 => "double precision",
            Self::Varchar => "character varying",
        }
    }

    /// The type of an object identifier; unknown ones are carried as text.
    #[must_use]
    pub fn from_oid(oid: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|known| known.oid() == oid)
    }

    /// The type of a declared column type or of a cast.
    #[must_use]
    pub fn from_declared(declared: &str) -> Self {
        let name = declared.to_ascii_uppercase();
        let has = |pattern: &str| name.contains(pattern);
        match () {
            () if has("BIGINT") || has("INT8") || has("BIGSERIAL") => Self::Int8,
            () if has("SMALLINT") || has("INT2") => Self::Int2,
            () if has("INT") || has("SERIAL") => Self::Int4,
            () if has("BOOL") => Self::Bool,
            () if has("BYTEA") || has("BLOB") => Self::Bytea,
            () if has("VARCHAR") || has("VARYING") => Self::Varchar,
            () if has("FLOAT4") => Self::Float4,
            () if has("DOUBLE") || has("FLOAT") || has("REAL") => Self::Float8,
            () => Self::Text,
        }
    }
}
