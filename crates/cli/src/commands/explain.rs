//! `corktack explain`: shows from log files alone why a request ended as it did, or how many requests failed,
//! why and where.

use super::CommandError;
use crate::exit::Exit;
use crate::flags::Explain;
use crate::output::Output;
use std::path::Path;

pub(crate) fn run(command: &Explain, output: &mut Output<'_>) -> Result<Exit, CommandError> {
    if command.log.is_empty() {
        return Err(CommandError::NoLogs);
    }
    let texts = command.log.iter().map(|path| read_log(path)).collect::<Result<Vec<_>, _>>()?;
    match (&command.id, command.summary) {
        (None, true) => {
            let logs = command.log.iter().zip(&texts);
            let lines =
                logs.flat_map(|(path, text)| text.lines().map(|line| (process_name(path), line)));
            output.write_line(corktack_server::explain::report(lines).to_string().trim_end())?;
        }
        (Some(id), false) => {
            let lines = texts.iter().flat_map(|text| text.lines());
            for line in corktack_server::explain::explain(id, lines)? {
                output.write_line(&line.to_string())?;
            }
        }
        _ => return Err(CommandError::IdOrSummary),
    }
    Ok(Exit::Done)
}

fn read_log(path: &Path) -> Result<String, CommandError> {
    let bytes = std::fs::read(path);
    let bytes = bytes.map_err(|source| CommandError::Log { path: path.to_owned(), source })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the name of a log file without its folder and extension; names the process where its lines do not.
fn process_name(path: &Path) -> &str {
    path.file_stem().and_then(|name| name.to_str()).unwrap_or_default()
}
