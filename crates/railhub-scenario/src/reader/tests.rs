use super::*;

const TEXT: &str = "[day]\nlength = 5\n[fleet]\nhosts = 3\nproxies = 2\nslices = 6\n[load]\nshare = 0.3\n\
    [kind a]\ncores = 2\n[class view]\nwork = 0.05\ncontract_time = 0.5\nhard_stop = 1\n\
    [trouble one]\nkind = crash\nat = 2\nfor = 1\nhosts = 1\n";

fn read(text: &str) -> Result<Scenario, String> {
    Document::parse("d.ini", text).and_then(|document| Scenario::read(&document)).map_err(|e| e.to_string())
}

#[test]
fn a_short_script_is_a_whole_day() {
    let scenario = read(TEXT).expect("right");
    assert_eq!((scenario.hosts, scenario.slices, scenario.faults.len()), (3, 6, 1));
}

#[test]
fn mistakes_are_named_with_their_line() {
    let fault = |from: &str, to: &str| read(&TEXT.replace(from, to)).expect_err("wrong");
    assert_eq!(fault("cores", "coers"), "d.ini:10: [kind a] coers is not known");
    assert_eq!(fault("kind = crash", "kind = crush"), "d.ini:16: [trouble one] kind 'crush' is not known");
    assert_eq!(fault("hosts = 1\n", "hosts = 1\ntimes = 4\n"), "d.ini:20: [trouble one] times is not known");
    assert!(fault("share = 0.3", "share = 0.3\nshape = 5:1, 2:1").starts_with("d.ini:9: [load] shape needs"));
}
