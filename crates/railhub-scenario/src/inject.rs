//! Injects a scenario's faults into the running cluster, each in a coroutine of its own from its start to its end.
//!
//! A fault that affects a number of hosts reserves them, so that no other such fault affects them at the same time.
use crate::cluster::Cluster;
use crate::fault::{FaultKind, PhantomBehavior, ScheduledFault};
use railhub_emulator::endpoint_list::{ListedEndpoint, GONE, READY};
use railhub_emulator::host::HostFaults;
use railhub_emulator::zone_links::DegradedLink;
use railhub_net::{now, seconds};
use std::sync::Arc;

/// Shortest phase of a noisy neighbor, in seconds.
const MIN_NOISE_PHASE_SECONDS: f64 = 0.02;

/// Injects one fault at its time and returns at its end. It waits, so it needs a coroutine of its own.
pub(crate) fn inject(fault: &ScheduledFault, fault_index: usize, cluster: &Arc<Cluster>) {
    let injection = Injection { fault, fault_index, cluster };
    may::coroutine::sleep(seconds(cluster.started_at + fault.at - now()));
    let slowdown = injection.channel_slowdown();
    cluster.record_fault(fault, true, slowdown);
    injection.run();
    injection.wait_for_end();
    cluster.record_fault(fault, false, if slowdown > 0.0 { 1.0 } else { 0.0 });
}

struct Injection<'a> {
    fault: &'a ScheduledFault,
    fault_index: usize,
    cluster: &'a Arc<Cluster>,
}

impl Injection<'_> {
    /// The factor by which updates are slower while the fault is active; 0 if it does not change them.
    fn channel_slowdown(&self) -> f64 {
        match self.fault.kind {
            FaultKind::SlowUpdateChannel { factor } => factor,
            // No proxy can be updated sooner than the delay. The factor extends the shortest time limit of the
            // invariants by the delay, and the others by more.
            FaultKind::SlowUpdates { delay, .. } => {
                let limits = &self.cluster.scenario.limits;
                1.0 + delay / limits.grace.min(limits.max_unserved)
            }
            _ => 0.0,
        }
    }

    fn end(&self) -> f64 {
        self.cluster.started_at + self.fault.at + self.fault.duration
    }

    fn wait_for_end(&self) {
        may::coroutine::sleep(seconds(self.end() - now()));
    }

    fn run(&self) {
        match &self.fault.kind {
            FaultKind::Crash { .. }
            | FaultKind::Deploy { .. }
            | FaultKind::Hang { .. }
            | FaultKind::Slow { .. }
            | FaultKind::ResponsesLost { .. }
            | FaultKind::Pauses { .. }
            | FaultKind::NoisyNeighbor { .. }
            | FaultKind::Growth { .. }
            | FaultKind::ZoneOutage { .. } => self.run_host_fault(),
            // Applied when the operations were drawn.
            FaultKind::HotKey { .. }
            | FaultKind::HeavyOperations { .. }
            | FaultKind::ClientsGiveUp { .. }
            | FaultKind::TrafficShift { .. } => {}
            FaultKind::LateReports { .. }
            | FaultKind::ListTruncated { .. }
            | FaultKind::PhantomHosts { .. }
            | FaultKind::ListUnavailable
            | FaultKind::StoreUnavailable
            | FaultKind::StoreSlow { .. }
            | FaultKind::StoreResponsesLost
            | FaultKind::StoreRolledBack { .. } => self.run_dependency_fault(),
            FaultKind::StreamsReset { .. }
            | FaultKind::UpdateRejected { .. }
            | FaultKind::SlowUpdateChannel { .. }
            | FaultKind::SlowZoneLink { .. } => self.run_proxy_fault(),
            FaultKind::ControllerKilled { .. }
            | FaultKind::ControllerPaused { .. }
            | FaultKind::ControllerDrained { .. }
            | FaultKind::ControllerIsolated { .. }
            | FaultKind::ControllerOneWayCut { .. }
            | FaultKind::SlowUpdates { .. }
            | FaultKind::ControllerPartition { .. }
            | FaultKind::ControllerLinksImpaired { .. } => self.run_controller_fault(),
        }
    }

    fn run_host_fault(&self) {
        match &self.fault.kind {
            FaultKind::Crash { hosts } => {
                let hosts = self.reserve(*hosts);
                self.crash_until_end(&hosts);
                self.cluster.hosts.release(&hosts);
            }
            FaultKind::Deploy { hosts, batch, drain } => self.deploy(*hosts, *batch, *drain),
            FaultKind::Hang { hosts } => {
                self.impair(*hosts, &|faults| faults.hangs = true, &|faults| faults.hangs = false)
            }
            FaultKind::Slow { hosts, factor } => {
                self.impair(*hosts, &|faults| faults.slowdown *= factor, &|faults| faults.slowdown /= factor);
            }
            FaultKind::ResponsesLost { hosts, fraction } => {
                self.impair(*hosts, &|faults| faults.response_loss = *fraction, &|faults| {
                    faults.response_loss = 0.0
                });
            }
            FaultKind::Pauses { hosts, pause, interval } => self.pause_hosts(*hosts, *pause, *interval),
            FaultKind::NoisyNeighbor { hosts, cpu_fraction, interval } => {
                self.add_noise(*hosts, *cpu_fraction, *interval);
            }
            FaultKind::Growth { factor, .. } => self.add_hosts_gradually(*factor),
            FaultKind::ZoneOutage { zone, silent } => self.fail_zone(*zone, *silent),
            _ => {}
        }
    }

    fn run_dependency_fault(&self) {
        let (list, store) = (&self.cluster.list, &self.cluster.store);
        match &self.fault.kind {
            FaultKind::LateReports { delay } => {
                self.cluster.add_report_delay(*delay);
                self.wait_for_end();
                self.cluster.add_report_delay(-delay);
            }
            FaultKind::ListTruncated { hosts } => {
                let hosts = self.reserve(*hosts);
                self.override_list_until_end(
                    hosts.iter().map(|host| self.cluster.hosts.entry(*host, GONE)).collect(),
                );
            }
            FaultKind::PhantomHosts { hosts, behaviors } => self.add_phantoms(*hosts, behaviors),
            FaultKind::ListUnavailable => {
                list.set_unavailable(true);
                self.wait_for_end();
                list.set_unavailable(false);
            }
            FaultKind::StoreUnavailable => {
                store.set_unavailable(true);
                self.wait_for_end();
                store.set_unavailable(false);
            }
            FaultKind::StoreSlow { delay } => {
                store.set_response_delay(*delay);
                self.wait_for_end();
                store.set_response_delay(0.0);
            }
            FaultKind::StoreResponsesLost => {
                store.lose_responses(true);
                self.wait_for_end();
                store.lose_responses(false);
            }
            FaultKind::StoreRolledBack { age } => store.restart(*age),
            _ => {}
        }
    }

    fn run_proxy_fault(&self) {
        let (cluster, fault_index) = (self.cluster, self.fault_index);
        match &self.fault.kind {
            FaultKind::StreamsReset { fraction } => {
                cluster.for_chosen_proxies(*fraction, fault_index, |proxy| proxy.break_streams());
            }
            FaultKind::UpdateRejected { fraction } => {
                cluster.for_chosen_proxies(*fraction, fault_index, |proxy| proxy.reject_next_delta());
            }
            FaultKind::SlowUpdateChannel { factor } => {
                let channel = &cluster.environment.channel;
                channel.slow_down(*factor);
                self.wait_for_end();
                channel.slow_down(1.0 / factor);
            }
            FaultKind::SlowZoneLink { zone, other, delay, loss_fraction } => {
                let link = DegradedLink { zone: *zone, other: *other, delay: *delay, loss: *loss_fraction };
                cluster.environment.links.degrade(fault_index, link);
                self.wait_for_end();
                cluster.environment.links.restore(fault_index);
            }
            _ => {}
        }
    }

    fn run_controller_fault(&self) {
        match &self.fault.kind {
            FaultKind::ControllerKilled { controller } => {
                self.cluster.kill_controller(*controller);
                self.wait_for_end();
                self.cluster.restart_controller(*controller);
            }
            FaultKind::ControllerPaused { controller } => {
                self.cluster.pause_controller(*controller, true);
                self.wait_for_end();
                self.cluster.pause_controller(*controller, false);
            }
            FaultKind::ControllerDrained { controller } => self.cluster.drain_controller(*controller),
            link_fault => {
                self.cluster.set_link_fault(self.fault_index, Some(link_fault));
                self.wait_for_end();
                self.cluster.set_link_fault(self.fault_index, None);
            }
        }
    }

    fn reserve(&self, count: usize) -> Vec<usize> {
        self.cluster.hosts.reserve(count, self.fault_index)
    }

    fn change_each(&self, hosts: &[usize], change: &dyn Fn(&mut HostFaults)) {
        for host in hosts {
            self.cluster.hosts.host(*host).change_faults(change);
        }
    }

    /// Applies `begin` to hosts, and `end` when the fault ends.
    fn impair(&self, count: usize, begin: &dyn Fn(&mut HostFaults), end: &dyn Fn(&mut HostFaults)) {
        let hosts = self.reserve(count);
        self.change_each(&hosts, begin);
        self.wait_for_end();
        self.change_each(&hosts, end);
        self.cluster.hosts.release(&hosts);
    }

    fn crash_until_end(&self, hosts: &[usize]) {
        for host in hosts {
            self.cluster.hosts.crash(*host);
        }
        self.wait_for_end();
        for host in hosts {
            self.cluster.hosts.restart(*host);
        }
    }

    fn fail_zone(&self, zone: u32, silent: bool) {
        let hosts = self.cluster.hosts.in_zone(zone);
        if !silent {
            return self.crash_until_end(&hosts);
        }
        self.change_each(&hosts, &|faults| faults.hangs = true);
        self.wait_for_end();
        self.change_each(&hosts, &|faults| faults.hangs = false);
    }

    fn pause_hosts(&self, count: usize, pause: f64, interval: f64) {
        let hosts = self.reserve(count);
        while now() < self.end() {
            self.change_each(&hosts, &|faults| faults.paused_until = now() + pause);
            may::coroutine::sleep(seconds(pause + interval));
        }
    }

    fn add_noise(&self, count: usize, cpu_fraction: f64, interval: f64) {
        let hosts = self.reserve(count);
        let slowdown = 1.0 / (1.0 - cpu_fraction);
        while now() < self.end() {
            self.change_each(&hosts, &|faults| faults.slowdown *= slowdown);
            let phase = interval.min(self.end() - now()).max(MIN_NOISE_PHASE_SECONDS);
            may::coroutine::sleep(seconds(phase));
            self.change_each(&hosts, &|faults| faults.slowdown /= slowdown);
            may::coroutine::sleep(seconds(interval));
        }
    }

    fn add_hosts_gradually(&self, factor: f64) {
        let added_hosts = ((factor - 1.0) * self.cluster.scenario.hosts as f64).round() as usize;
        for _ in 0..added_hosts {
            self.cluster.hosts.add();
            may::coroutine::sleep(seconds(self.fault.duration / added_hosts as f64));
        }
    }

    /// Drains the hosts batch by batch while new ones start cold.
    fn deploy(&self, count: usize, batch: usize, drain: f64) {
        let replaced = self.reserve(count);
        let batches = replaced.len().div_ceil(batch).max(1);
        for hosts in replaced.chunks(batch) {
            for host in hosts {
                self.cluster.hosts.drain(*host);
                self.cluster.hosts.add();
            }
            self.stop_after(drain, hosts.to_vec());
            may::coroutine::sleep(seconds(self.fault.duration / batches as f64));
        }
    }

    fn stop_after(&self, drain_duration: f64, hosts: Vec<usize>) {
        let cluster = self.cluster.clone();
        railhub_net::spawn(move || {
            may::coroutine::sleep(seconds(drain_duration));
            for host in hosts {
                cluster.hosts.stop_drained(host);
            }
        });
    }

    fn add_phantoms(&self, count: usize, behaviors: &[PhantomBehavior]) {
        let mut phantoms = Vec::new();
        for index in 0..count {
            phantoms.extend(self.cluster.hosts.add_phantom(&behaviors[index % behaviors.len()]));
        }
        self.override_list_until_end(
            phantoms.iter().map(|host| self.cluster.hosts.entry(*host, READY)).collect(),
        );
    }

    /// Overrides entries of the endpoint list until the fault ends.
    fn override_list_until_end(&self, entries: Vec<ListedEndpoint>) {
        self.cluster.list.set_override(self.fault_index as u64, Some(entries));
        self.wait_for_end();
        self.cluster.list.set_override(self.fault_index as u64, None);
    }
}
