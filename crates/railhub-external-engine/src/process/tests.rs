use super::*;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

/// Writes a program by a process of its own. A file that this process had open for writing could be inherited by a child
/// that another test starts at that moment, and would not execute until that child has let go of it (ETXTBSY).
fn write_program(path: &Path, text: &str) {
    let mut writer = Command::new("sh");
    writer.args(["-c", "cat > \"$1\" && chmod 755 \"$1\"", "sh"]).arg(path);
    let mut child = writer.stdin(Stdio::piped()).spawn().expect("a shell");
    child.stdin.take().expect("piped").write_all(text.as_bytes()).expect("the shell reads");
    assert!(child.wait().expect("ours").success());
}

/// The error of an engine that is such a program.
fn engine_error(name: &str, script: &str) -> Option<EngineError> {
    let path = std::env::temp_dir().join(format!("railhub-version-{}-{name}", std::process::id()));
    write_program(&path, &format!("#!/bin/sh\n{script}\n"));
    let (mut engine, fault) =
        ExternalEngine::start(&path, &ControllerConfig::default(), 1).expect("it starts");
    let mut draft = DeltaBuilder::default();
    engine.handle_batch(&EventBatch::default(), &mut draft);
    engine.handle_batch(&EventBatch::default(), &mut draft);
    std::fs::remove_file(&path).expect("there");
    assert!(draft.timers.is_empty() || fault.lock().expect("held by none").is_none());
    let fault = fault.lock().expect("held by none").clone();
    fault
}

#[test]
fn failed_engine_reports_error_and_leaves_delta_empty() {
    let answers = "while read line; do case $line in OVER*) echo DONE;; esac; done";
    assert_eq!(engine_error("good", answers), None);
    let what = |name, script| engine_error(name, script).expect("an error").cause.to_string();
    assert!(["ended"].contains(&what("ends", "read line; read line; read line; read line; exit 0").as_str()));
    assert!(
        what("nonsense", "echo AFTER in_us=1 ref=2; echo hello there; cat > /dev/null").contains("'hello'")
    );
    assert!(
        what("dies", "echo DIE words=no such field; cat > /dev/null").contains("gave up: DIE words=no such")
    );
}

/// More than a pipe holds, to one that never reads.
#[test]
fn engine_that_does_not_read_fails_without_blocking_caller() {
    let reply_timeout = Duration::from_millis(300);
    let (mut engine, fault) = ExternalEngine::start_with_timeout(
        Path::new("/usr/bin/yes"),
        &ControllerConfig::default(),
        1,
        reply_timeout,
    )
    .expect("it starts");
    let events = EventBatch { timers: vec![railhub::TimerId(u64::MAX); 100_000], ..EventBatch::default() };
    let began = Instant::now();
    engine.handle_batch(&events, &mut DeltaBuilder::default());
    drop(engine);
    assert!(began.elapsed() < Duration::from_secs(10));
    assert!(fault.lock().expect("held by none").is_some());
    let (mut engine, fault) = ExternalEngine::start_with_timeout(
        Path::new("/bin/sleep"),
        &ControllerConfig::default(),
        1,
        reply_timeout,
    )
    .expect("it starts");
    engine.handle_batch(&events, &mut DeltaBuilder::default());
    assert!(fault.lock().expect("held by none").is_some(), "it ends at once: no time is named");
}

#[test]
fn start_error_names_missing_program() {
    let fault = ExternalEngine::start(Path::new("/nowhere/at-all"), &ControllerConfig::default(), 1)
        .err()
        .expect("a fault");
    assert!(fault.to_string().starts_with("the version /nowhere/at-all: cannot be started"), "{fault}");
}
