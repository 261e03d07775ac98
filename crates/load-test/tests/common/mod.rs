//! The controller program for the tests.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Builds the controller and returns its path, in the directory of the load test program.
pub fn controller() -> PathBuf {
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--bin", "dalelb"])
        .current_dir(root())
        .status()
        .expect("cargo runs");
    assert!(built.success());
    Path::new(env!("CARGO_BIN_EXE_dalelb-load-test")).with_file_name("dalelb")
}
