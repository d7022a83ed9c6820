//! The chaos file: the sizes of a run, its faults or how many are drawn, and which property is judged.
use crate::fault::{section, Fault, FaultKind, MAX_DRAWN_CONTROLLERS};
use railhub_ini::{Diagnostic, Document, Section};
use std::path::Path;

/// Maximum number of controllers in a run whose faults are listed.
const MAX_CONTROLLERS: u16 = 256;

/// Prefix of the name of a section that defines one fault.
const FAULT_SECTION_PREFIX: &str = "fault ";

/// A chaos file.
#[derive(Clone, Debug, PartialEq)]
pub struct ChaosConfig {
    /// Name of the configuration in reports.
    pub name: String,
    /// Number of controllers in the cluster.
    pub controllers: u16,
    /// Number of slices that the controllers divide among themselves.
    pub slices: u16,
    /// Number of proxies that receive commands from the controllers.
    pub proxies: u16,
    /// Duration of a run in seconds.
    pub length: f64,
    /// Duration of a lease in seconds.
    pub lease_duration: f64,
    /// Maximum number of faults drawn for a run.
    pub max_faults: usize,
    /// Probability that a message between controllers is lost while no fault affects the links.
    pub base_loss: f64,
    /// The property that the judge checks.
    pub judged: JudgedProperty,
    /// Faults that the file lists, ordered by time. If there are any, none are drawn.
    pub listed_faults: Vec<Fault>,
    /// Controllers that do not run at the start: a listed `join` fault starts each of them.
    pub late_joiners: Vec<u16>,
}

/// The property that the runs of a chaos file are judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JudgedProperty {
    /// Which process commands which slice, in simulated time or on real processes.
    Leases,
    /// The membership views of controllers, in simulated time or on real processes.
    View,
}

impl ChaosConfig {
    /// Reads a chaos file.
    ///
    /// # Errors
    /// Returns the first error in the file, with its line.
    pub fn open(path: &Path) -> Result<ChaosConfig, Diagnostic> {
        ChaosConfig::read(&Document::open(path)?)
    }

    /// Reads a parsed chaos file.
    ///
    /// # Errors
    /// Returns the first error in the document, with its line.
    pub fn read(document: &Document) -> Result<ChaosConfig, Diagnostic> {
        let is_fault = |name: &str| name.starts_with(FAULT_SECTION_PREFIX);
        document.reject_unknown_sections(|name| name == "chaos" || is_fault(name))?;
        let main_section = document.section("chaos");
        let mut config = read_main_section(&main_section)?;
        main_section.reject_unread_keys()?;
        for name in document.section_names().iter().filter(|name| is_fault(name)) {
            let fault_section = document.section(name);
            let fault = section::read_fault(&fault_section, config.controllers)?;
            fault_section.reject_unread_keys()?;
            if let FaultKind::Join { controller } = fault.kind {
                config.late_joiners.push(controller);
            }
            config.listed_faults.push(fault);
        }
        let draws_faults = config.listed_faults.is_empty() && config.max_faults > 0;
        if config.controllers > MAX_DRAWN_CONTROLLERS && draws_faults {
            let message = format!(
                "must be at most {MAX_DRAWN_CONTROLLERS} where faults are drawn, got {}",
                config.controllers
            );
            return Err(main_section.diagnostic("stewards", message));
        }
        config.listed_faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(config)
    }
}

fn read_main_section(section: &Section) -> Result<ChaosConfig, Diagnostic> {
    let properties = [("leases", JudgedProperty::Leases), ("view", JudgedProperty::View)];
    Ok(ChaosConfig {
        name: section.value_or("name", "unnamed".to_owned())?,
        controllers: section.in_range("stewards", 3.0, 1.0, f64::from(MAX_CONTROLLERS))? as u16,
        slices: section.in_range("slices", 48.0, 1.0, 10_000.0)? as u16,
        proxies: section.in_range("proxies", 6.0, 1.0, 1000.0)? as u16,
        length: section.in_range("length", 60.0, 20.0, 3600.0)?,
        lease_duration: section.in_range("span", 3.0, 0.5, 60.0)?,
        max_faults: section.in_range("faults_most", 5.0, 0.0, 100.0)? as usize,
        base_loss: section.in_range("lost", 0.01, 0.0, 0.5)?,
        judged: section.choice("judge", "leases", &properties)?,
        listed_faults: Vec::new(),
        late_joiners: Vec::new(),
    })
}
