//! Standbys: a second host for each slice, which receives only retries until the controller detects a fault.
use crate::decision::host::Host;
use crate::decision::load_estimate::HostLoads;
use crate::decision::rendezvous;
use crate::decision::slice::Slices;
use crate::interface::HostId;
use std::collections::BTreeMap;

/// Replaces the standbys that are not eligible any more, by the next warm host in rendezvous order.
pub fn choose_standbys(
    hosts: &BTreeMap<HostId, Host>,
    loads: &HostLoads,
    ejected: Option<HostId>,
    slices: &mut Slices,
) {
    let is_eligible =
        |host: &HostId| loads.get(host).is_some_and(|load| !load.is_cold) && Some(*host) != ejected;
    for (id, slice) in slices {
        if slice.standby.is_some_and(|host| is_eligible(&host) && Some(host) != slice.owner) {
            continue;
        }
        let others = loads.keys().copied().filter(|host| is_eligible(host) && Some(*host) != slice.owner);
        let rank = |host: &HostId| rendezvous::rank(*id, *host, hosts[host].weight);
        slice.standby = others.max_by(|a, b| rank(a).total_cmp(&rank(b)));
    }
}
