//! `[class NAME]`, `[kind NAME]` and `[rules]`: operations, hosts and the limits of the invariants.
use crate::scenario::{HostKind, OperationClass};
use railhub_emulator::OperationClass as EmulatedClass;
use railhub_ini::{Diagnostic, Section};
use railhub_record::{ClassLimits, Limits, OperationIdempotency};

/// Prefix of the headers of class sections.
pub(super) const CLASS_PREFIX: &str = "class ";
/// Prefix of the headers of host kind sections.
pub(super) const KIND_PREFIX: &str = "kind ";
/// Values of the key `repeats`: whether and how a request may be repeated.
const REPEATS: [(&str, OperationIdempotency); 4] = [
    ("safe", OperationIdempotency::Safe),
    ("keyed", OperationIdempotency::IdempotencyKeyGlobal),
    ("keyed nearby", OperationIdempotency::IdempotencyKeyLocal),
    ("never", OperationIdempotency::Never),
];

/// Reads a class of operations.
pub(super) fn operation_class(section: &Section) -> Result<OperationClass, Diagnostic> {
    let idempotency = section.choice("repeats", "never", &REPEATS)?;
    let keyed = matches!(
        idempotency,
        OperationIdempotency::IdempotencyKeyGlobal | OperationIdempotency::IdempotencyKeyLocal
    );
    let class = OperationClass {
        properties: EmulatedClass {
            name: section.name[CLASS_PREFIX.len()..].trim().to_owned(),
            contract_time: section.required_in_range("contract_time", 0.001, 3600.0)?,
            hard_stop: section.required_in_range("hard_stop", 0.001, 3600.0)?,
            priority_weight: section.in_range("gain", 1.0, 0.0, 1e9)?,
            idempotency,
            key_window: if keyed { section.required_in_range("key_window", 0.0, 1e6)? } else { 0.0 },
            writes: section.flag("writes", false)?,
        },
        share: section.in_range("share", 1.0, 0.0, 1e6)?,
        work: section.required_in_range("work", 1e-6, 100.0)?,
        work_cv: section.in_range("spread", 0.5, 0.0, 10.0)?,
    };
    section.reject_unread_keys()?;
    Ok(class)
}

/// Reads a kind of host.
pub(super) fn host_kind(section: &Section) -> Result<HostKind, Diagnostic> {
    let lowest_speed = section.in_range("speed_least", 1.0, 0.01, 100.0)?;
    let kind = HostKind {
        name: section.name[KIND_PREFIX.len()..].trim().to_owned(),
        share: section.in_range("share", 1.0, 0.0, 1e6)?,
        cores: section.in_range("cores", 4.0, 1.0, 1024.0)? as usize,
        speed: (lowest_speed, section.in_range("speed_most", lowest_speed, lowest_speed, 100.0)?),
        max_queued: section.in_range("queue", 40.0, 0.0, 1e6)? as usize,
        cold_capacity_fraction: section.in_range("cold_from", 0.3, 0.01, 1.0)?,
        warm_up_time: section.in_range("warm_after", 10.0, 0.0, 3600.0)?,
    };
    section.reject_unread_keys()?;
    Ok(kind)
}

/// The limits of the invariants. Zones and proxies are set by the caller, start and end when the scenario is played.
pub(super) fn limits(rules: &Section, classes: &[OperationClass], slices: u32) -> Result<Limits, Diagnostic> {
    Ok(Limits {
        classes: classes.iter().map(class_limits).collect(),
        slices,
        single_owner: false,
        max_unserved: rules.in_range("lost_for", 6.0, 0.01, 3600.0)?,
        grace: rules.in_range("grace", 3.0, 0.01, 3600.0)?,
        removed_hosts_exempt: !rules.flag("removal_binds", true)?,
        overload_multiple: rules.in_range("fall_multiple", 2.5, 0.1, 1000.0)?,
        overload_span: rules.in_range("fall_for", 2.0, 0.01, 600.0)?,
        cold_capacity_fraction: rules.in_range("cold_from", 0.2, 0.0, 1.0)?,
        max_warm_up: rules.in_range("warm_within", 15.0, 0.0, 3600.0)?,
        max_backlog: rules.in_range("backlog", 20_000.0, 1.0, 1e9)?,
        message_cost: rules.in_range("message_cost", 8.0, 0.0, 1e6)?,
        max_messages: rules.in_range("message_cap", 20.0, 0.0, 1e6)? as u32,
        message_span: rules.in_range("messages_span", 10.0, 0.1, 3600.0)?,
        from: 0.0,
        until: 0.0,
        zones: Vec::new(),
        proxies: 0,
    })
}

fn class_limits(class: &OperationClass) -> ClassLimits {
    ClassLimits {
        name: class.properties.name.clone(),
        contract_time: class.properties.contract_time,
        hard_stop: class.properties.hard_stop,
        priority_weight: class.properties.priority_weight,
        idempotency: class.properties.idempotency.into(),
        key_window: class.properties.key_window,
        writes: class.properties.writes,
    }
}
