//! Writes the sections of hosts, proxies, controllers and invariants.
use super::scale::Scale;
use super::source::{seconds, Kind, Server, SourceScenario, Tier};
use std::fmt::Write;

/// Lines of a message that are not those of slices.
const MESSAGE_OVERHEAD_LINES: f64 = 4.0;
/// Lower limit of the backlog, as the number of complete updates of all proxies that fit in it.
const MIN_BACKLOG_UPDATES: f64 = 2.0;
/// Lower limit of the channel's lines per second.
const MIN_LINES_PER_SECOND: f64 = 100.0;
/// Lower limit of the load reports that a controller accepts per second.
const MIN_REPORTS_PER_SECOND: f64 = 20.0;

pub(super) fn write_header(out: &mut String, source: &SourceScenario) {
    let (site, kind) = (&source.site, &source.kind);
    let _ = writeln!(out, "; Made of a {kind} day of {site}.\n\n[day]\nname = {site} {kind}");
    let _ = writeln!(out, "seed = {}\nlength = {:.3}\n", source.seed, seconds(source.length));
}

fn proxies(source: &SourceScenario, scale: &Scale) -> usize {
    scale.count(source.proxies.len()).max(source.zones.len())
}

fn slices(source: &SourceScenario, scale: &Scale) -> f64 {
    let slices = source.control.slices;
    let min_slices = if slices > 0.0 { 1.0 } else { 0.0 };
    (slices * scale.ratio).round().max(min_slices)
}

pub(super) fn write_fleet(out: &mut String, source: &SourceScenario, tier: &Tier, scale: &Scale) {
    let control = &source.control;
    let zones = source.zones.join(", ");
    let proxies = proxies(source, scale);
    let _ = writeln!(out, "[fleet]\nzones = {zones}\nhosts = {}\nproxies = {proxies}", scale.hosts);
    let slices = slices(source, scale);
    let _ = writeln!(out, "slices = {slices}\nslice_spread = {:.3}", control.slice_cv);
    let _ = writeln!(out, "pick = {}", if control.pick == "two" { "two" } else { "weighted" });
    let (gain, duration) = (control.affinity_gain, control.affinity_duration);
    let _ = writeln!(out, "kept_gain = {gain:.3}\nkept_for = {duration:.3}");
    let max_cores = tier.kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
    let connections = tier.connections_per_core * max_cores;
    let probe_work = seconds(tier.probe_work);
    let _ = writeln!(out, "connections = {connections:.0}\nprobe_work = {probe_work:.4}");
    let _ = writeln!(out, "connect_within = {:.3}", seconds(tier.connect_timeout));
    let interval = if tier.reports_utilization() { seconds(tier.report_interval) } else { 0.0 };
    let _ = writeln!(out, "busy_every = {interval:.3}\n");
}

/// Writes the kinds that at least one running host has.
pub(super) fn write_host_kinds(out: &mut String, source: &SourceScenario, tier: &Tier) {
    for (index, kind) in tier.kinds.iter().enumerate() {
        let servers = source.servers.iter().filter(|server| server.up && server.kind == index);
        let servers: Vec<&Server> = servers.collect();
        if !servers.is_empty() {
            write_host_kind(out, kind, &servers);
        }
    }
}

fn write_host_kind(out: &mut String, kind: &Kind, servers: &[&Server]) {
    let lowest = servers.iter().map(|server| server.speed).fold(f64::INFINITY, f64::min);
    let highest = servers.iter().map(|server| server.speed).fold(0.0, f64::max);
    let _ = writeln!(out, "[kind {}]\nshare = {}\ncores = {}", kind.name, servers.len(), kind.cores);
    let _ = writeln!(out, "speed_least = {lowest:.3}\nspeed_most = {highest:.3}");
    let _ = writeln!(out, "queue = {:.0}", (kind.queue + kind.slots - kind.cores).max(0.0));
    let warm_after = seconds(kind.warm_after);
    let _ = writeln!(out, "cold_from = {:.3}\nwarm_after = {warm_after:.3}\n", kind.cold_from);
}

/// Largest backlog, in lines. It is scaled by the ratio twice: a delta has fewer lines, and fewer proxies receive it.
/// The lower limit accounts for the lines of each message that do not become fewer.
fn backlog(source: &SourceScenario, scale: &Scale) -> f64 {
    let control = &source.control;
    let update_lines = control.message_cost + MESSAGE_OVERHEAD_LINES + slices(source, scale);
    let min_backlog = MIN_BACKLOG_UPDATES * proxies(source, scale) as f64 * update_lines;
    (control.backlog * scale.ratio * scale.ratio).max(min_backlog).round()
}

/// Writes the sections of the endpoint list, the load reports and the update channel.
pub(super) fn write_control(out: &mut String, source: &SourceScenario, scale: &Scale) {
    let (control, discovery) = (&source.control, &source.discovery);
    let (add, removal) = (seconds(discovery.add_delay), seconds(discovery.removal_delay));
    let _ = writeln!(out, "[roster]\nadd = {add:.3}\nnotice = {removal:.3}\n");
    let (interval, delay) = (seconds(control.report_interval), seconds(control.report_delay));
    let _ = writeln!(out, "[reports]\nevery = {interval:.3}\nlate = {delay:.3}");
    let reports = (control.reports_per_second * scale.ratio).max(MIN_REPORTS_PER_SECOND);
    let _ = writeln!(out, "a_second = {reports:.0}\n");
    let lines_per_second = backlog(source, scale) * control.rate / control.backlog.max(1.0);
    let lines_per_second = lines_per_second.max(MIN_LINES_PER_SECOND).round();
    let reconnect = seconds(control.reconnect_delay);
    let _ = writeln!(out, "[channel]\nlines_a_second = {lines_per_second}\nredial = {reconnect:.3}\n");
}

pub(super) fn write_rules(out: &mut String, source: &SourceScenario, tier: &Tier, scale: &Scale) {
    let control = &source.control;
    let (lost_for, grace) = (seconds(control.lost_for), seconds(source.drain_grace));
    let _ = writeln!(out, "[rules]\nlost_for = {lost_for:.3}\ngrace = {grace:.3}");
    let _ = writeln!(out, "removal_binds = {}", if source.removed_hosts_exempt { "no" } else { "yes" });
    let (multiple, duration) = (source.overload_multiple, seconds(source.overload_duration));
    let _ = writeln!(out, "fall_multiple = {multiple}\nfall_for = {duration:.3}");
    let warm_within = seconds(tier.stated_warm_after);
    let _ = writeln!(out, "cold_from = {}\nwarm_within = {warm_within:.3}", tier.stated_cold_from);
    let backlog = backlog(source, scale);
    let _ = writeln!(out, "backlog = {backlog}\nmessage_cost = {}", control.message_cost);
    let _ = writeln!(out, "message_cap = {}\nmessages_span = 10", control.message_cap);
    let hold = seconds(control.hold);
    let _ = writeln!(out, "first_wait = {}\nhold = {hold:.3}", control.first_attempt_wait);
}
