//! Durable log, snapshots and small files of a corktack process.
