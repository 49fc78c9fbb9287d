//! Tests of the consensus module over an in-memory network with a virtual clock.

mod elections;
mod faults;
mod hostile;
mod leadership;
mod membership;
mod network;
mod oracle;
mod snapshots;
mod stalls;
mod start;
