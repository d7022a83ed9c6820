//! The configuration file: one JSON object, read at the start and again on SIGHUP.
use super::discovery::PageMessage;
use crate::config::{ConfigError, Names, NodeConfig, MAX_CLASSES, MAX_DURATION};
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    registry: RegistrySection,
    limits: LimitsSection,
    #[serde(default)]
    known: PageMessage,
    settings: SettingsSection,
}

#[derive(Deserialize)]
struct RegistrySection {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct LimitsSection {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct SettingsSection {
    /// Number of controllers that share the store.
    #[serde(default)]
    balancers: Option<u32>,
    ceilings: CeilingsSection,
    family_info: FamilySection,
    host_types: Vec<String>,
    request_classes: Vec<ClassSection>,
    rules: RulesSection,
    tick_us: u64,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct CeilingsSection {
    probes: bool,
}

#[derive(Deserialize)]
struct FamilySection {
    backlog: f64,
    /// Number of proxies.
    #[serde(default)]
    data_plane_size: u32,
    envelope: f64,
    exclusive: bool,
    first_wait: f64,
    key_ranges: u16,
    messages_over_us: u64,
    throttle_by: String,
    update_cap: u32,
    /// Required, like `write_life_us`, if `exclusive` is true.
    #[serde(default)]
    write_lease_us: Option<u64>,
    #[serde(default)]
    write_life_us: Option<u64>,
}

#[derive(Deserialize)]
struct ClassSection {
    aim_us: u64,
    effect: String,
    #[serde(default)]
    group: String,
    hard_limit_us: u64,
    #[serde(default)]
    key_ttl_us: u64,
    name: String,
    worth: f64,
}

#[derive(Deserialize)]
struct RulesSection {
    cold_from: f64,
    fall_multiple: f64,
    #[serde(default)]
    removal_not_binding: bool,
    warm_within_us: u64,
}

impl NodeConfig {
    /// Parses and validates a configuration file.
    ///
    /// # Errors
    /// The path of the first invalid field and why it is invalid. An invalid entry of the known endpoint list is not an
    /// error: it is left out and recorded in [`crate::EndpointPage::invalid`].
    pub fn parse(text: &str) -> Result<NodeConfig, ConfigError> {
        let file = decode(text)?;
        let classes = class_configs(&file.settings.request_classes)?;
        let controller = controller_config(&file.settings, classes)?;
        let names = names(&file.settings)?;
        Ok(NodeConfig {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            relay: file.registry.address,
            descriptor_limit: file.limits.sockets,
            memory_limit_mb: non_negative(file.limits.memory_mb, "limits.memory_mb")? as usize,
            min_batch_interval: duration(file.settings.tick_us, "settings.tick_us")?,
            known_endpoints: file.known.convert(&names),
            controller,
            names,
        })
    }
}

fn decode(text: &str) -> Result<ConfigFile, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file = serde_path_to_error::deserialize(&mut json).map_err(|error| ConfigError::Json {
        field_path: error.path().to_string(),
        error: error.into_inner(),
    })?;
    json.end().map_err(|error| ConfigError::Json { field_path: "end of file".to_owned(), error })?;
    Ok(file)
}

fn class_configs(classes: &[ClassSection]) -> Result<Vec<ClassConfig>, ConfigError> {
    let count = classes.len();
    if !(1..=MAX_CLASSES).contains(&count) {
        return Err(ConfigError::ClassCount { field_path: "settings.request_classes".to_owned(), count });
    }
    classes.iter().enumerate().map(|(index, class)| class_config(index, class)).collect()
}

fn class_config(index: usize, class: &ClassSection) -> Result<ClassConfig, ConfigError> {
    let field_path = |field: &str| format!("settings.request_classes[{index}].{field}");
    Ok(ClassConfig {
        contract_time: duration(class.aim_us, &field_path("aim_us"))?,
        priority_weight: non_negative(class.worth, &field_path("worth"))?,
        idempotency: match (class.effect.as_str(), class.group.as_str()) {
            ("repeatable", _) => Idempotency::Safe,
            ("by_key", "all") => {
                Idempotency::IdempotencyKeyGlobal(duration(class.key_ttl_us, &field_path("key_ttl_us"))?)
            }
            ("by_key", _) => Idempotency::IdempotencyKeyLocal,
            ("once", _) => Idempotency::Never,
            (other, _) => {
                return Err(ConfigError::UnknownValue {
                    field_path: field_path("effect"),
                    value: other.to_owned(),
                    expected: "repeatable, by_key or once",
                })
            }
        },
    })
}

fn controller_config(
    settings: &SettingsSection,
    classes: Vec<ClassConfig>,
) -> Result<ControllerConfig, ConfigError> {
    let SettingsSection { ceilings, family_info: family, rules, .. } = settings;
    Ok(ControllerConfig {
        classes,
        slice_count: family.key_ranges,
        single_owner: family.exclusive,
        write_lease: single_owner_duration(
            family,
            family.write_lease_us,
            "settings.family_info.write_lease_us",
        )?,
        max_write_duration: single_owner_duration(
            family,
            family.write_life_us,
            "settings.family_info.write_life_us",
        )?,
        proxy_count: family.data_plane_size,
        sole_controller: settings.balancers == Some(1),
        health_checks_allowed: ceilings.probes,
        delisted_may_serve: rules.removal_not_binding,
        admission_by_fraction: family.throttle_by == "share",
        cold_capacity_fraction: non_negative(rules.cold_from, "settings.rules.cold_from")?,
        warm_up_time: duration(rules.warm_within_us, "settings.rules.warm_within_us")?,
        overload_multiple: non_negative(rules.fall_multiple, "settings.rules.fall_multiple")?,
        backlog_limit: non_negative(family.backlog, "settings.family_info.backlog")?,
        message_overhead: non_negative(family.envelope, "settings.family_info.envelope")?,
        message_quota: family.update_cap,
        message_quota_window: duration(family.messages_over_us, "settings.family_info.messages_over_us")?,
        first_attempt_timeout_multiple: non_negative(family.first_wait, "settings.family_info.first_wait")?,
    })
}

/// A duration that limits a single owner's writes, required if slices have a single owner: with 0 in place of a missing
/// one, two hosts could accept one owner's writes.
fn single_owner_duration(
    family: &FamilySection,
    micros: Option<u64>,
    field_path: &str,
) -> Result<Seconds, ConfigError> {
    match micros {
        Some(micros) => duration(micros, field_path),
        None if family.exclusive => {
            Err(ConfigError::MissingSingleOwnerDuration { field_path: field_path.to_owned() })
        }
        None => Ok(0.0),
    }
}

fn names(settings: &SettingsSection) -> Result<Names, ConfigError> {
    let timeouts = settings.request_classes.iter().map(|class| class.hard_limit_us);
    let max_client_timeout = timeouts.max().unwrap_or_default();
    Ok(Names {
        classes: settings.request_classes.iter().map(|class| class.name.clone()).collect(),
        zones: settings.zones.clone(),
        kinds: settings.host_types.clone(),
        max_client_timeout: duration(max_client_timeout, "settings.request_classes")?,
    })
}

/// Converts microseconds of the file to seconds.
fn duration(micros: u64, field_path: &str) -> Result<Seconds, ConfigError> {
    let duration = micros as f64 / 1e6;
    if duration <= MAX_DURATION {
        Ok(duration)
    } else {
        Err(ConfigError::DurationTooLong { field_path: field_path.to_owned(), duration })
    }
}

/// Returns the number if it is finite and at least 0.
fn non_negative(number: f64, field_path: &str) -> Result<f64, ConfigError> {
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(ConfigError::InvalidNumber { field_path: field_path.to_owned() })
    }
}
