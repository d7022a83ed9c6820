use super::*;
use crate::constant_names::CONSTANT_NAMES;

const TEXT: &str =
    "/// How many.\nconst A: usize = 2;\npub const AB: f64 = 0.5;\nfn f() -> usize {\n    A\n}\n";

fn files() -> Vec<SourceFile> {
    vec![SourceFile { path: "src/decision/a.rs".to_owned(), text: TEXT.to_owned() }]
}

fn constants(pairs: &[(&str, &str)]) -> BTreeMap<String, String> {
    pairs.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

fn decision_sources() -> Vec<SourceFile> {
    read_decisions(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")).expect("the sources are readable")
}

#[test]
fn changes_only_the_given_constant() {
    let mut changed = files();
    set_constants(&mut changed, &constants(&[("A", "6")])).expect("A is declared");
    assert_eq!(changed[0].text, TEXT.replace("usize = 2;", "usize = 6;"));
    let mut changed = files();
    set_constants(&mut changed, &constants(&[("AB", "6.5")])).expect("AB is declared");
    assert_eq!(changed[0].text, TEXT.replace("f64 = 0.5;", "f64 = 6.5;"));
    let unknown = set_constants(&mut files(), &constants(&[("B", "6")])).expect_err("B is not declared");
    assert_eq!(unknown.to_string(), "src/decision has no constant B");
}

#[test]
fn rejects_value_that_is_not_a_number() {
    let code = constants(&[("A", "{ panic!() }")]);
    assert!(matches!(set_constants(&mut files(), &code), Err(VariantError::NotANumber(..))));
}

#[test]
fn sets_constants_by_name_and_by_alias() {
    for names in [["RETURNS_PER_TURN", "GAP"], ["MAX_FAILBACKS_PER_TICK", "EJECTION_SCORE_GAP"]] {
        let (before, mut after) = (decision_sources(), decision_sources());
        set_constants(&mut after, &constants(&names.map(|name| (name, "9.0")))).expect("declared constants");
        let text =
            |path: &str| after.iter().find(|file| file.path == path).expect("a source file").text.clone();
        let gap = text("src/decision/outlier_ejection.rs");
        assert!(gap.contains("const EJECTION_SCORE_GAP: f64 = 9.0;"));
        let failbacks = text("src/decision/placement/failback.rs");
        assert!(failbacks.contains("const MAX_FAILBACKS_PER_TICK: usize = 9.0;"));
        let lines = |files: &[SourceFile]| files.iter().map(|file| file.text.lines().count()).sum::<usize>();
        assert_eq!(lines(&after), lines(&before));
        assert_eq!(before.iter().zip(&after).filter(|(old, new)| old != new).count(), 2);
    }
}

#[test]
fn every_listed_name_and_alias_sets_its_constant() {
    let before = decision_sources();
    for constant in CONSTANT_NAMES {
        for key in [constant.alias, constant.name] {
            let mut after = before.clone();
            set_constants(&mut after, &constants(&[(key, "7.0")])).expect(key);
            let changed: Vec<_> = before.iter().zip(&after).filter(|(old, new)| old != new).collect();
            let [(_, file)] = changed.as_slice() else { panic!("{key}: {} files changed", changed.len()) };
            assert_eq!(file.path, constant.file);
            let declares = |line: &str| line.contains(&format!("const {}: ", constant.name));
            assert!(file.text.lines().any(|line| declares(line) && line.ends_with(" = 7.0;")), "{key}");
        }
    }
}

#[test]
fn rejects_constant_set_by_name_and_alias() {
    let both = constants(&[("GAP", "9.0"), ("EJECTION_SCORE_GAP", "10.0")]);
    assert!(matches!(set_constants(&mut decision_sources(), &both), Err(VariantError::DuplicateConstant(_))));
}
