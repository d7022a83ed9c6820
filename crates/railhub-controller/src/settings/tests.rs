use super::*;

const TEXT: &str = "[steward]\nroster = 127.0.0.1:7001\nstore = 127.0.0.1:7002\nslices = 40\n\
    [limits]\nbacklog = 9000\n[class view]\ncontract_time = 0.8\nrepeats = safe\n\
    [class pay]\ncontract_time = 1.2\ngain = 2\n";

fn read(text: &str) -> Result<ControllerSettings, String> {
    ControllerSettings::read(&Document::parse("s.ini", text).expect("valid syntax"))
        .map_err(|error| error.to_string())
}

#[test]
fn reads_settings_with_classes_in_file_order() {
    let settings = read(TEXT).expect("valid settings");
    assert_eq!(settings.class_names, ["view", "pay"]);
    assert_eq!((settings.config.slice_count, settings.config.backlog_limit), (40, 9000.0));
    assert_eq!(settings.config.classes[1].idempotency, Idempotency::Never);
}

#[test]
fn errors_name_the_key_and_line() {
    let error = |from: &str, to: &str| read(&TEXT.replace(from, to)).expect_err("invalid settings");
    assert_eq!(
        error("slices = 40", "slice = 40"),
        "s.ini:3: [steward] store is required with slices over 0, and not allowed without slices"
    );
    assert_eq!(error("backlog", "backlogs"), "s.ini:6: [limits] backlogs is not known");
    assert_eq!(
        error("repeats = safe", "repeats = often"),
        "s.ini:9: [class view] repeats cannot be 'often', expected safe, keyed, keyed nearby or never"
    );
    let fleet_error = |keys: &str| read(&format!("{TEXT}[fleet]\n{keys}")).expect_err("invalid settings");
    assert_eq!(fleet_error("id = 1\n"), "s.ini:13: [fleet] installation is missing");
    let required = "id = 1\ninstallation = shop\n";
    assert_eq!(
        fleet_error(&format!("{required}join = here\n")),
        "s.ini:16: [fleet] join cannot be 'here': addresses are needed"
    );
    assert_eq!(
        fleet_error(&format!("{required}jion = 127.0.0.1:1\n")),
        "s.ini:16: [fleet] jion is not known"
    );
    assert!(error("contract_time = 0.8\n", "").contains("[class view] contract_time is missing"));
}
