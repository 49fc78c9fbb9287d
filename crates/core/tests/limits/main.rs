//! Limits of tenants: what a gateway may begin, and how a leader shares what there is.

mod admission;
mod retry_time;
mod sharing;
mod sliding_window;
mod successions;
mod support;
