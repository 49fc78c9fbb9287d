//! Compares the help of each command with a stored text, because operators' scripts rely on the commands,
//! flags and arguments.
//!
//! After an intended change of a command, `UPDATE_EXPECT=1` rewrites the expected file.

use expect_test::expect_file;
use std::process::Command;

/// Arguments of every command; each prints the same help, which covers all commands.
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
fn every_command_prints_the_expected_help() {
    for command in COMMANDS {
        let mut program = Command::new(env!("CARGO_BIN_EXE_corktack"));
        let output = program.args(command).arg("--help").output().expect("the program runs");
        assert_eq!(output.status.code(), Some(0), "{command:?}");
        assert!(output.stderr.is_empty(), "{command:?}");
        let text = String::from_utf8(output.stdout).expect("UTF-8 output");
        expect_file!["./help.txt"].assert_eq(&text);
    }
}
