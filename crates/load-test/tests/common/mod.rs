//! Where the programs of this source are.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The controller of this source, beside the tool.
pub fn controller() -> PathBuf {
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "--bin", "dalelb"])
        .current_dir(root())
        .status()
        .expect("cargo runs");
    assert!(built.success());
    Path::new(env!("CARGO_BIN_EXE_dalelb-load-test")).with_file_name("dalelb")
}
