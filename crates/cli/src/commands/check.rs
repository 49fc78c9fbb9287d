//! `corktack check`: checks settings files and manifests without a server.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Check;
use crate::output::{Format, Output};
use crate::table::Table;
use corktack_server::manifest::{Manifest, check, load};
use corktack_server::settings::check_file;
use serde::Serialize;
use std::error::Error;
use std::path::{Path, PathBuf};

/// Number of checked files by type, and the errors found in them.
#[derive(Debug, Default, Serialize)]
struct Findings {
    manifests: usize,
    settings: usize,
    errors: Vec<String>,
}

impl Findings {
    fn add_error(&mut self, error: &dyn Error) {
        let mut text = error.to_string();
        let mut cause = error.source();
        while let Some(source) = cause {
            // The error texts of parsers already contain their cause.
            if !text.contains(&source.to_string()) {
                text.push_str(&format!(": {source}"));
            }
            cause = source.source();
        }
        self.errors.push(text);
    }
}

pub(crate) fn run(command: &Check, output: &mut Output<'_>) -> eyre::Result<Exit> {
    if command.file.is_empty() {
        return Err(CommandError::NoFiles.into());
    }
    let mut findings = Findings::default();
    let mut manifests = Vec::new();
    for path in &command.file {
        check_path(path, &mut manifests, &mut findings);
    }
    findings.manifests = manifests.len();
    for error in check(&manifests) {
        findings.add_error(&error);
    }
    write_findings(&findings, output)?;
    Ok(if findings.errors.is_empty() { Exit::Done } else { Exit::Failed })
}

fn check_path(path: &Path, manifests: &mut Vec<Manifest>, findings: &mut Findings) {
    for file in settings_files(path) {
        findings.settings += 1;
        if let Err(error) = check_file(&file) {
            findings.add_error(&error);
        }
    }
    if is_settings_file(path) {
        return;
    }
    match load(path) {
        Ok(loaded) => manifests.extend(loaded),
        Err(error) => findings.add_error(&error),
    }
}

fn is_settings_file(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "toml")
}

/// Returns the settings files in a folder, or the path itself when it is a settings file.
fn settings_files(path: &Path) -> Vec<PathBuf> {
    if is_settings_file(path) {
        return vec![path.to_owned()];
    }
    // A path that isn't a folder or can't be read yields no files here; loading its manifests reports the
    // error.
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    let mut files: Vec<PathBuf> =
        entries.map(|entry| entry.path()).filter(|file| is_settings_file(file)).collect();
    files.sort();
    files
}

fn write_findings(findings: &Findings, output: &mut Output<'_>) -> eyre::Result<()> {
    if output.format() != Format::Table {
        output.write_value(findings, |_| Table::default())?;
        return Ok(());
    }
    for error in &findings.errors {
        output.write_line(error)?;
    }
    let Findings { manifests, settings, errors } = findings;
    output.write_line(&format!(
        "{manifests} manifests and {settings} settings files checked, {} errors",
        errors.len()
    ))?;
    Ok(())
}
