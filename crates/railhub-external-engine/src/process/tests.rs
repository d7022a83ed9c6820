use super::*;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

/// Writes an executable file from a separate process. If this process had the file open for writing, a child that
/// another test starts at that moment could inherit the descriptor, and executing the file would fail with ETXTBSY
/// until that child closes it.
fn write_program(path: &Path, text: &str) {
    let mut writer = Command::new("sh");
    writer.args(["-c", "cat > \"$1\" && chmod 755 \"$1\"", "sh"]).arg(path);
    let mut child = writer.stdin(Stdio::piped()).spawn().expect("a shell");
    child.stdin.take().expect("piped").write_all(text.as_bytes()).expect("the shell reads its input");
    assert!(child.wait().expect("the child of this process").success());
}

/// Runs a shell script as an engine for two batches and returns the engine's error, if any.
fn engine_error(name: &str, script: &str) -> Option<EngineError> {
    let path = std::env::temp_dir().join(format!("railhub-engine-{}-{name}", std::process::id()));
    write_program(&path, &format!("#!/bin/sh\n{script}\n"));
    let (mut engine, error_slot) =
        ExternalEngine::start(&path, &ControllerConfig::default(), 1).expect("the engine starts");
    let mut delta = DeltaBuilder::default();
    engine.handle_batch(&EventBatch::default(), &mut delta);
    engine.handle_batch(&EventBatch::default(), &mut delta);
    std::fs::remove_file(&path).expect("the file exists");
    assert!(delta.timers.is_empty() || error_slot.lock().expect("no holder panics").is_none());
    let error = error_slot.lock().expect("no holder panics").clone();
    error
}

#[test]
fn failed_engine_reports_error_and_leaves_delta_empty() {
    let valid_replies = "while read line; do case $line in OVER*) echo DONE;; esac; done";
    assert_eq!(engine_error("valid", valid_replies), None);
    let cause = |name, script| engine_error(name, script).expect("an error").cause.to_string();
    assert!(
        ["ended"].contains(&cause("exits", "read line; read line; read line; read line; exit 0").as_str())
    );
    assert!(cause("unknown-action", "echo AFTER in_us=1 ref=2; echo hello there; cat > /dev/null")
        .contains("'hello'"));
    assert!(cause("gives-up", "echo DIE words=no such field; cat > /dev/null")
        .contains("gave up: DIE words=no such"));
}

/// The batch is larger than a pipe's buffer, so writing it blocks while the engine does not read its input.
#[test]
fn engine_that_does_not_read_fails_without_blocking_caller() {
    let reply_timeout = Duration::from_millis(300);
    let (mut engine, error_slot) = ExternalEngine::start_with_timeout(
        Path::new("/usr/bin/yes"),
        &ControllerConfig::default(),
        1,
        reply_timeout,
    )
    .expect("the engine starts");
    let events = EventBatch { timers: vec![railhub::TimerId(u64::MAX); 100_000], ..EventBatch::default() };
    let started_at = Instant::now();
    engine.handle_batch(&events, &mut DeltaBuilder::default());
    drop(engine);
    assert!(started_at.elapsed() < Duration::from_secs(10));
    assert!(error_slot.lock().expect("no holder panics").is_some());
    let (mut engine, error_slot) = ExternalEngine::start_with_timeout(
        Path::new("/bin/sleep"),
        &ControllerConfig::default(),
        1,
        reply_timeout,
    )
    .expect("the engine starts");
    engine.handle_batch(&events, &mut DeltaBuilder::default());
    let error = error_slot.lock().expect("no holder panics");
    assert!(error.is_some(), "sleep without an argument exits at once");
}

#[test]
fn start_error_names_missing_program() {
    let error = ExternalEngine::start(Path::new("/nowhere/at-all"), &ControllerConfig::default(), 1)
        .err()
        .expect("an error");
    assert!(error.to_string().starts_with("the version /nowhere/at-all: cannot be started"), "{error}");
}
