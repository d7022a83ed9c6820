//! Experiments from file to verdict.
use railhub_experiment::charts::page;
use railhub_experiment::report::csv;
use railhub_experiment::stats::Verdict;
use railhub_experiment::{compare, Experiment};
use std::path::PathBuf;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("railhub-experiment-{}-{name}.ini", std::process::id()));
    let day = format!("{}/../../days/first-bad-day.ini", env!("CARGO_MANIFEST_DIR"));
    std::fs::write(&path, text.replace("DAY", &day)).expect("writable");
    path
}

#[test]
fn an_arm_that_differs_in_nothing_differs_by_nothing_and_stops_at_once() {
    let path =
        file("same", "[experiment]\nday = DAY\nblocks_least = 4\n[arm a]\n[arm b]\nrules.first_wait = 1.0\n");
    let outcome = compare(&Experiment::open(&path).expect("good"), &|_| {}).expect("it runs");
    std::fs::remove_file(path).expect("there");
    let other = &outcome.arms[1];
    let difference = other.difference.expect("compared");
    assert_eq!((difference.mean, difference.low, difference.high), (0.0, 0.0, 0.0));
    assert_eq!(other.verdict, Some(Verdict::NoDifferenceWorthHaving));
    assert!(outcome.settled);
    assert_eq!((outcome.blocks, csv(&outcome).lines().count()), (4, 9));
}

#[test]
fn tables_that_stay_as_they_were_are_found_worse() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 6\nblocks_most = 6\n[arm a]\n[arm b]\npolicy = fixed\n";
    let path = file("fixed", text);
    let outcome = compare(&Experiment::open(&path).expect("good"), &|_| {}).expect("it runs");
    std::fs::remove_file(path).expect("there");
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::Worse));
    let page = page(&outcome).expect("it can be drawn");
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains("http-equiv") && !page.contains("src="), "it needs nothing from elsewhere");
}

#[test]
fn mistakes_in_an_experiment_name_the_line() {
    let fault = |text: &str| {
        let path = file("bad", text);
        let fault = Experiment::open(&path).expect_err("wrong").to_string();
        let _ = std::fs::remove_file(path);
        fault.split_once(".ini:").map(|(_, rest)| rest.to_owned()).expect("a place")
    };
    let two = |arm: &str| format!("[experiment]\nday = DAY\n[arm a]\n[arm b]\n{arm}\n");
    assert!(fault(&two("policy = best")).starts_with("5: [arm b] policy cannot be 'best'"));
    assert!(fault(&two("rulez.grace = 3")).starts_with("5: [arm b] rulez.grace is no [section]"));
    assert!(fault(&two("rules.grays = 3")).contains("[rules] grays is not known"));
    assert!(fault("[experiment]\nday = DAY\n[arm a]\n").contains("needs two arms"));
}
