//! Runs one script case: `corktack-review-2 CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod leaving;
mod members;
mod net;
mod returning;
mod stopping;

use fleet::Fleet;
use net::Record;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("corktack-review-2 CASE ROOT RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match run(case, Path::new(root), Path::new(record), trouble) {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun(why) => {
            eprintln!("the case could not run: {why}");
            2
        }
    };
    std::process::exit(code);
}

fn run(case: &str, root: &Path, record: &Path, trouble: bool) -> Verdict {
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    record.line(format!("case {case}, disruption: {}", if trouble { "yes" } else { "no" }));
    let folder: PathBuf = std::env::temp_dir().join(format!("corktack-review-2-{}", net::new_id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        return Verdict::NotRun(error.to_string());
    }
    let run = match case {
        "stopping" => stopping::run,
        "returning" => returning::run,
        "leaving" => leaving::run,
        _ => return Verdict::NotRun(format!("no case {case}")),
    };
    let Some(fleet) = Fleet::prepare(root, &folder, record.clone(), 5, 3) else {
        return Verdict::NotRun("no free loopback network".to_owned());
    };
    let fleet = Arc::new(fleet);
    let ended = Arc::clone(&fleet);
    // A panic of a case must not leave processes either.
    let verdict = std::thread::spawn(move || run(&fleet, trouble)).join();
    ended.end_all();
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("the case panicked".to_owned()));
    match &verdict {
        Verdict::Held => record.say("the rule held"),
        Verdict::Broken => record.say("the rule was broken"),
        Verdict::NotRun(why) => record.say(format!("not run: {why}")),
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    verdict
}
