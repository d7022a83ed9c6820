//! The table of a key space that is not sliced: one for all proxies.
//!
//! It names all usable hosts, or all that are ready if none is usable, each by its weight and as far as it is warm.
use super::host::Host;
use super::slice::{Slice, Slices};
use super::slow_start::least_capacity_fraction;
use super::table::changes;
use crate::interface::{CommandSink, ControllerConfig, HostId, Phase, Seconds, SliceId, WeightedHost};
use std::collections::BTreeMap;

/// The number of the table.
pub const TABLE: SliceId = SliceId(0);

/// Publishes what differs from the table as published, which is kept in `slices`.
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
    let entries = |is_open: fn(&Host) -> bool| -> Vec<WeightedHost> {
        let open = hosts.iter().filter(|(_, host)| is_open(host));
        open.map(|(id, host)| WeightedHost { host: *id, weight: weight(now, host, config) }).collect()
    };
    let usable = entries(Host::is_usable);
    if usable.is_empty() {
        entries(|host| host.phase == Phase::Ready)
    } else {
        usable
    }
}

/// A host's weight in tenths, rounded up.
fn weight(now: Seconds, host: &Host, config: &ControllerConfig) -> f64 {
    let least = least_capacity_fraction(now, host.warming_since, config);
    (10.0 * host.weight * least).max(0.1).ceil() / 10.0
}
