//! The edge of a proxy: callers connections.
