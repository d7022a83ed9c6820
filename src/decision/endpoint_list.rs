//! Endpoint lists: how an update of the list changes the known hosts, and when a host is forgotten.
//!
//! The list may be wrong. A host that is removed from it stays in service while it passes its health checks, unless it
//! was draining or `delisted_may_serve` is off. A host that is added or listed again owns no slice until it has passed
//! a health check. A draining host always loses its slices at once.
use super::exclusion::Exclusions;
use super::host::Host;
use super::slice::Slice;
use crate::interface::{CommandSink, ControllerConfig, EndpointEntry, EndpointList, HostId};
use crate::interface::{Phase, Seconds, SliceId};
use std::collections::{BTreeMap, BTreeSet};

/// Applies an update of the endpoint list.
pub fn apply_endpoint_list(
    now: Seconds,
    list: &EndpointList,
    config: &ControllerConfig,
    hosts: &mut BTreeMap<HostId, Host>,
    commands: &mut impl CommandSink,
) {
    if list.complete {
        let listed: BTreeSet<HostId> = list.entries.iter().map(|entry| entry.host).collect();
        for (_, host) in hosts.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            host.delist(now, config.delisted_may_serve);
        }
    }
    for entry in &list.entries {
        let host = hosts.entry(entry.host).or_insert_with(|| Host::new(entry));
        if entry.phase == Phase::Gone {
            host.delist(now, config.delisted_may_serve);
        } else {
            apply_entry(entry, host, config.health_checks_allowed, commands);
        }
    }
}

/// Updates a host from its entry in the list. A host that is not known to serve counts as down until it passes a health
/// check, which is requested here.
fn apply_entry(
    entry: &EndpointEntry,
    host: &mut Host,
    health_checks_allowed: bool,
    commands: &mut impl CommandSink,
) {
    let is_trusted = host.is_usable() && host.last_success_at > 0.0;
    if health_checks_allowed && entry.phase == Phase::Ready && !is_trusted {
        host.is_down = true;
        commands.check_health(entry.host);
    }
    host.phase = entry.phase;
    host.weight = entry.weight;
    host.is_delisted = false;
    host.started_at = entry.started_at;
    if entry.started_at > host.warming_since {
        host.warming_since = entry.started_at;
    }
}

/// Forgets hosts that have been gone for long, once no table, ejection or exclusion refers to them. A host that proxies
/// may still exclude is kept until it is readmitted: a new host may be listed under its id and would be excluded too.
pub fn forget_gone_hosts(
    now: Seconds,
    ejected: Option<HostId>,
    hosts: &mut BTreeMap<HostId, Host>,
    slices: &mut BTreeMap<SliceId, Slice>,
    exclusions: &Exclusions,
) {
    let expired: Vec<HostId> =
        hosts.iter().filter(|(_, host)| host.is_expired(now)).map(|(id, _)| *id).collect();
    for id in expired {
        let is_in_use = slices.values().any(|slice| slice.owner == Some(id) || slice.table_contains(id));
        if is_in_use || ejected == Some(id) || !exclusions.may_forget(id) {
            continue;
        }
        hosts.remove(&id);
        for slice in slices.values_mut() {
            slice.preferred_host = slice.preferred_host.filter(|host| *host != id);
        }
    }
}
