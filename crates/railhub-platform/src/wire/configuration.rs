//! The configuration file: one JSON object, read at the start and again after SIGHUP.
use super::discovery::PageMessage;
use crate::config::{ConfigError, Names, NodeConfig, MAX_CLASSES, MAX_DURATION};
use railhub::{ClassConfig, ControllerConfig, Idempotency, Seconds};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct ConfigMessage {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    registry: RegistryMessage,
    limits: LimitsMessage,
    #[serde(default)]
    known: PageMessage,
    settings: SettingsMessage,
}

#[derive(Deserialize)]
struct RegistryMessage {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct LimitsMessage {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct SettingsMessage {
    ceilings: CeilingsMessage,
    family_info: FamilyMessage,
    host_types: Vec<String>,
    request_classes: Vec<ClassMessage>,
    rules: RulesMessage,
    tick_us: u64,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct CeilingsMessage {
    probes: bool,
}

#[derive(Deserialize)]
struct FamilyMessage {
    backlog: f64,
    envelope: f64,
    exclusive: bool,
    first_wait: f64,
    key_ranges: u16,
    messages_over_us: u64,
    throttle_by: String,
    update_cap: u32,
    /// Needed where a slice has one owner.
    #[serde(default)]
    write_lease_us: Option<u64>,
    #[serde(default)]
    write_life_us: Option<u64>,
}

#[derive(Deserialize)]
struct ClassMessage {
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
struct RulesMessage {
    cold_from: f64,
    fall_multiple: f64,
    #[serde(default)]
    removal_not_binding: bool,
    warm_within_us: u64,
}

impl NodeConfig {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// What is wrong, with its place in the file. An invalid entry of the known list of hosts is no error: it is left
    /// out and counted in [`crate::EndpointPage::invalid`].
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
            sockets: file.limits.sockets,
            memory_mb: amount(file.limits.memory_mb, "limits.memory_mb")? as usize,
            tick_interval: duration(file.settings.tick_us, "settings.tick_us")?,
            known_endpoints: file.known.convert(&names),
            controller,
            names,
        })
    }
}

fn decode(text: &str) -> Result<ConfigMessage, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let file = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| ConfigError::Json { place: error.path().to_string(), error: error.into_inner() })?;
    json.end().map_err(|error| ConfigError::Json { place: "the end".to_owned(), error })?;
    Ok(file)
}

fn class_configs(classes: &[ClassMessage]) -> Result<Vec<ClassConfig>, ConfigError> {
    let count = classes.len();
    if !(1..=MAX_CLASSES).contains(&count) {
        return Err(ConfigError::ClassCount { place: "settings.request_classes".to_owned(), count });
    }
    classes.iter().enumerate().map(|(index, class)| class_config(index, class)).collect()
}

fn class_config(index: usize, class: &ClassMessage) -> Result<ClassConfig, ConfigError> {
    let place = |field: &str| format!("settings.request_classes[{index}].{field}");
    Ok(ClassConfig {
        contract_time: duration(class.aim_us, &place("aim_us"))?,
        priority_weight: amount(class.worth, &place("worth"))?,
        idempotency: match (class.effect.as_str(), class.group.as_str()) {
            ("repeatable", _) => Idempotency::Safe,
            ("by_key", "all") => {
                Idempotency::IdempotencyKeyGlobal(duration(class.key_ttl_us, &place("key_ttl_us"))?)
            }
            ("by_key", _) => Idempotency::IdempotencyKeyLocal,
            ("once", _) => Idempotency::Never,
            (other, _) => {
                return Err(ConfigError::UnknownValue { place: place("effect"), value: other.to_owned() })
            }
        },
    })
}

fn controller_config(
    settings: &SettingsMessage,
    classes: Vec<ClassConfig>,
) -> Result<ControllerConfig, ConfigError> {
    let SettingsMessage { ceilings, family_info: family, rules, .. } = settings;
    Ok(ControllerConfig {
        classes,
        slice_count: family.key_ranges,
        single_owner: family.exclusive,
        write_lease: write_time(family, family.write_lease_us, "settings.family_info.write_lease_us")?,
        max_write_duration: write_time(family, family.write_life_us, "settings.family_info.write_life_us")?,
        health_checks_allowed: ceilings.probes,
        delisted_may_serve: rules.removal_not_binding,
        admission_by_fraction: family.throttle_by == "share",
        cold_capacity_fraction: amount(rules.cold_from, "settings.rules.cold_from")?,
        warm_up_time: duration(rules.warm_within_us, "settings.rules.warm_within_us")?,
        overload_multiple: amount(rules.fall_multiple, "settings.rules.fall_multiple")?,
        backlog_limit: amount(family.backlog, "settings.family_info.backlog")?,
        message_overhead: amount(family.envelope, "settings.family_info.envelope")?,
        message_quota: family.update_cap,
        message_quota_window: duration(family.messages_over_us, "settings.family_info.messages_over_us")?,
        first_attempt_timeout_multiple: amount(family.first_wait, "settings.family_info.first_wait")?,
    })
}

/// A time of a single owner's writes. Counted as 0 where it is missing, it would let two hosts accept one owner's writes.
fn write_time(family: &FamilyMessage, micros: Option<u64>, place: &str) -> Result<Seconds, ConfigError> {
    match micros {
        Some(micros) => duration(micros, place),
        None if family.exclusive => Err(ConfigError::SingleOwnerTime { place: place.to_owned() }),
        None => Ok(0.0),
    }
}

fn names(settings: &SettingsMessage) -> Result<Names, ConfigError> {
    let timeouts = settings.request_classes.iter().map(|class| class.hard_limit_us);
    let max_client_timeout = timeouts.max().unwrap_or_default();
    Ok(Names {
        classes: settings.request_classes.iter().map(|class| class.name.clone()).collect(),
        zones: settings.zones.clone(),
        kinds: settings.host_types.clone(),
        max_client_timeout: duration(max_client_timeout, "settings.request_classes")?,
    })
}

/// Microseconds of the file, in seconds.
fn duration(micros: u64, place: &str) -> Result<Seconds, ConfigError> {
    let duration = micros as f64 / 1e6;
    if duration <= MAX_DURATION {
        Ok(duration)
    } else {
        Err(ConfigError::TooLong { place: place.to_owned() })
    }
}

/// A finite number from 0 up.
fn amount(number: f64, place: &str) -> Result<f64, ConfigError> {
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(ConfigError::Negative { place: place.to_owned() })
    }
}
