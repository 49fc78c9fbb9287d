//! Tasks and threads without which a process serves nothing.
//!
//! A runtime catches the panic of a task, and a thread that panics ends alone: the process would stay and
//! serve nothing, and nothing would start it anew. A panic of an essential task ends the process instead.

use futures_util::FutureExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process;

/// Exit code of a process that ended because one of its essential tasks panicked: an internal software error
/// by the conventions of `sysexits.h`.
pub const PANIC_EXIT_CODE: i32 = 70;

/// Runs a task that may end, but whose panic ends the process.
pub async fn essential<T>(name: &'static str, task: impl Future<Output = T>) -> T {
    // Nothing that the task may have left inconsistent is used again.
    let outcome = AssertUnwindSafe(task).catch_unwind().await;
    outcome.unwrap_or_else(|_| end_process(name))
}

/// Runs the body of a thread, which may end, but whose panic ends the process.
pub fn run_essential<T>(name: &'static str, body: impl FnOnce() -> T) -> T {
    catch_unwind(AssertUnwindSafe(body)).unwrap_or_else(|_| end_process(name))
}

/// Ends the process after a panic, whose text the panic hook has written.
fn end_process(name: &'static str) -> ! {
    log::error!(task = name; "essential task panicked: the process ends");
    process::exit(PANIC_EXIT_CODE)
}
