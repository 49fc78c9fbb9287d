//! The owner side of a proxy: server connections, wait queue and routing of a group.
