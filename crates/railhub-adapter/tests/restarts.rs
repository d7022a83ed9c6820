//! Instances that are killed and created again in a running adapter while their proxies keep what they hold.
mod common;

use common::CREATE;
use std::io::Write;
use std::process::{Command, Stdio};

/// Host 1 drains, so that the first process excludes it.
const DRAIN: &str = "ENDPOINTS rev=2 how=incr records=1\nITEM phase=leaving host=10.0.0.1:80 zone=a flavor=m";
const EXCLUSION: &str = "BENCH host=10.0.0.1:80 on=1";
const READMISSION: &str = "BENCH host=10.0.0.1:80 on=0";

/// The hosts from `first_host` to host 3 are listed; host 2 owns slice 0, `first_host` owns slice 1.
fn created(first_host: u8) -> String {
    let item = |n: u8| format!("ITEM phase=active host=10.0.0.{n}:80 zone=a flavor=m");
    let items: Vec<String> = (first_host..=3).map(item).collect();
    let list = format!("ENDPOINTS rev=1 how=warm_copy records={}\n{}", items.len(), items.join("\n"));
    let owned = |slice: u8, host: u8| {
        format!("TENURE sheet={slice} on=1\nSTORED_LINE sheet={slice} host=10.0.0.{host}:80 w=1")
    };
    let create = CREATE.replace("ceilings.probes=true", "ceilings.probes=false");
    format!("{create}\n{list}\n{}\n{}", owned(0, 2), owned(1, first_host))
}

/// Runs the adapter on batches, each with its time in seconds; returns the replies.
fn replies(batches: &[(u32, String)]) -> Vec<String> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_railhub-adapter"));
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("built");
    let mut stdin = child.stdin.take().expect("piped");
    for (seconds, events) in batches {
        let batch = format!("FRAME wall_us={seconds}000000\nAT i=0\n{events}\nOVER_TO_YOU\n");
        stdin.write_all(batch.as_bytes()).expect("the adapter reads");
    }
    drop(stdin);
    let output = child.wait_with_output().expect("the adapter exits");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{text}");
    text.split("DONE\n").map(str::to_owned).collect()
}

/// Guards against review/1 and review/3 on this wire: hosts that an instance had excluded before it was killed stayed
/// excluded if the list did not name them at its start, or if a new proxy connected first.
#[test]
fn readmits_hosts_excluded_by_a_killed_instance() {
    let unlisted_at_start = "SUBSCRIBED edge=0 zone=a w=1 on=0".to_owned();
    let new_proxy_first = "SUBSCRIBED edge=1 zone=a w=1 on=1\nSUBSCRIBED edge=0 zone=a w=1 on=0".to_owned();
    for (first_host, streams) in [(2, unlisted_at_start), (1, new_proxy_first)] {
        let listed_again =
            "ENDPOINTS rev=3 how=incr records=1\nITEM phase=active host=10.0.0.1:80 zone=a flavor=m";
        let replies = replies(&[
            (1, created(1) + "\nSUBSCRIBED edge=0 zone=a w=1 on=1"),
            (2, DRAIN.to_owned()),
            (3, "DETACH".to_owned()),
            (4, created(first_host)),
            (5, format!("{streams}\nBELL ref=0")),
            (6, format!("{listed_again}\nBELL ref=0")),
            (7, "BELL ref=0".to_owned()),
        ]);
        assert!(replies[1].contains(EXCLUSION), "{replies:?}");
        assert!(replies[4..].iter().any(|reply| reply.contains(READMISSION)), "{replies:?}");
    }
}
