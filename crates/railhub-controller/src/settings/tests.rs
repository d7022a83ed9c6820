use super::*;

const TEXT: &str = "[steward]\nroster = 127.0.0.1:7001\nstore = 127.0.0.1:7002\nslices = 40\n\
    [limits]\nbacklog = 9000\n[class view]\ncontract_time = 0.8\nrepeats = safe\n\
    [class pay]\ncontract_time = 1.2\ngain = 2\n";

fn read(text: &str) -> Result<ControllerSettings, String> {
    ControllerSettings::read(&Document::parse("s.ini", text).expect("readable")).map_err(|e| e.to_string())
}

#[test]
fn a_file_becomes_terms_in_its_order_of_classes() {
    let read = read(TEXT).expect("right");
    assert_eq!(read.class_names, ["view", "pay"]);
    assert_eq!((read.config.slice_count, read.config.backlog_limit), (40, 9000.0));
    assert_eq!(read.config.classes[1].idempotency, Idempotency::Never);
}

#[test]
fn what_is_wrong_is_named_with_its_line() {
    let fault = |from: &str, to: &str| read(&TEXT.replace(from, to)).expect_err("wrong");
    assert_eq!(
        fault("slices = 40", "slice = 40"),
        "s.ini:3: [steward] store is required with slices over 0, and not allowed without slices"
    );
    assert_eq!(fault("backlog", "backlogs"), "s.ini:6: [limits] backlogs is not known");
    assert_eq!(
        fault("repeats = safe", "repeats = often"),
        "s.ini:9: [class view] repeats cannot be 'often': safe, keyed, keyed nearby or never"
    );
    let fleet = |keys: &str| read(&format!("{TEXT}[fleet]\n{keys}")).expect_err("wrong");
    assert_eq!(fleet("id = 1\n"), "s.ini:13: [fleet] installation is missing");
    let named = "id = 1\ninstallation = shop\n";
    assert_eq!(
        fleet(&format!("{named}join = here\n")),
        "s.ini:16: [fleet] join cannot be 'here': addresses are needed"
    );
    assert_eq!(fleet(&format!("{named}jion = 127.0.0.1:1\n")), "s.ini:16: [fleet] jion is not known");
    assert!(fault("contract_time = 0.8\n", "").contains("[class view] contract_time is missing"));
}
