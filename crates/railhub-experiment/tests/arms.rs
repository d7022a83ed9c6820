//! Experiments from their file to the verdict.
use railhub_experiment::page::page;
use railhub_experiment::report::{runs_csv, text_report};
use railhub_experiment::stats::Verdict;
use railhub_experiment::{compare, folder, Experiment, Outcome};
use railhub_simulator::TimingModel;
use std::path::PathBuf;

fn write_experiment(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("railhub-experiment-{}-{name}.ini", std::process::id()));
    let day = format!("{}/../../days/first-bad-day.ini", env!("CARGO_MANIFEST_DIR"));
    std::fs::write(&path, text.replace("DAY", &day)).expect("writable");
    path
}

fn run_experiment(path: &std::path::Path) -> Outcome {
    compare(&Experiment::open(path).expect("a valid experiment"), TimingModel::default(), &|_| {})
        .expect("the experiment runs")
}

/// Runs the experiment with the given text.
fn run_text(name: &str, text: &str) -> Outcome {
    let path = write_experiment(name, text);
    let outcome = run_experiment(&path);
    std::fs::remove_file(path).expect("the file exists");
    outcome
}

#[test]
fn identical_arms_have_no_difference_and_settle_at_once() {
    let path = write_experiment(
        "same",
        "[experiment]\nday = DAY\nblocks_least = 4\n[arm a]\n[arm b]\nrules.first_wait = 1.0\n",
    );
    let outcome = run_experiment(&path);
    std::fs::remove_file(path).expect("the file exists");
    let other = &outcome.arms[1];
    let difference = other.difference.expect("compared");
    assert_eq!((difference.mean, difference.low, difference.high), (0.0, 0.0, 0.0));
    assert_eq!(other.verdict, Some(Verdict::NoDifferenceWorthHaving));
    assert!(outcome.settled);
    assert_eq!((outcome.blocks, runs_csv(&outcome).lines().count()), (4, 9));
}

#[test]
fn fixed_tables_are_found_worse() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 6\nblocks_most = 6\n[arm a]\n[arm b]\npolicy = fixed\n";
    let path = write_experiment("fixed", text);
    let outcome = run_experiment(&path);
    std::fs::remove_file(path).expect("the file exists");
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::Worse));
    let page = page(&outcome).expect("the page can be drawn");
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(!page.contains("http-equiv") && !page.contains("src="), "the page loads nothing from elsewhere");
}

#[test]
fn errors_in_an_experiment_name_the_line() {
    let error_of = |text: &str| {
        let path = write_experiment("bad", text);
        let error = Experiment::open(&path).expect_err("an invalid experiment").to_string();
        let _ = std::fs::remove_file(path);
        error.split_once(".ini:").map(|(_, rest)| rest.to_owned()).expect("a position")
    };
    let two_arms = |keys: &str| format!("[experiment]\nday = DAY\n[arm a]\n[arm b]\n{keys}\n");
    assert!(error_of(&two_arms("policy = best")).starts_with("5: [arm b] policy cannot be 'best'"));
    assert!(error_of(&two_arms("rulez.grace = 3")).starts_with("5: [arm b] rulez.grace is no [section]"));
    assert!(error_of(&two_arms("rules.grays = 3")).contains("[rules] grays is not known"));
    assert!(error_of("[experiment]\nday = DAY\n[arm a]\n").contains("needs two arms"));
}

/// Two arms that differ only by the proxies' random choices: the verdict may be wrong in 5 of 100 experiments.
#[test]
fn arms_that_differ_by_chance_have_no_difference() {
    let mut wrong = 0;
    for trial in 0..100 {
        let day = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
        let text = format!(
            "[experiment]\nday = {day}\nfirst_seed = {}\nblocks_least = 8\nblocks_most = 8\nworth_having = 0\n\
             [arm a]\nluck = 1\n[arm b]\nluck = 2\n",
            trial * 8 + 1
        );
        let outcome = run_text(&format!("aa-{trial}"), &text);
        let verdict = outcome.arms[1].verdict.expect("compared");
        wrong += usize::from(matches!(verdict, Verdict::Better | Verdict::Worse));
    }
    assert!(wrong <= 5, "{wrong} of 100");
}

#[test]
fn known_effect_is_found_and_lies_within_its_interval() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 8\nblocks_most = 8\n[arm a]\n[arm b]\nload.share = 0.62\n";
    let arm = &run_text("effect", text).arms[1];
    assert_eq!(arm.verdict, Some(Verdict::Worse));
    let difference = arm.difference.expect("compared");
    let mean = |runs: &[railhub_experiment::figures::RunFigures]| {
        runs.iter().map(|run| run.service).sum::<f64>() / runs.len() as f64
    };
    let more = run_text("effect-more", &text.replace("= 8", "= 40"));
    let true_difference = mean(&more.arms[1].runs) - mean(&more.arms[0].runs);
    assert!(
        difference.low <= true_difference && true_difference <= difference.high,
        "{difference:?} of {true_difference}"
    );
}

#[test]
fn arm_with_a_violation_loses_and_its_time_is_shown() {
    let text =
        "[experiment]\nday = DAY\nblocks_least = 6\nblocks_most = 6\n[arm a]\n[arm b]\npolicy = hash\n";
    let outcome = run_text("rules", text);
    let arm = &outcome.arms[1];
    assert!(arm.runs_with_broken_rules > 0);
    assert_eq!(arm.verdict, Some(Verdict::BreaksRules));
    let (seed, violation) = arm.first_violation.as_ref().expect("a violation");
    assert!((1..=6).contains(seed) && violation.at > 0.0 && !violation.what.is_empty());
    let expected = format!("first on seed {seed}, rule {} at {:.2} s", violation.rule, violation.at);
    assert!(
        text_report(&outcome).contains(&expected)
            && page(&outcome).expect("the page can be drawn").contains(&expected)
    );
}

#[test]
fn scenario_that_every_arm_fails_is_named() {
    // The limits on the backlog are so low that the updates of any controller exceed them.
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 3\n\
        [arm a]\nrules.backlog = 1\n[arm b]\nrules.backlog = 2\n";
    let outcome = run_text("none", text);
    assert_eq!(outcome.failed_by_all.len(), 3, "{}", text_report(&outcome));
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::BothBreakRules));
    assert!(text_report(&outcome).contains("no arm keeps all rules on 3 of 3 blocks"));
}

#[test]
fn arm_that_cannot_run_is_left_out_and_the_others_go_on() {
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 6\nclose_enough = 0\n\
        [arm a]\n[arm b]\nversion = /bin/false\n[arm c]\nluck = 3\n";
    let outcome = run_text("dead", text);
    assert_eq!(outcome.arms[1].verdict, Some(Verdict::CannotBeRun));
    assert!(outcome.arms[1].failed.as_ref().expect("a reason").contains("/bin/false"));
    assert_eq!((outcome.blocks, outcome.arms[2].runs.len()), (6, 6));
}

#[test]
fn sweep_makes_an_arm_per_pair_and_writes_all_files() {
    let text = "[experiment]\nday = DAY\nblocks_least = 3\nblocks_most = 3\n\
        [sweep]\nkey = load.share\nvalues = 0.3, 0.7\nkey2 = fleet.hosts\nvalues2 = 12, 18\n";
    let outcome = run_text("sweep", text);
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
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}

#[test]
fn blocks_alternate_between_scenarios() {
    let short = format!("{}/../../days/short.ini", env!("CARGO_MANIFEST_DIR"));
    let text = format!(
        "[experiment]\ndays = DAY, {short}\nblocks_least = 4\nblocks_most = 4\n[arm a]\n[arm b]\nluck = 1\n"
    );
    let outcome = run_text("days", &text);
    let blocks: Vec<(usize, u64)> =
        outcome.arms[1].runs.iter().map(|run| (run.scenario_index, run.seed)).collect();
    assert_eq!(blocks, [(0, 1), (1, 1), (0, 2), (1, 2)]);
    assert_eq!(outcome.arms[1].difference_by_scenario.len(), 2);
    assert_eq!((outcome.arms[0].bands[0].mean.len(), outcome.arms[0].bands[1].mean.len()), (48, 10));
}
