//! Limits of tenants: what a gateway admits, and how a leader shares a limit between gateways.

mod admission;
mod retry_time;
mod sharing;
mod sliding_window;
mod successions;
mod support;
