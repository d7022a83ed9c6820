//! The table of a key space that is not sliced: one table for all proxies.
//!
//! It names all usable hosts, or all ready hosts if none is usable, each with its weight, reduced while it warms up.
use super::host::Host;
use super::slice::{Slice, Slices};
use super::slow_start::least_capacity_fraction;
use super::table::changes;
use crate::interface::{CommandSink, ControllerConfig, HostId, Phase, Seconds, SliceId, WeightedHost};
use std::collections::BTreeMap;

/// The id of the table.
pub const TABLE: SliceId = SliceId(0);

/// Publishes the differences from the published table, which is stored in `slices`.
pub fn publish(
    now: Seconds,
    hosts: &BTreeMap<HostId, Host>,
    config: &ControllerConfig,
    slices: &mut Slices,
    commands: &mut impl CommandSink,
) {
    let desired = desired_table(now, hosts, config);
    let slice = slices.entry(TABLE).or_insert_with(|| Slice::from_stored(now, Vec::new(), 0));
    for line in changes(&slice.published, &desired) {
        commands.set_weight(TABLE, line.host, line.weight);
    }
    slice.published = desired;
}

fn desired_table(
    now: Seconds,
    hosts: &BTreeMap<HostId, Host>,
    config: &ControllerConfig,
) -> Vec<WeightedHost> {
    let entries = |is_eligible: fn(&Host) -> bool| -> Vec<WeightedHost> {
        let eligible = hosts.iter().filter(|(_, host)| is_eligible(host));
        eligible.map(|(id, host)| WeightedHost { host: *id, weight: weight(now, host, config) }).collect()
    };
    let usable = entries(Host::is_usable);
    if usable.is_empty() {
        entries(|host| host.phase == Phase::Ready)
    } else {
        usable
    }
}

/// The weight of a host, rounded up to a multiple of a tenth.
fn weight(now: Seconds, host: &Host, config: &ControllerConfig) -> f64 {
    let least = least_capacity_fraction(now, host.warming_since, config);
    (10.0 * host.weight * least).max(0.1).ceil() / 10.0
}
