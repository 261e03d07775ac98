use super::*;

#[test]
fn mutant_applies_only_to_a_unique_match() {
    let mutant = Mutant {
        name: "n".into(),
        rule: "r".into(),
        file: "f".into(),
        find: "a < b".into(),
        replace: "true".into(),
    };
    assert_eq!(mutant.apply("if a < b {").expect("once"), "if true {");
    assert!(mutant.apply("if a > b {").is_err());
    assert!(mutant.apply("a < b || a < b").is_err());
}

#[test]
fn failed_tests_are_listed_once() {
    let output = "test b ... FAILED\ntest a ... ok\ntest b ... FAILED\n\nfailures:\n    b\n";
    assert_eq!(failed_tests(output), ["b"]);
}

/// A mutant whose `find` text no longer occurs in the source would test nothing.
#[test]
fn every_listed_mutant_applies() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text =
        fs::read_to_string(root.join("crates/mutants/mutants.toml")).expect("the list of mutants");
    let list: MutantList = toml::from_str(&text).expect("a valid list of mutants");
    assert!(list.mutant.len() >= 25);
    for mutant in list.mutant {
        let text = fs::read_to_string(root.join(&mutant.file)).expect("the file of the mutant");
        mutant.apply(&text).expect("the mutant applies");
    }
}
