//! Child processes of a fleet, ended only by the ids that were started here.
//!
//! Owns each child and its log file; a process is killed and waited for when it is dropped. The soak starts
//! its processes through this module too.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Why a process could not be started or signalled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program did not start.
    #[error("cannot start {program}")]
    Start {
        /// The program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The signal was refused.
    #[error("cannot signal process {name}")]
    Signal {
        /// Name in the fleet.
        name: String,
        /// Why.
        source: std::io::Error,
    },
    /// Waiting for the end failed.
    #[error("cannot wait for process {name}")]
    Wait {
        /// Name in the fleet.
        name: String,
        /// Why.
        source: std::io::Error,
    },
}

/// A child process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    environment: Environment,
    log: PathBuf,
    child: Child,
}

/// Variables that a process gets beside those of this one.
pub type Environment = Vec<(String, String)>;

impl Process {
    /// Starts `program`; its output goes to `NAME.log` in `folder`.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when the log or the program cannot be opened.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: Vec<String>,
        folder: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_in(name, program, arguments, Environment::new(), folder)
    }

    /// Starts `program` with variables of its own.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when the log or the program cannot be opened.
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

    /// Leaves an argument that only the first start needs out of later ones.
    pub fn drop_argument(&mut self, argument: &str) {
        self.arguments.retain(|it| it != argument);
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Errors
    /// [`ProcessError::Signal`] when the system refuses.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal)
            .map_err(|error| ProcessError::Signal { name: self.name.clone(), source: error.into() })
    }

    /// Kills the process without warning and waits until it is gone.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when it cannot be waited for.
    pub fn kill(&mut self) -> Result<ExitStatus, ProcessError> {
        let _ = self.child.kill();
        self.wait()
    }

    /// Waits for the end.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when it cannot be waited for.
    pub fn wait(&mut self) -> Result<ExitStatus, ProcessError> {
        let name = self.name.clone();
        self.child.wait().map_err(|source| ProcessError::Wait { name, source })
    }

    /// Exit status, if the process has ended.
    ///
    /// # Errors
    /// [`ProcessError::Wait`] when the system does not tell.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        let name = self.name.clone();
        self.child.try_wait().map_err(|source| ProcessError::Wait { name, source })
    }

    /// Starts the same program with the same arguments again, after it has ended.
    ///
    /// # Errors
    /// [`ProcessError::Start`] when it cannot be started.
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
