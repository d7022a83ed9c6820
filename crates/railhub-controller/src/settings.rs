//! The settings of a controller, read from its INI file: addresses of its peers, options of the decision engine,
//! limits.
use crate::membership::settings::MembershipSettings;
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};
use railhub_ini::{Diagnostic, Document, Section};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Default for the number of streams open at once.
const DEFAULT_MAX_STREAMS: usize = 10_000;
/// Maximum number of classes in a file.
const MAX_CLASSES: usize = 64;
/// Prefix of the section name of a class.
const CLASS_PREFIX: &str = "class ";

/// The settings that a controller starts with.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Address on which proxies connect.
    pub listen: SocketAddr,
    /// Address of the endpoint list server.
    pub endpoint_list: SocketAddr,
    /// Address of the store; absent in a configuration without slices.
    pub store: Option<SocketAddr>,
    /// Configuration of the decision engine.
    pub config: ControllerConfig,
    /// Names of the classes, indexed by class number.
    pub class_names: Vec<String>,
    /// Totals of load reports passed to the decision engine per second.
    pub max_reports_per_second: f64,
    /// Seconds that a health check may take.
    pub health_check_timeout: Seconds,
    /// Health checks run at once.
    pub max_concurrent_health_checks: usize,
    /// Seconds that a proxy may leave a delta without a response.
    pub response_timeout: Seconds,
    /// Seconds within which the subscription of a new stream must arrive.
    pub subscribe_timeout: Seconds,
    /// Seconds within which each further message of a stream must arrive.
    pub idle_timeout: Seconds,
    /// Streams open at once.
    pub max_streams: usize,
    /// File in which the operations of load reports are recorded, if any.
    pub traffic: Option<PathBuf>,
    /// Settings of the membership; absent if the controller runs alone.
    pub membership: Option<MembershipSettings>,
}

impl ControllerSettings {
    /// Whether controllers share the slices, by leases that the store grants.
    pub fn shares_slices(&self) -> bool {
        self.membership.as_ref().is_some_and(|settings| settings.share)
    }

    /// Reads the settings from a file.
    ///
    /// # Errors
    /// The file cannot be read or is not a valid settings file; the error names the line.
    pub fn open(path: &Path) -> Result<ControllerSettings, Diagnostic> {
        ControllerSettings::read(&Document::open(path)?)
    }

    /// Reads the settings from a parsed document.
    ///
    /// # Errors
    /// A section or key is missing, unknown or has an invalid value; the error names its line.
    pub fn read(document: &Document) -> Result<ControllerSettings, Diagnostic> {
        let is_class = |name: &str| name.starts_with(CLASS_PREFIX);
        document.reject_unknown_sections(|name| {
            matches!(name, "steward" | "limits" | "fleet") || is_class(name)
        })?;
        let (mut classes, mut class_names) = (Vec::new(), Vec::new());
        for name in document.section_names().into_iter().filter(|name| is_class(name)) {
            let section = document.section(&name);
            classes.push(class_config(&section)?);
            section.reject_unread_keys()?;
            class_names.push(name[CLASS_PREFIX.len()..].trim().to_owned());
        }
        let (controller, limits) = (document.section("steward"), document.section("limits"));
        if classes.is_empty() || classes.len() > MAX_CLASSES {
            return Err(controller
                .diagnostic("", format!("has {} classes, 1 to {MAX_CLASSES} are needed", classes.len())));
        }
        let settings = ControllerSettings {
            listen: controller.value_or("listen", SocketAddr::from(([127, 0, 0, 1], 0)))?,
            endpoint_list: controller.required("roster")?,
            store: controller.text("store").map(|_| controller.required("store")).transpose()?,
            config: controller_config(&controller, &limits, classes)?,
            class_names,
            max_reports_per_second: limits.in_range("reports_a_second", 800.0, 1.0, 1e6)?,
            health_check_timeout: limits.in_range("probe_within", 0.4, 0.001, 60.0)?,
            max_concurrent_health_checks: limits.in_range("probes_at_once", 64.0, 1.0, 10_000.0)? as usize,
            response_timeout: limits.in_range("stuck_after", 10.0, 0.1, 3600.0)?,
            subscribe_timeout: limits.in_range("first_within", 5.0, 0.01, 3600.0)?,
            idle_timeout: limits.in_range("silent_after", 10.0, 0.1, 3600.0)?,
            traffic: controller.text("traffic").map(PathBuf::from),
            membership: MembershipSettings::read(document)?,
            max_streams: limits.in_range("streams_most", DEFAULT_MAX_STREAMS as f64, 1.0, 65_535.0)? as usize,
        };
        settings.check_store(document)?;
        controller.reject_unread_keys()?;
        limits.reject_unread_keys()?;
        Ok(settings)
    }

    /// Checks that slices and a store are configured together, and that only slices are shared.
    fn check_store(&self, document: &Document) -> Result<(), Diagnostic> {
        let has_slices = self.config.slice_count > 0;
        if has_slices != self.store.is_some() {
            let controller = document.section("steward");
            return Err(controller
                .diagnostic("store", "is required with slices over 0, and not allowed without slices"));
        }
        if self.shares_slices() && !has_slices {
            return Err(document
                .section("fleet")
                .diagnostic("share", "requires slices over 0 and a store that grants leases"));
        }
        Ok(())
    }
}

fn controller_config(
    controller: &Section,
    limits: &Section,
    classes: Vec<ClassConfig>,
) -> Result<ControllerConfig, Diagnostic> {
    Ok(ControllerConfig {
        classes,
        slice_count: controller.in_range("slices", 0.0, 0.0, 65_534.0)? as u16,
        single_owner: controller.flag("single_owner", false)?,
        write_lease: limits.in_range("write_lease", 10.0, 0.0, 3600.0)?,
        max_write_duration: limits.in_range("write_life", 10.0, 0.0, 3600.0)?,
        proxy_count: 0,
        sole_controller: false,
        health_checks_allowed: controller.flag("probes", true)?,
        delisted_may_serve: !controller.flag("removal_binds", true)?,
        admission_by_fraction: controller.flag("levels", true)?,
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

fn class_config(section: &Section) -> Result<ClassConfig, Diagnostic> {
    Ok(ClassConfig {
        contract_time: section.required_in_range("contract_time", 0.0, 3600.0)?,
        priority_weight: section.in_range("gain", 1.0, 0.0, 1e9)?,
        idempotency: idempotency(section)?,
    })
}

fn idempotency(section: &Section) -> Result<Idempotency, Diagnostic> {
    let kinds = [
        ("safe", Idempotency::Safe),
        ("keyed", Idempotency::IdempotencyKeyGlobal(0.0)),
        ("keyed nearby", Idempotency::IdempotencyKeyLocal),
        ("never", Idempotency::Never),
    ];
    Ok(match section.choice("repeats", "never", &kinds)? {
        Idempotency::IdempotencyKeyGlobal(_) => {
            Idempotency::IdempotencyKeyGlobal(section.required_in_range("key_window", 0.0, 1e6)?)
        }
        kind => kind,
    })
}

#[cfg(test)]
mod tests;
