//! Stand-in for the database groups that corktack serves: a replica set over an embedded SQL engine.
