use super::*;

const SCENARIO: &str =
    "[day]\nlength = 5\n[fleet]\nhosts = 3\nproxies = 2\nslices = 6\n[load]\nshare = 0.3\n\
    [kind a]\ncores = 2\n[class view]\nwork = 0.05\ncontract_time = 0.5\nhard_stop = 1\n\
    [trouble one]\nkind = crash\nat = 2\nfor = 1\nhosts = 1\n";

fn read(text: &str) -> Result<Scenario, String> {
    Document::parse("scenario.ini", text)
        .and_then(|document| Scenario::read(&document))
        .map_err(|e| e.to_string())
}

#[test]
fn reads_a_minimal_scenario() {
    let scenario = read(SCENARIO).expect("a valid scenario");
    assert_eq!((scenario.hosts, scenario.slices, scenario.faults.len()), (3, 6, 1));
}

#[test]
fn diagnostics_name_file_line_and_key() {
    let diagnostic =
        |from: &str, to: &str| read(&SCENARIO.replace(from, to)).expect_err("an invalid scenario");
    assert_eq!(diagnostic("cores", "coers"), "scenario.ini:10: [kind a] coers is not known");
    assert_eq!(
        diagnostic("kind = crash", "kind = crush"),
        "scenario.ini:16: [trouble one] kind 'crush' is not known"
    );
    assert_eq!(
        diagnostic("hosts = 1\n", "hosts = 1\ntimes = 4\n"),
        "scenario.ini:20: [trouble one] times is not known"
    );
    assert!(diagnostic("share = 0.3", "share = 0.3\nshape = 5:1, 2:1")
        .starts_with("scenario.ini:9: [load] shape needs"));
}
