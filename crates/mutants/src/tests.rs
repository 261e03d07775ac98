use super::*;

#[test]
fn a_change_applies_where_it_occurs_once() {
    let mutant = Mutant {
        name: "n".into(),
        rule: "r".into(),
        file: "f".into(),
        find: "a < b".into(),
        replace: "true".into(),
    };
    assert_eq!(mutant.applied("if a < b {").expect("once"), "if true {");
    assert!(mutant.applied("if a > b {").is_err());
    assert!(mutant.applied("a < b || a < b").is_err());
}

#[test]
fn failed_tests_are_named_once() {
    let output = "test b ... FAILED\ntest a ... ok\ntest b ... FAILED\n\nfailures:\n    b\n";
    assert_eq!(failed(output), ["b"]);
}

/// A change that no longer applies would test nothing.
#[test]
fn each_change_of_the_list_applies() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("crates/mutants/mutants.toml")).expect("the list");
    let list: List = toml::from_str(&text).expect("a list of changes");
    assert!(list.mutant.len() >= 25);
    for mutant in list.mutant {
        let text = fs::read_to_string(root.join(&mutant.file)).expect("its file");
        mutant.applied(&text).expect("it applies");
    }
}
