//! `docs/ARCHITECTURE.md` names paths, types and functions in backticks: each of them exists.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Whether a name in backticks looks like a type or an associated item. Others are names of the protocol, keys,
/// metrics or commands.
fn is_item(name: &str) -> bool {
    let identifier =
        |part: &str| !part.is_empty() && part.chars().all(|c| c.is_alphanumeric() || c == '_');
    let starts_upper = name.starts_with(|c: char| c.is_ascii_uppercase());
    let is_constant = name.chars().all(|c| !c.is_ascii_lowercase());
    starts_upper && !is_constant && name.split("::").all(identifier)
}

fn is_path(name: &str) -> bool {
    let roots = [
        "src/", "crates/", "tests/", "docs/", "proto/", "deploy/", ".ci/",
    ];
    roots.iter().any(|root| name.starts_with(root))
}

fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("a directory of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Whether the code defines a type of that name and, for `Type::item`, a function or a variant of that name.
fn defines(code: &str, name: &str) -> bool {
    let mut parts = name.split("::");
    let owner = parts.next().expect("a name");
    let kinds = ["struct", "enum", "trait", "type"];
    let is_defined = kinds.iter().any(|kind| {
        let definition = format!("{kind} {owner}");
        code.match_indices(&definition).any(|(at, _)| {
            let next_char = code[at + definition.len()..].chars().next();
            next_char.is_none_or(|c| !c.is_alphanumeric() && c != '_')
        })
    });
    let item = parts.next();
    is_defined
        && item.is_none_or(|item| {
            code.contains(&format!("fn {item}")) || code.contains(&format!("    {item}"))
        })
}

#[test]
fn every_path_and_item_named_on_the_architecture_page_exists() {
    let page =
        fs::read_to_string(repository_root().join("docs/ARCHITECTURE.md")).expect("the page");
    let mut code = String::new();
    for directory in ["src", "crates", "tests"] {
        append_sources(&repository_root().join(directory), &mut code);
    }
    let names: Vec<&str> = page.split('`').skip(1).step_by(2).collect();
    let paths: Vec<&&str> = names.iter().filter(|name| is_path(name)).collect();
    let items: Vec<&&str> = names.iter().filter(|name| is_item(name)).collect();
    let missing: Vec<&&&str> = paths
        .iter()
        .filter(|path| !repository_root().join(path).exists())
        .collect();
    assert!(missing.is_empty(), "paths that do not exist: {missing:?}");
    let missing: Vec<&&&str> = items.iter().filter(|item| !defines(&code, item)).collect();
    assert!(missing.is_empty(), "items that do not exist: {missing:?}");
    assert!(
        paths.len() > 30 && items.len() > 15,
        "{} paths, {} items",
        paths.len(),
        items.len()
    );
}
