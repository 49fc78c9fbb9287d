//! A panic of an essential task or thread ends its process, and an orderly end does not.
//!
//! Each test starts this test program again, which then plays one case.

use corktack_tasks::{PANIC_EXIT_CODE, essential, run_essential};
use std::process::Command;
use std::time::Duration;

/// Names the case that the started program plays.
const CASE_VARIABLE: &str = "CORKTACK_TASKS_CASE";
/// Longer than a panic takes to end the process.
const LIFETIME: Duration = Duration::from_secs(5);

fn exit_code(case: &str) -> Option<i32> {
    let program = std::env::current_exe().expect("the test program");
    let mut command = Command::new(program);
    let command = command.args(["--exact", "plays_its_case"]).env(CASE_VARIABLE, case);
    command.output().expect("the test program runs").status.code()
}

fn run_task(task: impl Future<Output = ()> + 'static) {
    actix_rt::System::new().block_on(async {
        let task = actix_rt::spawn(essential("test", task));
        let ended = actix_rt::time::timeout(LIFETIME, task).await;
        assert!(ended.is_ok(), "the task ends");
    });
}

/// Plays the case that the environment names; passes if it names none.
#[test]
fn plays_its_case() {
    let Ok(case) = std::env::var(CASE_VARIABLE) else { return };
    match case.as_str() {
        "a task that panics" => run_task(async { panic!("as the test wants") }),
        "a task that ends" => run_task(async {}),
        "a thread that panics" => {
            std::thread::spawn(|| run_essential("test", || panic!("as the test wants")));
            std::thread::sleep(LIFETIME);
        }
        other => panic!("no such case: {other}"),
    }
}

/// Guards against a process that stays and serves nothing because a task of it has ended alone.
#[test]
fn a_panic_of_an_essential_task_ends_the_process() {
    assert_eq!(exit_code("a task that panics"), Some(PANIC_EXIT_CODE));
    assert_eq!(exit_code("a thread that panics"), Some(PANIC_EXIT_CODE));
}

#[test]
fn an_orderly_end_of_an_essential_task_does_not_end_the_process() {
    assert_eq!(exit_code("a task that ends"), Some(0));
}
