//! What a steward is told in its file: where the others are, what it may do, and its limits.
use crate::fleet::FleetTerms;
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};
use railhub_ini::{Complaint, Section, Sheet};
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

    pub fn open(path: &Path) -> Result<Installation, Complaint> {
        Installation::read(&Sheet::open(path)?)
    }

    pub fn read(sheet: &Sheet) -> Result<Installation, Complaint> {
        let is_class = |name: &str| name.starts_with("class ");
        sheet.only(|name| matches!(name, "steward" | "limits" | "fleet") || is_class(name))?;
        let (mut classes, mut class_names) = (Vec::new(), Vec::new());
        for name in sheet.sections().into_iter().filter(|name| is_class(name)) {
            let section = sheet.section(&name);
            classes.push(class_terms(&section)?);
            section.done()?;
            class_names.push(name["class ".len()..].trim().to_owned());
        }
        let steward = sheet.section("steward");
        if classes.is_empty() || classes.len() > 64 {
            return Err(steward.wrong("", format!("has {} classes, 1 to 64 are needed", classes.len())));
        }
        let limits = sheet.section("limits");
        let installation = Installation {
            listen: steward.or("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?,
            roster: steward.need("roster")?,
            store: steward.text("store").map(|_| steward.need("store")).transpose()?,
            terms: terms(&steward, &limits, classes)?,
            class_names,
            reports_a_second: limits.within("reports_a_second", 800.0, 1.0, 1e6)?,
            probe_within: limits.within("probe_within", 0.4, 0.001, 60.0)?,
            probes_at_once: limits.within("probes_at_once", 64.0, 1.0, 10_000.0)? as usize,
            stuck_after: limits.within("stuck_after", 10.0, 0.1, 3600.0)?,
            first_within: limits.within("first_within", 5.0, 0.01, 3600.0)?,
            silent_after: limits.within("silent_after", 10.0, 0.1, 3600.0)?,
            traffic: steward.text("traffic").map(PathBuf::from),
            fleet: FleetTerms::read(sheet)?,
            streams_most: limits.within("streams_most", STREAMS_MOST as f64, 1.0, 65_535.0)? as usize,
        };
        if (installation.terms.slice_count > 0) != installation.store.is_some() {
            return Err(steward.wrong("store", "is needed where there are slices, and only there"));
        }
        if installation.shares() && installation.terms.slice_count == 0 {
            return Err(sheet.section("fleet").wrong("share", "needs slices, and a store that leases them"));
        }
        steward.done()?;
        limits.done()?;
        Ok(installation)
    }
}

fn terms(
    steward: &Section,
    limits: &Section,
    classes: Vec<ClassConfig>,
) -> Result<ControllerConfig, Complaint> {
    Ok(ControllerConfig {
        classes,
        slice_count: steward.within("slices", 0.0, 0.0, 65_534.0)? as u16,
        single_owner: steward.flag("single_owner", false)?,
        write_lease: limits.within("write_lease", 10.0, 0.0, 3600.0)?,
        max_write_duration: limits.within("write_life", 10.0, 0.0, 3600.0)?,
        health_checks_allowed: steward.flag("probes", true)?,
        delisted_may_serve: !steward.flag("removal_binds", true)?,
        admission_by_fraction: steward.flag("levels", true)?,
        cold_capacity_fraction: limits.within("cold_from", 1.0, 0.0, 1.0)?,
        warm_up_time: limits.within("warm_within", 0.0, 0.0, 86_400.0)?,
        overload_multiple: limits.within("fall_multiple", 2.5, 0.1, 1000.0)?,
        backlog_limit: limits.within("backlog", 50_000.0, 1.0, 1e9)?,
        message_overhead: limits.within("message_cost", 8.0, 0.0, 1e6)?,
        message_quota: limits.within("message_cap", 20.0, 0.0, 1e6)? as u32,
        message_quota_window: limits.within("messages_span", 10.0, 0.1, 3600.0)?,
        first_attempt_timeout_multiple: limits.within("first_wait", 1.0, 0.0, 100.0)?,
    })
}

fn class_terms(section: &Section) -> Result<ClassConfig, Complaint> {
    Ok(ClassConfig {
        contract_time: section.need_within("contract_time", 0.0, 3600.0)?,
        priority_weight: section.within("gain", 1.0, 0.0, 1e9)?,
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
                Idempotency::IdempotencyKeyGlobal(section.need_within("key_window", 0.0, 1e6)?)
            }
            repeat => repeat,
        },
    })
}

#[cfg(test)]
mod tests;
