use super::*;

const TEXT: &str = "/// How many.\nconst A: usize = 2;\nconst AB: f64 = 0.5;\nfn f() -> usize {\n    A\n}\n";

#[test]
fn a_constant_is_changed_and_nothing_else() {
    let constants = BTreeMap::from([("A".to_owned(), "6".to_owned())]);
    let text = changed(TEXT, &constants).expect("known");
    assert_eq!(text, TEXT.replace("usize = 2;", "usize = 6;"));
    let unknown = BTreeMap::from([("B".to_owned(), "6".to_owned())]);
    assert_eq!(
        changed(TEXT, &unknown).expect_err("unknown").to_string(),
        "src/decision/mod.rs has no constant B"
    );
}

#[test]
fn a_value_that_is_no_number_is_not_compiled() {
    let code = BTreeMap::from([("A".to_owned(), "{ panic!() }".to_owned())]);
    assert!(matches!(changed(TEXT, &code), Err(VariantFault::NoNumber(..))));
}

#[test]
fn the_module_has_the_constants_that_experiments_change() {
    let module = include_str!("../../../../src/decision/mod.rs");
    let constants = ["RETURNS_PER_TURN", "GAP"].map(|name| (name.to_owned(), "9.0".to_owned()));
    let text = changed(module, &constants.into_iter().collect()).expect("known");
    assert!(text.contains("const GAP: f64 = 9.0;") && text.contains("const RETURNS_PER_TURN: usize = 9.0;"));
    assert_eq!(text.lines().count(), module.lines().count());
}
