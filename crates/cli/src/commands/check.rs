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

/// What was found.
#[derive(Debug, Default, Serialize)]
struct Findings {
    manifests: usize,
    settings: usize,
    errors: Vec<String>,
}

impl Findings {
    fn refuse(&mut self, error: &dyn Error) {
        let mut text = error.to_string();
        let mut cause = error.source();
        while let Some(source) = cause {
            // Parsers repeat their cause in their own text.
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
        findings.refuse(&error);
    }
    show(&findings, output)?;
    Ok(if findings.errors.is_empty() { Exit::Done } else { Exit::Failed })
}

fn check_path(path: &Path, manifests: &mut Vec<Manifest>, findings: &mut Findings) {
    for file in settings_files(path) {
        findings.settings += 1;
        if let Err(error) = check_file(&file) {
            findings.refuse(&error);
        }
    }
    if is_settings(path) {
        return;
    }
    match load(path) {
        Ok(loaded) => manifests.extend(loaded),
        Err(error) => findings.refuse(&error),
    }
}

fn is_settings(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "toml")
}

/// The settings files of a folder, or the file itself if it is one.
fn settings_files(path: &Path) -> Vec<PathBuf> {
    if is_settings(path) {
        return vec![path.to_owned()];
    }
    // What is no folder, or cannot be read, is reported when it is read for manifests.
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    let mut files: Vec<PathBuf> =
        entries.map(|entry| entry.path()).filter(|file| is_settings(file)).collect();
    files.sort();
    files
}

fn show(findings: &Findings, output: &mut Output<'_>) -> eyre::Result<()> {
    if output.format() != Format::Table {
        output.value(findings, |_| Table::default())?;
        return Ok(());
    }
    for error in &findings.errors {
        output.line(error)?;
    }
    let Findings { manifests, settings, errors } = findings;
    output.line(&format!(
        "{manifests} manifests and {settings} settings files checked, {} errors",
        errors.len()
    ))?;
    Ok(())
}
