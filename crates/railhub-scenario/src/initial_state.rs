//! The initial state of a scenario: its proxies and their tables. The simulator uses the same.
use crate::draw;
use crate::scenario::Scenario;
use railhub_emulator::host::HostConfig;
use railhub_emulator::proxy::ProxyConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Hosts and their weights, by slice.
pub type Tables = BTreeMap<u32, Vec<(SocketAddr, f64)>>;

/// Bits by which a proxy's index is shifted before it is mixed into the seed.
const PROXY_SEED_SHIFT: u32 = 20;

/// The configuration of the proxy with an index.
pub fn proxy_config(scenario: &Scenario, index: usize) -> ProxyConfig {
    ProxyConfig {
        number: index as u32,
        zone: (index % scenario.zones.len()) as u32,
        policy: scenario.balancing_policy,
        no_host_timeout: scenario.no_host_timeout,
        first_attempt_timeout_fraction: scenario.first_attempt_timeout_fraction,
        connect_timeout: scenario.connect_timeout,
        report_interval: scenario.report_interval,
        report_delay: scenario.report_delay,
        max_reconnect_delay: scenario.max_reconnect_delay,
        seed: scenario.seed ^ ((index as u64) << PROXY_SEED_SHIFT),
    }
}

/// The tables at the start. `host_configs` and `addresses` are those of the same hosts in the same order.
pub fn initial_tables(scenario: &Scenario, host_configs: &[HostConfig], addresses: &[SocketAddr]) -> Tables {
    if scenario.slices == 0 {
        let entries =
            addresses.iter().zip(host_configs).map(|(address, config)| (*address, config.cores as f64));
        return Tables::from([(0, entries.collect())]);
    }
    let mut tables = Tables::new();
    for (slice, owner) in draw::initial_owners(scenario, host_configs).into_iter().enumerate() {
        tables.insert(slice as u32, vec![(addresses[owner], 1.0)]);
    }
    tables
}
