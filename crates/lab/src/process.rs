//! Child processes of a fleet. Signals go only to the ids of processes that this module started.
//!
//! Each [`Process`] owns its child and log file, and kills the child and waits for it when dropped. The soak
//! test starts its processes through this module too.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Error of starting, signalling or waiting for a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The log file could not be opened or the program could not be started.
    #[error("cannot start {program}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The system refused the signal.
    #[error("cannot signal process {name}")]
    Signal {
        /// Name of the process in the fleet.
        name: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The system could not report whether the process has ended.
    #[error("cannot wait for process {name}")]
    Wait {
        /// Name of the process in the fleet.
        name: String,
        /// Error of the system.
        source: std::io::Error,
    },
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    environment: Environment,
    log: PathBuf,
    child: Child,
}

/// Environment variables that a process gets in addition to the inherited ones.
pub type Environment = Vec<(String, String)>;

impl Process {
    /// Starts `program` and appends its output to `NAME.log` in `folder`.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when the log cannot be opened or the program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: Vec<String>,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_in(name, program, arguments, Environment::new(), folder)
    }

    /// Starts `program` with additional environment variables.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when the log cannot be opened or the program cannot be started.
    pub fn start_in(
        name: &str,
        program: &Path,
        arguments: Vec<String>,
        environment: Environment,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &arguments, &environment, &log)
            .map_err(|source| ProcessError::Start { program: program.to_owned(), source })?;
        let (name, program) = (name.to_owned(), program.to_owned());
        Ok(Self { name, program, arguments, environment, log, child })
    }

    /// Removes an argument that only the first start needs, so that restarts omit it.
    pub fn remove_argument(&mut self, argument: &str) {
        self.arguments.retain(|kept| kept != argument);
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    /// [`ProcessError::Signal`] when the system refuses the signal.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal)
            .map_err(|error| ProcessError::Signal { name: self.name.clone(), source: error.into() })
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when waiting for the process fails.
    pub fn kill(&mut self) -> Result<ExitStatus, ProcessError> {
        let _ = self.child.kill();
        self.wait()
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when waiting for the process fails.
    pub fn wait(&mut self) -> Result<ExitStatus, ProcessError> {
        let name = self.name.clone();
        self.child.wait().map_err(|source| ProcessError::Wait { name, source })
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when the system does not report the status.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let name = self.name.clone();
        self.child.try_wait().map_err(|source| ProcessError::Wait { name, source })
    }

    /// Kills the process if it still runs and starts the same program again with the same arguments.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when the program cannot be started.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.program, &self.arguments, &self.environment, &self.log)
            .map_err(|source| ProcessError::Start { program: self.program.clone(), source })?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(
    program: &Path,
    arguments: &[String],
    environment: &[(String, String)],
    log: &Path,
) -> std::io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let errors = output.try_clone()?;
    Command::new(program)
        .args(arguments)
        .envs(environment.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::from(output))
        .stderr(Stdio::from(errors))
        .spawn()
}
