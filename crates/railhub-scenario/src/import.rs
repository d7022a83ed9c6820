//! Converts a scenario that was drawn for the users' bench (JSON) into a scenario file: with fewer hosts, and the same
//! kinds of faults in the same order at the same times. Descriptions of what cannot be converted are returned.
mod cluster;
mod faults;
mod load;
mod scale;
mod source;

use crate::scenario::Scenario;
use railhub_ini::{Diagnostic, Document};
use scale::Scale;
use source::{seconds, SourceScenario, Tier};
use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};

/// Maximum number of hosts at the start if the caller gives no number; one machine runs as many with ease.
const DEFAULT_MAX_HOSTS: usize = 24;

/// Why a scenario was not imported.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The source cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The source is not a scenario of the bench.
    #[error("{}:{}: {source}", path.display(), source.line())]
    Json {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The source has no hosts or no zones.
    #[error("{}:1: needs at least one tier of hosts and one zone", path.display())]
    NoHosts {
        /// The file.
        path: PathBuf,
    },
    /// The file that would be written cannot be parsed.
    #[error(transparent)]
    Syntax(Diagnostic),
    /// The file that would be written is not a valid scenario.
    #[error("the scenario converted from {} is invalid: {diagnostic}", path.display())]
    Invalid {
        /// The source file.
        path: PathBuf,
        /// The first error in the result.
        diagnostic: Diagnostic,
    },
    /// The result cannot be written.
    #[error("{}: cannot be written: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
}

/// Converts the file `from` into the file `to` and returns one line for each feature that was not converted. `hosts` is
/// the number of hosts at the start; by default that of the source, up to 24.
///
/// # Errors
/// The source cannot be read or converted into a valid scenario, or the result cannot be written.
pub fn import(from: &Path, to: &Path, hosts: Option<usize>) -> Result<Vec<String>, ImportError> {
    let path = from.to_owned();
    let text =
        std::fs::read_to_string(from).map_err(|source| ImportError::Read { path: path.clone(), source })?;
    let source: SourceScenario =
        serde_json::from_str(&text).map_err(|source| ImportError::Json { path: path.clone(), source })?;
    let (Some(tier), true) = (source.tiers.first(), !source.zones.is_empty()) else {
        return Err(ImportError::NoHosts { path });
    };
    let (scenario_text, left_out) = translate(&source, tier, hosts);
    let document = Document::parse(&to.display().to_string(), &scenario_text).map_err(ImportError::Syntax)?;
    Scenario::read(&document).map_err(|diagnostic| ImportError::Invalid { path, diagnostic })?;
    std::fs::write(to, scenario_text).map_err(|source| ImportError::Write { path: to.to_owned(), source })?;
    Ok(left_out)
}

/// The text of the scenario file, and descriptions of what was left out.
fn translate(source: &SourceScenario, tier: &Tier, hosts: Option<usize>) -> (String, Vec<String>) {
    let hosts_up = source.servers.iter().filter(|server| server.up).count().max(1);
    let host_count = hosts.unwrap_or(hosts_up.min(DEFAULT_MAX_HOSTS)).max(1);
    let scale = Scale { ratio: host_count as f64 / hosts_up as f64, hosts: host_count };
    let mut left_out = features_left_out(source, tier, hosts_up);
    let mut out = String::new();
    cluster::write_header(&mut out, source);
    cluster::write_fleet(&mut out, source, tier, &scale);
    cluster::write_host_kinds(&mut out, source, tier);
    load::write_load(&mut out, source);
    load::write_classes(&mut out, source);
    load::write_clients(&mut out, source);
    cluster::write_control(&mut out, source, &scale);
    cluster::write_rules(&mut out, source, tier, &scale);
    for (index, fault) in source.faults.iter().enumerate() {
        let number = index + 1;
        let Some(keys) = faults::fault_keys(fault, source, &scale, &mut left_out) else {
            left_out.push(format!(
                "fault {number} '{}' {}: this kind is not supported",
                fault.kind, fault.variant
            ));
            continue;
        };
        let (at, duration) = (seconds(fault.at), seconds(fault.duration));
        let _ = write!(out, "\n[trouble {number}]\nat = {at:.3}\nfor = {duration:.3}\n{keys}");
    }
    (out, left_out)
}

/// Features of the source that scenario files do not support.
fn features_left_out(source: &SourceScenario, tier: &Tier, hosts_up: usize) -> Vec<String> {
    let control = &source.control;
    let reports_utilization = tier.reports_utilization();
    let features = [
        (control.controllers.len() > 1, "more than one controller: a single one owns all slices"),
        (control.exclusive, "single ownership of slices"),
        (control.tide > 0.0, "demand that moves from some slices to others over time"),
        (source.discovery.polled, "an endpoint list that is polled"),
        (source.traffic.burst_cv > 0.0, "bursts"),
        (source.clients.impatient > 0.0, "clients that give up at any time"),
        (!reports_utilization, "load reports without utilization"),
        (tier.kinds.iter().any(|kind| kind.thrash > 0.0), "hosts that slow down when they are overloaded"),
        (tier.kinds.iter().any(|kind| kind.error_rate > 0.0), "random errors of hosts"),
        (true, "latency between zones, prices, the work of handshakes, noise in load reports"),
    ];
    let mut left_out =
        vec![format!("{hosts_up} hosts at the start: sizes are scaled, see the scenario file")];
    left_out.extend(features.iter().filter(|(present, _)| *present).map(|(_, name)| (*name).to_owned()));
    left_out
}
