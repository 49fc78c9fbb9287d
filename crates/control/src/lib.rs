//! The control replica: consensus shell, resource interface, watch and failover.
