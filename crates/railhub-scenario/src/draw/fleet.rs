//! Draws hosts, slice sizes and the first owner of each slice.
use super::random::{log_normal, random_stream};
use crate::replay;
use crate::scenario::{HostKind, Scenario};
use railhub_emulator::host::HostConfig;
use rand::RngExt;

/// Draws the configurations of `count` hosts from the random stream of a purpose: one is for the hosts at the start,
/// others are for hosts that are added later.
pub fn hosts(scenario: &Scenario, count: usize, purpose: &str) -> Vec<HostConfig> {
    let mut random = random_stream(scenario.seed, purpose);
    let mut hosts = Vec::with_capacity(count);
    for index in 0..count {
        let kind = kind_index(&scenario.host_kinds, index, count);
        let (lowest, highest) = scenario.host_kinds[kind].speed;
        let speed = lowest + (highest - lowest) * random.random::<f64>();
        hosts.push(host_config(scenario, index, kind, speed));
    }
    hosts
}

/// The kind of one of `count` hosts. Kinds are assigned in the order of the file, in proportion to their shares.
fn kind_index(kinds: &[HostKind], index: usize, count: usize) -> usize {
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut remaining = (index as f64 + 0.5) / count as f64 * total;
    for (kind_index, kind) in kinds.iter().enumerate() {
        remaining -= kind.share;
        if remaining < 0.0 {
            return kind_index;
        }
    }
    kinds.len() - 1
}

fn host_config(scenario: &Scenario, index: usize, kind_index: usize, speed: f64) -> HostConfig {
    let kind = &scenario.host_kinds[kind_index];
    HostConfig {
        zone: (index % scenario.zones.len()) as u32,
        kind: kind_index as u16,
        cores: kind.cores,
        speed,
        max_queued: kind.max_queued,
        cold_capacity_fraction: kind.cold_capacity_fraction,
        warm_up_time: kind.warm_up_time,
        max_connections: scenario.max_connections,
        health_check_work: scenario.health_check_work,
        utilization_interval: scenario.utilization_interval,
        cache_saving: scenario.affinity_gain,
        cache_lifetime: scenario.affinity_duration,
    }
}

/// Capacity of hosts, in core seconds of work per second.
pub fn capacity(hosts: &[HostConfig]) -> f64 {
    hosts.iter().map(|host| host.cores as f64 * host.speed).sum()
}

/// The fraction of the traffic for each slice.
pub fn slice_sizes(scenario: &Scenario) -> Vec<f64> {
    if let Some(traffic) = &scenario.replay {
        return replay::slice_sizes(traffic, scenario.slices);
    }
    let mut random = random_stream(scenario.seed, "slices");
    let count = scenario.slices.max(1);
    let sizes: Vec<f64> = (0..count).map(|_| log_normal(&mut random, 1.0, scenario.slice_size_cv)).collect();
    let total: f64 = sizes.iter().sum();
    sizes.into_iter().map(|size| size / total).collect()
}

/// The index of each slice's initial owner: the host that has the lowest load per core once it owns the slice.
pub fn initial_owners(scenario: &Scenario, hosts: &[HostConfig]) -> Vec<usize> {
    let mut loads = vec![0.0; hosts.len()];
    let mut owners = Vec::new();
    for size in slice_sizes(scenario) {
        let load_after = |host: &usize| (loads[*host] + size) / (hosts[*host].cores as f64);
        let owner = (0..hosts.len()).min_by(|a, b| load_after(a).total_cmp(&load_after(b))).unwrap_or(0);
        loads[owner] += size;
        owners.push(owner);
    }
    owners
}
