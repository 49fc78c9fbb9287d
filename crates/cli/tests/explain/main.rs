//! Compares the summary that `corktack explain` prints for a sample with a stored text. The sample holds log
//! lines of real processes: of a period in which replicas lagged, of the replacement of a primary, and of the
//! seconds around a power failure.
//!
//! After an intended change of the summary, `UPDATE_EXPECT=1` rewrites the expected file.

use expect_test::expect_file;
use std::process::Command;

const SAMPLE_LOG: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/samples/lagging-and-power-loss.log");

fn print_summary(logs: &[&str]) -> String {
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
fn the_summary_of_the_sample_matches_the_expected_text() {
    expect_file!["./summary.txt"].assert_eq(&print_summary(&[SAMPLE_LOG]));
}

/// Lines that a process wrote to a file of its own don't name the process; the name of the file does.
#[test]
fn the_file_name_names_the_process_when_its_lines_do_not() {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("FRONT-1.log");
    let sample = std::fs::read_to_string(SAMPLE_LOG).expect("the sample");
    let unnamed_lines: String = sample
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(_, json)| format!("{json}\n"))
        .collect();
    std::fs::write(&log, unnamed_lines).expect("a file");
    let text = print_summary(&[log.to_str().expect("a path of text")]);
    let matching: Vec<&str> = text.lines().filter(|line| line.contains("FRONT-1")).collect();
    assert_eq!(matching.len(), 1, "{text}");
}
