//! Runs the built program as a child process.

use super::TEST_TIMEOUT;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use tokio::time::timeout;

/// A run of the program that has not started yet.
pub struct Program {
    command: Command,
}

/// Result of a run of the program.
#[derive(Debug)]
pub struct Finished {
    /// Exit code; `None` when a signal ended the program.
    pub code: Option<i32>,
    /// Text that the program wrote to its standard output.
    pub stdout: String,
    /// Text that the program wrote to its standard error.
    pub stderr: String,
}

impl Program {
    /// Prepares a run with the given arguments and an empty environment.
    pub fn new(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corktack"));
        command.args(arguments).env_clear().stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        Self { command }
    }

    /// Sets an environment variable of the run.
    pub fn env_variable(mut self, name: &str, value: &str) -> Self {
        self.command.env(name, value);
        self
    }

    /// Runs the program and waits for its end. A run that exceeds the timeout is killed and fails the test.
    pub async fn run(mut self) -> Finished {
        let mut child = ChildGuard(self.command.spawn().expect("the program starts"));
        let stdout = read_to_end(child.0.stdout.take().expect("a pipe"));
        let stderr = read_to_end(child.0.stderr.take().expect("a pipe"));
        // Both pipes reach their end when the program exits.
        let texts = timeout(TEST_TIMEOUT, async { (stdout.await, stderr.await) });
        let (stdout, stderr) = texts.await.expect("the program ends in time");
        let code = child.0.wait().expect("the program's end").code();
        Finished {
            code,
            stdout: stdout.expect("the reader ends"),
            stderr: stderr.expect("the reader ends"),
        }
    }
}

fn read_to_end(mut pipe: impl Read + Send + 'static) -> actix_rt::task::JoinHandle<String> {
    actix_rt::task::spawn_blocking(move || {
        let mut text = String::new();
        pipe.read_to_string(&mut text).expect("UTF-8 output");
        text
    })
}

/// A child process that is killed when the guard is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // Both calls may fail: in a test that passes, the program has exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
