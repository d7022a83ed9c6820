//! The wire protocol of the adapter: the lines that it reads, and the replies and errors that it writes.
mod common;

use common::CREATE;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with these lines as its input.
fn run_adapter(lines: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_railhub-adapter"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("built");
    let mut stdin = child.stdin.take().expect("piped");
    // The write fails if the adapter has exited because of an invalid line.
    let _ = stdin.write_all(lines.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the adapter exits")
}

#[test]
fn invalid_line_is_reported_on_stdout_and_stderr() {
    let created = format!("FRAME wall_us=1\nAT i=3\n{CREATE}");
    for (lines, text) in INVALID_LINES {
        let lines = match lines.strip_prefix("CREATED ") {
            Some(rest) => format!("{created}\n{rest}\n"),
            None => format!("{lines}\n"),
        };
        let output = run_adapter(&lines);
        assert_eq!(String::from_utf8_lossy(&output.stdout), format!("DIE words={text}\nDONE\n"), "{lines}");
        assert_eq!(String::from_utf8_lossy(&output.stderr), format!("railhub-adapter: {text}\n"), "{lines}");
        assert!(!output.status.success(), "{lines}");
    }
}

#[test]
fn missing_or_invalid_setting_is_named_in_reply() {
    let reply_to = |create: &str| {
        let output = run_adapter(&format!("AT i=3\n{create}\n"));
        String::from_utf8(output.stdout).expect("text")
    };
    let missing = "DIE words=line 2 (CREATE): field rules.cold_from is missing\nDONE\n";
    assert_eq!(reply_to(&CREATE.replace("rules.cold_from=0.2 ", "")), missing);
    let invalid = "DIE words=line 2 (CREATE): field request_classes.0.effect cannot be 'often'\nDONE\n";
    assert_eq!(reply_to(&CREATE.replace("effect=repeatable", "effect=often")), invalid);
}

/// Input lines, and the error text for the last of them. An instance is created first if they begin with CREATED.
const INVALID_LINES: &[(&str, &str)] = &[
    ("AT i=x", "line 1 (AT): field i cannot be 'x'"),
    ("AT", "line 1 (AT): field i is missing"),
    ("BELL ref=1", "line 1 (BELL): field i is missing: no AT came before"),
    ("FRAME", "line 1 (FRAME): field wall_us is missing"),
    ("FRAME wall_us=-1", "line 1 (FRAME): field wall_us cannot be '-1'"),
    ("CREATED BELL ref=x", "line 4 (BELL): field ref cannot be 'x'"),
    ("CREATED STREAM_DOWN edge", "line 4 (STREAM_DOWN): 'edge' is not name=value"),
    ("CREATED HEALTH host=10.0.0.1:80", "line 4 (HEALTH): field code is missing"),
    ("CREATED HEALTH host=10.0.0.1:80 code=1.5", "line 4 (HEALTH): field code cannot be '1.5'"),
    ("CREATED ITEM phase=active host=a", "line 4 (ITEM): field records names fewer entries"),
    ("CREATED ENDPOINTS how=total records=1\nITEM phase=gone host=a", "line 5 (ITEM): field phase cannot be 'gone'"),
    ("CREATED ENDPOINTS how=total records=1\nITEM phase=active host=a w=NaN", "line 5 (ITEM): field w cannot be 'NaN'"),
    ("CREATED ENDPOINTS how=total records=1\nITEM phase=active host=a w=-1", "line 5 (ITEM): field w cannot be '-1'"),
    ("CREATED ENDPOINTS how=total records=1\nITEM phase=active host=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "line 5 (ITEM): field host cannot be 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa'"),
    ("CREATED HEARD zone=a host=a total=1 failed=0 rtt_us=1 over_us=1 server_stats=inf", "line 4 (HEARD): field server_stats cannot be 'inf'"),
    ("CREATED SUBSCRIBED edge=1 on=maybe", "line 4 (SUBSCRIBED): field on cannot be 'maybe'"),
    ("CREATED TENURE sheet=1 on=1\nSTORED_LINE sheet=2 host=a w=1", "line 5 (STORED_LINE): field sheet was not given in this batch"),
];
