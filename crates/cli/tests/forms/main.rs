//! What operators' scripts rely on: the help of each command, with its flags and arguments.
//!
//! `UPDATE_EXPECT=1` writes the expected files anew where a command is changed on purpose.

use expect_test::expect_file;
use std::process::Command;

/// Each command; the help of one is that of all.
const COMMANDS: [&[&str]; 15] = [
    &[],
    &["control"],
    &["proxy"],
    &["dev"],
    &["apply"],
    &["get"],
    &["watch"],
    &["delete"],
    &["status"],
    &["explain"],
    &["check"],
    &["cell"],
    &["cell", "add-learner"],
    &["cell", "promote"],
    &["cell", "remove"],
];

#[test]
fn every_command_has_its_help() {
    for command in COMMANDS {
        let mut program = Command::new(env!("CARGO_BIN_EXE_corktack"));
        let output = program.args(command).arg("--help").output().expect("the program runs");
        assert_eq!(output.status.code(), Some(0), "{command:?}");
        assert!(output.stderr.is_empty(), "{command:?}");
        let text = String::from_utf8(output.stdout).expect("UTF-8 output");
        expect_file!["./help.txt"].assert_eq(&text);
    }
}
