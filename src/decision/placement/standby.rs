//! Standbys: for each slice a second host, which only retries meet until the controller hears of a fault.
use crate::decision::host::Host;
use crate::decision::load_estimate::HostLoads;
use crate::decision::rendezvous;
use crate::decision::slice::Slices;
use crate::interface::HostId;
use std::collections::BTreeMap;

/// Chooses the next warm host on the rendezvous hash where a slice's standby may not stay.
pub fn choose_standbys(
    hosts: &BTreeMap<HostId, Host>,
    loads: &HostLoads,
    ejected: Option<HostId>,
    slices: &mut Slices,
) {
    let is_open = |host: &HostId| loads.get(host).is_some_and(|load| !load.is_cold) && Some(*host) != ejected;
    for (id, slice) in slices {
        if slice.standby.is_some_and(|host| is_open(&host) && Some(host) != slice.owner) {
            continue;
        }
        let others = loads.keys().copied().filter(|host| is_open(host) && Some(*host) != slice.owner);
        let rank = |host: &HostId| rendezvous::rank(*id, *host, hosts[host].weight);
        slice.standby = others.max_by(|a, b| rank(a).total_cmp(&rank(b)));
    }
}
