//! A steward as a process of its own, so that it can be killed outright.
use crate::logs::WHAT;
use crate::LogForm;
use railhub_day::{Launch, Launched};
use serde::Deserialize;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Deserialize)]
struct Listening {
    listening: SocketAddr,
}

/// Each call starts this binary anew as a steward with the settings given.
pub fn as_process(log: LogForm) -> Launch {
    let count = AtomicUsize::new(0);
    Arc::new(move |settings| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("railhub-{}-{number}.ini", std::process::id()));
        std::fs::write(&file, settings).map_err(|e| format!("{}: {e}", file.display()))?;
        let started = start(&file, log);
        let _ = std::fs::remove_file(&file);
        started
    })
}

fn start(file: &std::path::Path, log: LogForm) -> Result<Launched, String> {
    let binary = std::env::current_exe().map_err(|e| format!("this program cannot be found: {e}"))?;
    let form = match log {
        LogForm::Text => "text",
        LogForm::Json => "json",
        LogForm::Off => "off",
    };
    let mut child = Command::new(binary)
        .args(["steward", "--until-stdin-ends", "--log", form, "--conf"])
        .arg(file)
        .env(WHAT, std::env::var(WHAT).unwrap_or_else(|_| "warn".into()))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| format!("the steward cannot be started: {e}"))?;
    let out = child.stdout.take().ok_or("the steward has no standard output")?;
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).map_err(|e| format!("the steward says nothing: {e}"))?;
    let listening = serde_json::from_str::<Listening>(&line).map_err(|_| {
        let _ = child.kill();
        let _ = child.wait();
        "the steward ended at its start".to_owned()
    })?;
    let kill = Box::new(move || {
        let _ = child.kill();
        let _ = child.wait();
    });
    Ok(Launched { address: listening.listening, kill })
}
