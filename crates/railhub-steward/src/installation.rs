//! What a steward is told in its file: where the others are, what it may do, and its limits.
use crate::fleet::FleetTerms;
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};
use railhub_ini::{Diagnostic, Document, Section};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Largest number of streams unless the file says otherwise.
const STREAMS_MOST: usize = 10_000;

#[derive(Clone, Debug)]
pub struct Installation {
    pub listen: SocketAddr,
    pub roster: SocketAddr,
    /// Absent where operations are not cut into slices.
    pub store: Option<SocketAddr>,
    pub terms: ControllerConfig,
    pub class_names: Vec<String>,
    /// Lines of sums that the decisions are given in a second.
    pub reports_a_second: f64,
    pub probe_within: Seconds,
    pub probes_at_once: usize,
    /// A proxy that owes an acknowledgement for so long is cut off.
    pub stuck_after: Seconds,
    pub first_within: Seconds,
    pub silent_after: Seconds,
    pub streams_most: usize,
    /// Where the operations that sums tell of are written, if anywhere.
    pub traffic: Option<PathBuf>,
    /// Absent where this steward is alone.
    pub fleet: Option<FleetTerms>,
}

impl Installation {
    /// Whether stewards share the slices: they are leased from the store, and come and go.
    pub fn shares(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| fleet.share)
    }

    pub fn open(path: &Path) -> Result<Installation, Diagnostic> {
        Installation::read(&Document::open(path)?)
    }

    pub fn read(document: &Document) -> Result<Installation, Diagnostic> {
        let is_class = |name: &str| name.starts_with("class ");
        document.reject_unknown_sections(|name| {
            matches!(name, "steward" | "limits" | "fleet") || is_class(name)
        })?;
        let (mut classes, mut class_names) = (Vec::new(), Vec::new());
        for name in document.section_names().into_iter().filter(|name| is_class(name)) {
            let section = document.section(&name);
            classes.push(class_terms(&section)?);
            section.reject_unread_keys()?;
            class_names.push(name["class ".len()..].trim().to_owned());
        }
        let steward = document.section("steward");
        if classes.is_empty() || classes.len() > 64 {
            return Err(steward.diagnostic("", format!("has {} classes, 1 to 64 are needed", classes.len())));
        }
        let limits = document.section("limits");
        let installation = Installation {
            listen: steward.value_or("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?,
            roster: steward.required("roster")?,
            store: steward.text("store").map(|_| steward.required("store")).transpose()?,
            terms: terms(&steward, &limits, classes)?,
            class_names,
            reports_a_second: limits.in_range("reports_a_second", 800.0, 1.0, 1e6)?,
            probe_within: limits.in_range("probe_within", 0.4, 0.001, 60.0)?,
            probes_at_once: limits.in_range("probes_at_once", 64.0, 1.0, 10_000.0)? as usize,
            stuck_after: limits.in_range("stuck_after", 10.0, 0.1, 3600.0)?,
            first_within: limits.in_range("first_within", 5.0, 0.01, 3600.0)?,
            silent_after: limits.in_range("silent_after", 10.0, 0.1, 3600.0)?,
            traffic: steward.text("traffic").map(PathBuf::from),
            fleet: FleetTerms::read(document)?,
            streams_most: limits.in_range("streams_most", STREAMS_MOST as f64, 1.0, 65_535.0)? as usize,
        };
        if (installation.terms.slice_count > 0) != installation.store.is_some() {
            return Err(steward.diagnostic("store", "is needed where there are slices, and only there"));
        }
        if installation.shares() && installation.terms.slice_count == 0 {
            return Err(document
                .section("fleet")
                .diagnostic("share", "needs slices, and a store that leases them"));
        }
        steward.reject_unread_keys()?;
        limits.reject_unread_keys()?;
        Ok(installation)
    }
}

fn terms(
    steward: &Section,
    limits: &Section,
    classes: Vec<ClassConfig>,
) -> Result<ControllerConfig, Diagnostic> {
    Ok(ControllerConfig {
        classes,
        slice_count: steward.in_range("slices", 0.0, 0.0, 65_534.0)? as u16,
        single_owner: steward.flag("single_owner", false)?,
        write_lease: limits.in_range("write_lease", 10.0, 0.0, 3600.0)?,
        max_write_duration: limits.in_range("write_life", 10.0, 0.0, 3600.0)?,
        health_checks_allowed: steward.flag("probes", true)?,
        delisted_may_serve: !steward.flag("removal_binds", true)?,
        admission_by_fraction: steward.flag("levels", true)?,
        cold_capacity_fraction: limits.in_range("cold_from", 1.0, 0.0, 1.0)?,
        warm_up_time: limits.in_range("warm_within", 0.0, 0.0, 86_400.0)?,
        overload_multiple: limits.in_range("fall_multiple", 2.5, 0.1, 1000.0)?,
        backlog_limit: limits.in_range("backlog", 50_000.0, 1.0, 1e9)?,
        message_overhead: limits.in_range("message_cost", 8.0, 0.0, 1e6)?,
        message_quota: limits.in_range("message_cap", 20.0, 0.0, 1e6)? as u32,
        message_quota_window: limits.in_range("messages_span", 10.0, 0.1, 3600.0)?,
        first_attempt_timeout_multiple: limits.in_range("first_wait", 1.0, 0.0, 100.0)?,
    })
}

fn class_terms(section: &Section) -> Result<ClassConfig, Diagnostic> {
    Ok(ClassConfig {
        contract_time: section.required_in_range("contract_time", 0.0, 3600.0)?,
        priority_weight: section.in_range("gain", 1.0, 0.0, 1e9)?,
        idempotency: match section.choice(
            "repeats",
            "never",
            &[
                ("safe", Idempotency::Safe),
                ("keyed", Idempotency::IdempotencyKeyGlobal(0.0)),
                ("keyed nearby", Idempotency::IdempotencyKeyLocal),
                ("never", Idempotency::Never),
            ],
        )? {
            Idempotency::IdempotencyKeyGlobal(_) => {
                Idempotency::IdempotencyKeyGlobal(section.required_in_range("key_window", 0.0, 1e6)?)
            }
            repeat => repeat,
        },
    })
}

#[cfg(test)]
mod tests;
