//! Runs operators' commands against a running `dev`.

use super::{Finished, TEST_TIMEOUT, program};
use corktack_server::dev::Dev;
use serde_json::Value;
use std::path::PathBuf;
use tempfile::TempDir;
use tokio::time::timeout;

/// Writes a manifest file into a temporary folder.
fn write_manifest(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let path = folder.path().join("night.yaml");
    std::fs::write(&path, text).expect("file written");
    (folder, path)
}

/// Runs a command and waits for its end.
pub async fn run(dev: &Dev, arguments: &[&str]) -> Finished {
    program(dev, arguments).run().await
}

/// Runs `corktack apply` on a manifest with the given text.
pub async fn apply_manifest(dev: &Dev, text: &str) -> Finished {
    let (_folder, file) = write_manifest(text);
    run(dev, &["apply", "-f", file.to_str().expect("UTF-8 path")]).await
}

/// Runs a command that must succeed with JSON output, and returns the decoded output.
pub async fn run_json(dev: &Dev, arguments: &[&str]) -> Value {
    let finished = run(dev, &[&["-o", "json"], arguments].concat()).await;
    assert_eq!(finished.code, Some(0), "{finished:?}");
    serde_json::from_str(&finished.stdout).expect("JSON")
}

/// Waits until the newest revision is in force on both proxies and returns the status. One `status --wait` is
/// not enough: the command waits for the revision that is newest at its start, and the system's own decisions
/// create further revisions meanwhile.
pub async fn wait_until_in_force(dev: &Dev) -> Value {
    let wait = async {
        loop {
            let status = run_json(dev, &["status", "--wait"]).await;
            if status["inForce"]["on"] == 2 {
                return status;
            }
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect("in force on both proxies in time")
}
