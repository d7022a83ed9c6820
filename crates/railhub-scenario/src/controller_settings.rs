//! The settings files (INI) of a scenario's controllers.
use crate::scenario::{Scenario, TestClock};
use railhub_record::{ClassLimits, OperationIdempotency};
use std::fmt::Write;
use std::net::SocketAddr;

/// The cluster addresses in the settings of one of several controllers.
pub(crate) struct FleetAddresses {
    /// Index of the controller.
    pub controller: usize,
    /// Address at which the others reach it.
    pub advertise: SocketAddr,
    /// Addresses of all controllers, by index.
    pub join: Vec<SocketAddr>,
}

/// The installation name by which a scenario's controllers recognize each other.
pub(crate) fn installation(scenario: &Scenario) -> String {
    format!("day-{}", scenario.seed)
}

/// The settings of a scenario's single controller, or the part that the settings of several controllers have in common.
pub fn controller_settings(scenario: &Scenario, list: SocketAddr, store: SocketAddr) -> String {
    let mut text =
        format!("[steward]\nlisten = 127.0.0.1:0\nroster = {list}\nslices = {}\n", scenario.slices);
    if scenario.slices > 0 {
        let _ = writeln!(text, "store = {store}");
    }
    let removal_binds = if scenario.limits.removed_hosts_exempt { "no" } else { "yes" };
    let _ = write!(text, "removal_binds = {removal_binds}\n\n");
    text.push_str(&limits_section(scenario));
    for class in &scenario.limits.classes {
        text.push_str(&class_section(class));
    }
    text
}

fn limits_section(scenario: &Scenario) -> String {
    let limits = &scenario.limits;
    format!(
        "[limits]\nfirst_wait = {}\ncold_from = {}\nwarm_within = {}\n\
         fall_multiple = {}\nbacklog = {}\nmessage_cost = {}\nmessage_cap = {}\nmessages_span = {}\n\
         reports_a_second = {}\n",
        scenario.first_attempt_timeout_fraction,
        limits.cold_capacity_fraction,
        limits.max_warm_up,
        limits.overload_multiple,
        limits.max_backlog,
        limits.message_cost,
        limits.max_messages,
        limits.message_span,
        scenario.reports_per_second,
    )
}

fn class_section(class: &ClassLimits) -> String {
    let repeats = match class.idempotency() {
        OperationIdempotency::Safe => "safe".to_owned(),
        OperationIdempotency::IdempotencyKeyGlobal => format!("keyed\nkey_window = {}", class.key_window),
        OperationIdempotency::IdempotencyKeyLocal => "keyed nearby".to_owned(),
        OperationIdempotency::Never => "never".to_owned(),
    };
    format!(
        "\n[class {}]\ncontract_time = {}\ngain = {}\nrepeats = {repeats}\n",
        class.name, class.contract_time, class.priority_weight
    )
}

/// The `[fleet]` section in the settings of one of several controllers.
pub(crate) fn fleet_section(scenario: &Scenario, addresses: &FleetAddresses) -> String {
    let join: Vec<String> = addresses.join.iter().map(SocketAddr::to_string).collect();
    let disabled_safeguard =
        scenario.disabled_safeguard.map_or(String::new(), |safeguard| format!("without = {safeguard}\n"));
    let clock = scenario.clocks.get(addresses.controller).map_or(String::new(), clock_keys);
    format!(
        "\n[fleet]\nid = {}\ninstallation = {}\nadvertise = {}\njoin = {}\nshare = yes\n\
         lease = {}\n{disabled_safeguard}{clock}",
        addresses.controller,
        installation(scenario),
        addresses.advertise,
        join.join(", "),
        scenario.lease_duration,
    )
}

fn clock_keys(clock: &TestClock) -> String {
    format!(
        "clock_speed = {}\nclock_jumps_after = {}\nclock_jumps_by = {}\n",
        clock.speed, clock.jumps_after, clock.jumps_by
    )
}
