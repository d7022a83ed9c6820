//! What a steward on the platform is told when it starts, and again with each new file.
use crate::discovery::EndpointPage;
use railhub::{ClassConfig, ClassId, ControllerConfig, EndpointList, Idempotency, KindId, Seconds, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Most classes and the longest time or window believed, in seconds.
const MAX_CLASSES: usize = 64;
const MAX_DURATION: Seconds = 86_400.0;

#[derive(Debug, Error)]
#[error("{at}: {what}")]
pub struct ConfigError {
    /// Where in the file.
    at: String,
    what: String,
}

fn fault(at: &str, what: impl ToString) -> ConfigError {
    ConfigError { at: at.to_owned(), what: what.to_string() }
}

/// The names that messages use for what the module numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The longest time a client waits, past which no mean of good tries can lie.
    pub max_client_timeout: Seconds,
}

impl Names {
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|known| known == name).map(|place| ZoneId(place as u16))
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|known| known == name).map(|place| ClassId(place as u8))
    }

    /// Kinds that the file does not name are told apart by a hash: a table of them would only grow.
    pub fn kind(&self, name: &str) -> KindId {
        let known = self.kinds.iter().position(|known| known == name);
        let hashed = |name: &str| name.bytes().fold(0u16, |hash, b| hash.wrapping_mul(251) ^ u16::from(b));
        KindId(known.map_or_else(|| hashed(name).max(self.kinds.len() as u16), |place| place as u16))
    }
}

#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    /// Descriptors and megabytes that the process may use.
    pub sockets: usize,
    pub memory_mb: usize,
    /// The list of hosts as this steward last had it; it may be old.
    pub known: EndpointPage,
    pub terms: ControllerConfig,
    pub names: Names,
    /// Least span between two rounds.
    pub tick: Seconds,
}

#[derive(Deserialize)]
struct ConfigMessage {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    registry: Registry,
    limits: Limits,
    #[serde(default)]
    known: crate::discovery::RawEndpointPage,
    settings: SettingsMessage,
}

#[derive(Deserialize)]
struct Registry {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct SettingsMessage {
    ceilings: Ceilings,
    family_info: SettingsFamily,
    host_types: Vec<String>,
    request_classes: Vec<Class>,
    rules: Rules,
    tick_us: u64,
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct Ceilings {
    probes: bool,
}

#[derive(Deserialize)]
struct SettingsFamily {
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
struct Class {
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
struct Rules {
    cold_from: f64,
    fall_multiple: f64,
    #[serde(default)]
    removal_not_binding: bool,
    warm_within_us: u64,
}

fn seconds(micros: u64, at: &str) -> Result<Seconds, ConfigError> {
    let span = micros as f64 / 1e6;
    if span <= MAX_DURATION {
        Ok(span)
    } else {
        Err(fault(at, "is longer than a day"))
    }
}

fn amount(value: f64, at: &str) -> Result<f64, ConfigError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(fault(at, "must be a number from 0 up"))
    }
}

impl NodeConfig {
    pub fn parse(text: &str) -> Result<NodeConfig, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let sheet: ConfigMessage = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| fault(&e.path().to_string(), e.inner()))?;
        json.end().map_err(|e| fault("the end", e))?;
        let SettingsMessage { host_types, request_classes, zones, .. } = &sheet.settings;
        if request_classes.is_empty() || request_classes.len() > MAX_CLASSES {
            let many = request_classes.len();
            return Err(fault(
                "settings.request_classes",
                format!("{many} classes, 1 to {MAX_CLASSES} can be"),
            ));
        }
        let classes = request_classes.iter().enumerate().map(|(k, class)| class_terms(k, class));
        let terms = terms(&sheet.settings, classes.collect::<Result<_, _>>()?)?;
        let longest = request_classes.iter().map(|class| class.hard_limit_us).max().unwrap_or_default();
        let names = Names {
            classes: request_classes.iter().map(|class| class.name.clone()).collect(),
            zones: zones.clone(),
            kinds: host_types.clone(),
            max_client_timeout: seconds(longest, "settings.request_classes")?,
        };
        let known = sheet.known.check(&names);
        Ok(NodeConfig {
            name: sheet.name,
            listen: sheet.listen,
            discovery: sheet.discovery,
            relay: sheet.registry.address,
            sockets: sheet.limits.sockets,
            memory_mb: amount(sheet.limits.memory_mb, "limits.memory_mb")? as usize,
            tick: seconds(sheet.settings.tick_us, "settings.tick_us")?,
            known,
            terms,
            names,
        })
    }

    /// The list it starts with, in the module's words.
    pub fn first_list(&self) -> EndpointList {
        EndpointList {
            complete: true,
            entries: self.known.entries.iter().map(|entry| entry.listed).collect(),
        }
    }
}

fn class_terms(k: usize, class: &Class) -> Result<ClassConfig, ConfigError> {
    let at = |field: &str| format!("settings.request_classes[{k}].{field}");
    Ok(ClassConfig {
        contract_time: seconds(class.aim_us, &at("aim_us"))?,
        priority_weight: amount(class.worth, &at("worth"))?,
        idempotency: match (class.effect.as_str(), class.group.as_str()) {
            ("repeatable", _) => Idempotency::Safe,
            ("by_key", "all") => {
                Idempotency::IdempotencyKeyGlobal(seconds(class.key_ttl_us, &at("key_ttl_us"))?)
            }
            ("by_key", _) => Idempotency::IdempotencyKeyLocal,
            ("once", _) => Idempotency::Never,
            (other, _) => return Err(fault(&at("effect"), format!("cannot be '{other}'"))),
        },
    })
}

/// Taken for nothing where it is lacking, it would let two hosts have one owner's writes.
fn write_time(family: &SettingsFamily, micros: Option<u64>, at: &str) -> Result<Seconds, ConfigError> {
    match micros {
        Some(micros) => seconds(micros, at),
        None if family.exclusive => Err(fault(at, "is needed where a slice has one owner")),
        None => Ok(0.0),
    }
}

fn terms(told: &SettingsMessage, classes: Vec<ClassConfig>) -> Result<ControllerConfig, ConfigError> {
    let SettingsMessage { ceilings, family_info: family, rules, .. } = told;
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
        warm_up_time: seconds(rules.warm_within_us, "settings.rules.warm_within_us")?,
        overload_multiple: amount(rules.fall_multiple, "settings.rules.fall_multiple")?,
        backlog_limit: amount(family.backlog, "settings.family_info.backlog")?,
        message_overhead: amount(family.envelope, "settings.family_info.envelope")?,
        message_quota: family.update_cap,
        message_quota_window: seconds(family.messages_over_us, "settings.family_info.messages_over_us")?,
        first_attempt_timeout_multiple: amount(family.first_wait, "settings.family_info.first_wait")?,
    })
}
