//! The whole printed summary of a sample: lines of real processes of a period in which replicas lagged, of the
//! replacement of a primary, and of the seconds around a loss of power.
//!
//! `UPDATE_EXPECT=1` writes the expected file anew where the summary is changed on purpose.

use expect_test::expect_file;
use std::process::Command;

const SAMPLE: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/samples/lagging-and-power-loss.log");

fn summary(logs: &[&str]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_corktack"));
    program.args(["explain", "--summary"]);
    for log in logs {
        program.args(["-l", log]);
    }
    let output = program.output().expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
    String::from_utf8(output.stdout).expect("UTF-8 output")
}

#[test]
fn a_summary_says_where_requests_were_lost() {
    expect_file!["./summary.txt"].assert_eq(&summary(&[SAMPLE]));
}

/// A log that a process wrote itself names no process: the file does.
#[test]
fn a_file_names_the_process_where_its_lines_do_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("FRONT-1.log");
    let sample = std::fs::read_to_string(SAMPLE).expect("the sample");
    let bare: String = sample
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(_, json)| format!("{json}\n"))
        .collect();
    std::fs::write(&log, bare).expect("a file");
    let text = summary(&[log.to_str().expect("a path of text")]);
    let named: Vec<&str> = text.lines().filter(|line| line.contains("FRONT-1")).collect();
    assert_eq!(named.len(), 1, "{text}");
}
