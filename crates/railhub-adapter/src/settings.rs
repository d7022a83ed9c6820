//! Decodes the settings of a `CREATE` line that the controller uses.
use crate::error::WireError;
use crate::wire_line::WireLine;
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};

/// Maximum number of classes of an instance; further classes are ignored.
const MAX_CLASSES: usize = 255;

/// The names on the wire of the ids of an instance: an id is the index of its name.
pub struct WireNames {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones; an unknown name in a report is added.
    pub zones: Vec<String>,
    /// Names of the kinds of hosts; an unknown name in an endpoint list is added.
    pub kinds: Vec<String>,
    /// Index of the busy fraction of a host's cores in the statistics of load reports.
    pub cpu_utilization_index: Option<usize>,
}

/// Decodes the configuration of an instance and its names on the wire.
///
/// # Errors
/// A setting is missing or has an invalid value.
pub fn decode(line: &WireLine) -> Result<(ControllerConfig, WireNames), WireError> {
    let reports = line.optional("telemetry.names").unwrap_or_default();
    let cpu_utilization_index = reports.split(',').position(|name| name == "busy");
    let zones = line.text("zones")?.split(',').filter(|name| !name.is_empty());
    let zones = zones.map(str::to_owned).collect();
    let mut names = WireNames { classes: Vec::new(), zones, kinds: Vec::new(), cpu_utilization_index };
    let mut classes = Vec::new();
    for number in 0..line.value::<usize>("request_classes.count")?.min(MAX_CLASSES) {
        let field = |name: &str| format!("request_classes.{number}.{name}");
        names.classes.push(line.text(&field("name"))?.to_owned());
        classes.push(ClassConfig {
            contract_time: line.seconds(&field("aim_us"))?,
            priority_weight: line.non_negative(&field("worth"))?,
            idempotency: idempotency(line, &field)?,
        });
    }
    Ok((controller_config(line, classes)?, names))
}

fn idempotency(line: &WireLine, field: &impl Fn(&str) -> String) -> Result<Idempotency, WireError> {
    Ok(match line.text(&field("effect"))? {
        "repeatable" => Idempotency::Safe,
        "by_key" if line.text(&field("group"))? == "all" => {
            Idempotency::IdempotencyKeyGlobal(line.seconds(&field("key_ttl_us"))?)
        }
        "by_key" => Idempotency::IdempotencyKeyLocal,
        "once" => Idempotency::Never,
        other => return Err(line.invalid(&field("effect"), other)),
    })
}

fn controller_config(line: &WireLine, classes: Vec<ClassConfig>) -> Result<ControllerConfig, WireError> {
    let single_owner = line.flag("family_info.exclusive")?;
    Ok(ControllerConfig {
        classes,
        slice_count: line.value("family_info.key_ranges")?,
        single_owner,
        write_lease: single_owner_time(line, "family_info.write_lease_us", single_owner)?,
        max_write_duration: single_owner_time(line, "family_info.write_life_us", single_owner)?,
        proxy_count: 0,
        sole_controller: false,
        health_checks_allowed: line.flag("ceilings.probes")?,
        delisted_may_serve: optional_flag(line, "rules.removal_not_binding")?,
        admission_by_fraction: line.text("family_info.throttle_by")? == "share",
        cold_capacity_fraction: line.non_negative("rules.cold_from")?,
        warm_up_time: line.seconds("rules.warm_within_us")?,
        overload_multiple: line.non_negative("rules.fall_multiple")?,
        backlog_limit: line.non_negative("family_info.backlog")?,
        message_overhead: line.non_negative("family_info.envelope")?,
        message_quota: line.value("family_info.update_cap")?,
        message_quota_window: line.seconds("family_info.messages_over_us")?,
        first_attempt_timeout_multiple: line.non_negative("family_info.first_wait")?,
    })
}

/// Decodes a setting that only instances with single owners have; 0 for other instances.
fn single_owner_time(line: &WireLine, field: &str, single_owner: bool) -> Result<Seconds, WireError> {
    if single_owner {
        line.seconds(field)
    } else {
        Ok(0.0)
    }
}

fn optional_flag(line: &WireLine, field: &str) -> Result<bool, WireError> {
    match line.optional(field) {
        Some(_) => line.flag(field),
        None => Ok(false),
    }
}
