//! Command line of the simulator and the model checker.

mod flags;
mod seeds;

use corktack_sim::model::scenario::{self, Scenario};
use flags::{CorktackSim, CorktackSimCmd, Model};
use std::io::Write;
use std::process::ExitCode;
use std::time::Instant;

/// A command that ended without its expected result.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// No variant has this name.
    #[error("no variant is called {0:?}; known are {1:?}")]
    UnknownVariant(String, Vec<String>),
    /// The seeds are not a range.
    #[error("{0:?} is neither a seed nor a range FIRST..END of seeds")]
    Seeds(String),
}

fn main() -> eyre::Result<ExitCode> {
    let flags = CorktackSim::from_env_or_exit();
    let passed = match flags.subcommand {
        CorktackSimCmd::Model(model) => check_models(&model)?,
        CorktackSimCmd::Run(run) => seeds::run_core(&run)?,
        CorktackSimCmd::Limits(limits) => seeds::run_limits(&limits)?,
    };
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn check_models(flags: &Model) -> eyre::Result<bool> {
    let mut passed = true;
    for scenario in selected(flags)? {
        let begin = Instant::now();
        let report = scenario.run();
        let seconds = begin.elapsed().as_secs_f64();
        let verdict = if report.as_expected { "as expected" } else { "NOT AS EXPECTED" };
        let text = &report.text;
        writeln!(std::io::stdout(), "{scenario}: {verdict}, {seconds:.1} s\n{text}\n")?;
        passed &= report.as_expected;
    }
    Ok(passed)
}

fn selected(flags: &Model) -> Result<Vec<Scenario>, CommandError> {
    if flags.deep {
        return Ok(scenario::deep());
    }
    let Some(name) = &flags.variant else { return Ok(scenario::correct()) };
    let broken = scenario::broken();
    let known = broken.iter().map(Scenario::variant).collect();
    let found: Vec<_> = broken.into_iter().filter(|found| found.variant() == *name).collect();
    if found.is_empty() {
        return Err(CommandError::UnknownVariant(name.clone(), known));
    }
    Ok(found)
}
