//! Stand-ins and scenarios of the review's scripts.
//!
//! `review-standins SCENARIO ROOT RECORD` starts the project's programs below ROOT on loopback addresses,
//! plays the scenario, writes RECORD and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! scenario could not run. With `TROUBLE=0` in the environment there is no disruption.

mod fence;
mod fleet;
mod member;
mod removed;
mod sigterm;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, root, record] = arguments.as_slice() else {
        eprintln!("review-standins SCENARIO ROOT RECORD");
        return ExitCode::from(2);
    };
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let outcome = match scenario.as_str() {
        "sigterm" => sigterm::play(&root, &record, trouble != "0"),
        "fence" => fence::play(&root, &record, &trouble),
        "removed" => removed::play(&root, &record, &trouble),
        _ => Err("no such scenario".into()),
    };
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
