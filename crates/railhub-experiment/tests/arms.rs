//! Experiments from file to verdict.
use railhub_experiment::page::page;
use railhub_experiment::report::{runs_csv, text_report};
use railhub_experiment::stats::Verdict;
use railhub_experiment::{compare, folder, Experiment, Outcome};
use railhub_simulator::TimingModel;
use std::path::PathBuf;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("railhub-experiment-{}-{name}.ini", std::process::id()));
    let day = format!("{}/../../days/first-bad-day.ini", env!("CARGO_MANIFEST_DIR"));
    std::fs::write(&path, text.replace("DAY", &day)).expect("writable");
    path
}

fn ran(path: &std::path::Path) -> Outcome {
    compare(&Experiment::open(path).expect("good"), TimingModel::default(), &|_| {}).expect("it runs")
}

/// Runs an experiment from its text.
fn outcome(name: &str, text: &str) -> Outcome {
    let path = file(name, text);
    let outcome = ran(&path);
    std::fs::remove_file(path).expect("there");
    outcome
}

#[test]
fn an_arm_that_differs_in_nothing_differs_by_nothing_and_stops_at_once() {
    let path =
        file("same", "[experiment]\nday = DAY\nblocks_least = 4\n[arm a]\n[arm b]\nrules.first_wait = 1.0\n");
    let outcome = ran(&path);
    std::fs::remove_file(path).expect("there");
    let other = &outcome.arms[1];
    let difference = other.difference.expect("compared");
    assert_eq!((difference.mean, difference.low, difference.high), (0.0, 0.0, 0.0));
    assert_eq!(other.verdict, Some(Verdict::NoDifferenceWorthHaving));
    assert!(outcome.settled);
    assert_eq!((outcome.blocks, runs_csv(&outcome).lines().count()), (4, 9));
}

#[test]
fn tables_that_stay_as_they_were_are_found_worse() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 6\nblocks_most = 6\n[arm a]\n[arm b]\npolicy = fixed\n";
    let path = file("fixed", text);
    let outcome = ran(&path);
    std::fs::remove_file(path).expect("there");
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::Worse));
    let page = page(&outcome).expect("it can be drawn");
    assert_eq!(page.matches("<svg").count(), 5);
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

/// Two arms that differ by chance alone: what says otherwise is wrong, and may be so in 5 of 100.
#[test]
fn arms_that_differ_by_chance_alone_come_out_as_no_difference() {
    let mut wrong = 0;
    for trial in 0..100 {
        let day = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
        let text = format!(
            "[experiment]\nday = {day}\nfirst_seed = {}\nblocks_least = 8\nblocks_most = 8\nworth_having = 0\n\
             [arm a]\nluck = 1\n[arm b]\nluck = 2\n",
            trial * 8 + 1
        );
        let outcome = outcome(&format!("aa-{trial}"), &text);
        let verdict = outcome.arms[1].verdict.expect("compared");
        wrong += usize::from(matches!(verdict, Verdict::Better | Verdict::Worse));
    }
    assert!(wrong <= 5, "{wrong} of 100");
}

#[test]
fn a_known_effect_is_found_and_its_interval_holds_it() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 8\nblocks_most = 8\n[arm a]\n[arm b]\nload.share = 0.62\n";
    let arm = &outcome("effect", text).arms[1];
    assert_eq!(arm.verdict, Some(Verdict::Worse));
    let difference = arm.difference.expect("compared");
    let mean = |runs: &[railhub_experiment::figures::RunFigures]| {
        runs.iter().map(|run| run.service).sum::<f64>() / runs.len() as f64
    };
    let more = outcome("effect-more", &text.replace("= 8", "= 40"));
    let truth = mean(&more.arms[1].runs) - mean(&more.arms[0].runs);
    assert!(difference.low <= truth && truth <= difference.high, "{difference:?} of {truth}");
}

#[test]
fn an_arm_that_breaks_a_rule_loses_and_the_moment_is_shown() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 6\nblocks_most = 6\n[arm a]\n[arm b]\npolicy = hash\n";
    let outcome = outcome("rules", text);
    let arm = &outcome.arms[1];
    assert!(arm.runs_with_broken_rules > 0);
    assert_eq!(arm.verdict, Some(Verdict::BreaksRules));
    let (seed, moment) = arm.first_breach.as_ref().expect("a moment");
    assert!((1..=6).contains(seed) && moment.at > 0.0 && !moment.what.is_empty());
    let told = format!("first on seed {seed}, rule {} at {:.2} s", moment.rule, moment.at);
    assert!(text_report(&outcome).contains(&told) && page(&outcome).expect("drawn").contains(&told));
}

#[test]
fn a_day_that_no_arm_survives_is_named() {
    // No channel can carry what any steward has to say.
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 3\n\
        [arm a]\nrules.backlog = 1\n[arm b]\nrules.backlog = 2\n";
    let outcome = outcome("none", text);
    assert_eq!(outcome.survived_by_none.len(), 3, "{}", text_report(&outcome));
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::BothBreakRules));
    assert!(text_report(&outcome).contains("no arm keeps all rules on 3 of 3 blocks"));
}

#[test]
fn an_arm_that_cannot_be_run_is_out_and_the_others_go_on() {
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 6\nclose_enough = 0\n\
        [arm a]\n[arm b]\nversion = /bin/false\n[arm c]\nluck = 3\n";
    let outcome = outcome("dead", text);
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::CannotBeRun));
    assert!(outcome.arms[1].failed.as_ref().expect("a reason").contains("/bin/false"));
    assert_eq!((outcome.blocks, outcome.arms[2].runs.len()), (6, 6));
}

#[test]
fn a_sweep_makes_an_arm_of_each_pair_and_all_is_kept_in_a_folder() {
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 3\n\
        [sweep]\nkey = load.share\nvalues = 0.3, 0.7\nkey2 = fleet.hosts\nvalues2 = 12, 18\n";
    let outcome = outcome("sweep", text);
    let swept: Vec<Vec<f64>> = outcome.arms.iter().map(|arm| arm.swept.clone()).collect();
    assert_eq!(swept, [[0.3, 12.0], [0.7, 12.0], [0.3, 18.0], [0.7, 18.0]]);
    let folder = std::env::temp_dir().join(format!("railhub-kept-{}", std::process::id()));
    folder::write(&folder, &outcome).expect("kept");
    for name in ["outcome.json", "runs.csv", "arms.csv", "over-time.csv", "loads.csv", "report.html"] {
        assert!(std::fs::metadata(folder.join(name)).expect(name).len() > 100, "{name}");
    }
    for chart in ["service", "sweep", "over-time-1", "moves-1", "loads", "difference-1"] {
        let png = std::fs::read(folder.join(format!("charts/{chart}.png"))).expect(chart);
        assert!(png.starts_with(b"\x89PNG"), "{chart}");
        assert!(folder.join(format!("charts/{chart}.svg")).exists(), "{chart}");
    }
    std::fs::remove_dir_all(folder).expect("ours");
}

#[test]
fn blocks_take_turns_over_days() {
    let short = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
    let text = format!(
        "[experiment]\ndays = DAY, {short}\nblocks_least = 4\nblocks_most = 4\n[arm a]\n[arm b]\nluck = 1\n"
    );
    let outcome = outcome("days", &text);
    let blocks: Vec<(usize, u64)> = outcome.arms[1].runs.iter().map(|run| (run.day, run.seed)).collect();
    assert_eq!(blocks, [(0, 1), (1, 1), (0, 2), (1, 2)]);
    assert_eq!(outcome.arms[1].difference_by_day.len(), 2);
    assert_eq!((outcome.arms[0].bands[0].mean.len(), outcome.arms[0].bands[1].mean.len()), (48, 10));
}
