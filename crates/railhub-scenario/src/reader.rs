//! Reads a scenario file (INI) and validates it. The section and key names are mapped to the types here and nowhere
//! else.
mod cluster;
mod faults;
mod load;
#[cfg(test)]
mod tests;
mod traffic;

use crate::fault::ScheduledFault;
use crate::scenario::{HostKind, OperationClass, Scenario};
use railhub_emulator::client::ClientConfig;
use railhub_emulator::routing::BalancingPolicy;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_membership::lease_store::StoreFaults;
use railhub_record::Limits;
use std::path::Path;

/// Maximum number of controllers of a scenario; each one is a process.
const MAX_CONTROLLERS: f64 = 15.0;
/// Name of the only zone of a scenario whose file names none.
const DEFAULT_ZONE: &str = "here";
/// Names of the sections that occur at most once.
const SINGLE_SECTIONS: [&str; 9] =
    ["day", "fleet", "stewards", "load", "clients", "roster", "reports", "channel", "rules"];

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// The file cannot be read, or a value in it is missing, unknown or out of range.
    pub fn open(path: &Path) -> Result<Scenario, Diagnostic> {
        Scenario::read_in_folder(&Document::open(path)?, path.parent().unwrap_or(Path::new(".")))
    }

    /// Reads a document. Paths in it are relative to the working directory.
    ///
    /// # Errors
    /// As [`Scenario::open`].
    pub fn read(document: &Document) -> Result<Scenario, Diagnostic> {
        Scenario::read_in_folder(document, Path::new("."))
    }

    /// Reads a document. Paths in it are relative to `folder`.
    ///
    /// # Errors
    /// As [`Scenario::open`].
    pub fn read_in_folder(document: &Document, folder: &Path) -> Result<Scenario, Diagnostic> {
        reject_unknown_sections(document)?;
        let classes = read_classes(document)?;
        let host_kinds = read_host_kinds(document)?;
        let sections = Sections::new(document);
        if classes.is_empty() || host_kinds.is_empty() {
            return Err(sections
                .general
                .diagnostic("", "needs at least one [class NAME] and one [kind NAME]"));
        }
        let scenario = sections.scenario(folder, classes, host_kinds)?;
        if scenario.controllers > 1 && scenario.slices == 0 {
            return Err(sections.controllers.diagnostic(
                "count",
                "is more than 1, but [fleet] slices is 0: several controllers need slices to share",
            ));
        }
        let faults = read_faults(document, &scenario)?;
        sections.reject_unread_keys()?;
        Ok(Scenario { faults, ..scenario })
    }
}

fn reject_unknown_sections(document: &Document) -> Result<(), Diagnostic> {
    let prefixes = [cluster::CLASS_PREFIX, cluster::KIND_PREFIX, faults::FAULT_PREFIX];
    document.reject_unknown_sections(|name| {
        SINGLE_SECTIONS.contains(&name) || prefixes.iter().any(|prefix| name.starts_with(prefix))
    })
}

fn sections_with_prefix<'a>(document: &'a Document, prefix: &str) -> Vec<Section<'a>> {
    let names = document.section_names();
    let matching = names.iter().filter(|name| name.starts_with(prefix));
    matching.map(|name| document.section(name)).collect()
}

fn read_classes(document: &Document) -> Result<Vec<OperationClass>, Diagnostic> {
    sections_with_prefix(document, cluster::CLASS_PREFIX).iter().map(cluster::operation_class).collect()
}

fn read_host_kinds(document: &Document) -> Result<Vec<HostKind>, Diagnostic> {
    sections_with_prefix(document, cluster::KIND_PREFIX).iter().map(cluster::host_kind).collect()
}

fn read_faults(document: &Document, scenario: &Scenario) -> Result<Vec<ScheduledFault>, Diagnostic> {
    let sections = sections_with_prefix(document, faults::FAULT_PREFIX);
    sections.iter().map(|section| faults::scheduled_fault(section, scenario)).collect()
}

/// The sections that occur at most once.
struct Sections<'a> {
    /// `[day]`: name, seed and length of the run.
    general: Section<'a>,
    /// `[fleet]`: zones, slices, hosts and proxies.
    fleet: Section<'a>,
    /// `[stewards]`: number of controllers, and their leases.
    controllers: Section<'a>,
    /// `[load]`: operations and keys.
    load: Section<'a>,
    /// `[clients]`: timeouts and retries of clients.
    clients: Section<'a>,
    /// `[roster]`: delays of the endpoint list.
    endpoint_list: Section<'a>,
    /// `[reports]`: interval, delay and maximum rate of load reports.
    reports: Section<'a>,
    /// `[channel]`: rate of the updates to proxies, and the delay before proxies reconnect.
    channel: Section<'a>,
    /// `[rules]`: limits that the invariants check, and timeouts of operations.
    rules: Section<'a>,
}

impl<'a> Sections<'a> {
    fn new(document: &'a Document) -> Sections<'a> {
        Sections {
            general: document.section("day"),
            fleet: document.section("fleet"),
            controllers: document.section("stewards"),
            load: document.section("load"),
            clients: document.section("clients"),
            endpoint_list: document.section("roster"),
            reports: document.section("reports"),
            channel: document.section("channel"),
            rules: document.section("rules"),
        }
    }

    fn reject_unread_keys(self) -> Result<(), Diagnostic> {
        let Sections { general, fleet, controllers, load, clients, endpoint_list, reports, channel, rules } =
            self;
        for section in [general, fleet, controllers, load, clients, endpoint_list, reports, channel, rules] {
            section.reject_unread_keys()?;
        }
        Ok(())
    }

    fn zones(&self) -> Vec<String> {
        match self.fleet.list("zones") {
            names if names.is_empty() => vec![DEFAULT_ZONE.to_owned()],
            names => names,
        }
    }

    /// The scenario without its faults, which are validated against it later.
    fn scenario(
        &self,
        folder: &Path,
        classes: Vec<OperationClass>,
        host_kinds: Vec<HostKind>,
    ) -> Result<Scenario, Diagnostic> {
        let Sections { general, fleet, controllers, load, endpoint_list, reports, channel, rules, .. } = self;
        let zones = self.zones();
        let slices = fleet.in_range("slices", 0.0, 0.0, 60_000.0)? as u32;
        let replay = traffic::recorded_traffic(load, folder, &zones, &classes)?;
        Ok(Scenario {
            name: general.value_or("name", "unnamed".to_owned())?,
            seed: general.value_or("seed", 1)?,
            length: general.required_in_range("length", 1.0, 3600.0)?,
            zone_shares: load::zone_shares(load, &zones)?,
            hosts: fleet.required_in_range("hosts", 1.0, 2000.0)? as usize,
            max_connections: fleet.in_range("connections", 2000.0, 1.0, 60_000.0)? as usize,
            health_check_work: fleet.in_range("probe_work", 0.002, 0.0, 10.0)?,
            utilization_interval: fleet.in_range("busy_every", 0.0, 0.0, 60.0)?,
            affinity_gain: fleet.in_range("kept_gain", 0.0, 0.0, 0.95)?,
            affinity_duration: fleet.in_range("kept_for", 10.0, 0.0, 3600.0)?,
            proxies: fleet.required_in_range("proxies", 1.0, 5000.0)? as usize,
            balancing_policy: fleet.choice(
                "pick",
                "two",
                &[("two", BalancingPolicy::LeastOutstandingOfTwo), ("weighted", BalancingPolicy::Weighted)],
            )?,
            slice_size_cv: fleet.in_range("slice_spread", 0.6, 0.0, 5.0)?,
            load: if replay.is_some() { 0.0 } else { load.required_in_range("share", 0.01, 3.0)? },
            replay,
            load_shape: load::load_shape(load)?,
            keys_per_slice: load.in_range("keys", 2000.0, 1.0, 1e6)? as usize,
            clients: self.clients()?,
            list_add_delay: endpoint_list.in_range("add", 1.0, 0.0, 60.0)?,
            list_removal_delay: endpoint_list.in_range("notice", 2.0, 0.0, 60.0)?,
            report_interval: reports.in_range("every", 1.0, 0.05, 60.0)?,
            report_delay: reports.in_range("late", 0.5, 0.0, 60.0)?,
            reports_per_second: reports.in_range("a_second", 800.0, 1.0, 1e6)?,
            update_lines_per_second: channel.in_range("lines_a_second", 40_000.0, 10.0, 1e9)?,
            max_reconnect_delay: channel.in_range("redial", 1.0, 0.0, 60.0)?,
            connect_timeout: fleet.in_range("connect_within", 0.25, 0.01, 60.0)?,
            no_host_timeout: rules.in_range("hold", 0.2, 0.0, 60.0)?,
            first_attempt_timeout_fraction: rules.in_range("first_wait", 1.0, 0.0, 100.0)?,
            limits: self.limits(&zones, &classes, slices)?,
            faults: Vec::new(),
            controllers: controllers.in_range("count", 1.0, 1.0, MAX_CONTROLLERS)? as usize,
            lease_duration: controllers.in_range("lease", 3.0, 0.5, 60.0)?,
            // No key of a scenario file sets the next three; the lease scenarios of `railhub-chaos` do.
            clocks: Vec::new(),
            store_faults: StoreFaults::default(),
            disabled_safeguard: None,
            zones,
            host_kinds,
            slices,
            classes,
        })
    }

    fn clients(&self) -> Result<ClientConfig, Diagnostic> {
        Ok(ClientConfig {
            max_retries: self.clients.in_range("retries", 1.0, 0.0, 10.0)? as u32,
            request_timeout_fraction: self.clients.in_range("try_share", 0.7, 0.01, 1.0)?,
            retry_backoff: self.clients.in_range("pause", 0.1, 0.0, 60.0)?,
        })
    }

    fn limits(
        &self,
        zones: &[String],
        classes: &[OperationClass],
        slices: u32,
    ) -> Result<Limits, Diagnostic> {
        Ok(Limits {
            zones: zones.to_vec(),
            proxies: self.fleet.value_or("proxies", 1)?,
            ..cluster::limits(&self.rules, classes, slices)?
        })
    }
}
