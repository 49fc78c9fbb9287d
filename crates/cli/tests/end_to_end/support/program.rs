//! The built program as an operator runs it.

use super::LIMIT;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use tokio::time::timeout;

/// One run of the program, not yet started.
pub struct Program {
    command: Command,
}

/// What a run came to.
#[derive(Debug)]
pub struct Finished {
    /// Exit code; none when a signal ended it.
    pub code: Option<i32>,
    /// What it wrote for its reader.
    pub output: String,
    /// What it wrote about itself.
    pub errors: String,
}

impl Program {
    /// The program with arguments, apart from this process's environment.
    pub fn new(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corktack"));
        command.args(arguments).env_clear().stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        Self { command }
    }

    /// Sets a variable of its environment.
    pub fn variable(mut self, name: &str, value: &str) -> Self {
        self.command.env(name, value);
        self
    }

    /// Runs it to its end. A run that does not end in time is ended, and fails the test.
    pub async fn run(mut self) -> Finished {
        let mut child = Running(self.command.spawn().expect("the program starts"));
        let output = read(child.0.stdout.take().expect("a pipe"));
        let errors = read(child.0.stderr.take().expect("a pipe"));
        // Both pipes end when the program does.
        let texts = timeout(LIMIT, async { (output.await, errors.await) });
        let (output, errors) = texts.await.expect("the program ends in time");
        let code = child.0.wait().expect("the program's end").code();
        Finished {
            code,
            output: output.expect("the reader ends"),
            errors: errors.expect("the reader ends"),
        }
    }
}

fn read(mut pipe: impl Read + Send + 'static) -> actix_rt::task::JoinHandle<String> {
    actix_rt::task::spawn_blocking(move || {
        let mut text = String::new();
        pipe.read_to_string(&mut text).expect("UTF-8 output");
        text
    })
}

/// A started program, ended with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // It has ended by itself where the test went well.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
