//! Faults of a scenario, injected as the emulator does.
use crate::endpoint_list::EndpointState;
use crate::events::{HostIndex, ScheduledEvent};
use crate::simulation::Simulation;
use railhub::Phase;
use railhub_emulator::host::HostFaults;
use railhub_record::{EventKind, HostStarted, HostStopped};
use railhub_scenario::draw;
use railhub_scenario::fault::{FaultKind, PhantomBehavior, ScheduledFault};
use std::net::SocketAddr;

/// Least time between the list's notice of a host's end and of its next start, so that they stay in order.
const LIST_ORDER_MARGIN_SECONDS: f64 = 0.05;

impl Simulation<'_> {
    /// Chooses the hosts of a fault among those that no other fault has chosen.
    fn choose_targets(&mut self, count: usize, fault: usize) -> Vec<HostIndex> {
        let is_eligible = |n: &usize| {
            let host = &self.hosts[*n];
            !host.is_phantom && !host.is_leaving && !self.affected_hosts.contains(n)
        };
        let candidates: Vec<usize> = (0..self.hosts.len()).filter(is_eligible).collect();
        let chosen = draw::choose_targets(self.scenario, fault, &candidates, count);
        self.affected_hosts.extend(&chosen);
        self.fault_targets[fault].clone_from(&chosen);
        chosen
    }

    fn endpoint_state(&self, host_index: HostIndex, phase: Phase) -> (SocketAddr, EndpointState) {
        let host = &self.hosts[host_index];
        let (started_at, weight, kind) = (host.started_at, host.weight, host.config.kind);
        (host.address, EndpointState { phase, started_at, weight, kind })
    }

    /// Schedules a host's new phase in the endpoint list.
    fn schedule_list_change(&mut self, delay: f64, host_index: HostIndex, phase: &'static str) {
        self.event_queue.after(delay, ScheduledEvent::ListChanges(host_index, phase));
    }

    pub fn change_list(&mut self, host_index: HostIndex, phase: &'static str) {
        let phase = match phase {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            _ => Phase::Gone,
        };
        let (host, endpoint_state) = self.endpoint_state(host_index, phase);
        self.endpoint_list.update(host, endpoint_state);
        self.schedule_list_update();
    }

    pub fn start_host(&mut self, host_index: HostIndex, cold: bool) {
        let now = self.event_queue.now;
        self.hosts[host_index].start(now, cold);
        let host = &self.hosts[host_index];
        self.record(EventKind::HostStarted(HostStarted {
            host: host.address.to_string(),
            zone: host.config.zone,
            cores: host.config.cores as f64,
            speed: host.config.speed,
            cold,
            cold_capacity_fraction: host.config.cold_capacity_fraction,
            warm_up_time: host.config.warm_up_time,
        }));
    }

    fn stop_host(&mut self, host_index: HostIndex) {
        let now = self.event_queue.now;
        if self.hosts[host_index].stop(now) {
            self.record(EventKind::HostStopped(HostStopped {
                host: self.hosts[host_index].address.to_string(),
            }));
            self.fail_attempts_at(host_index);
        }
    }

    fn crash_host(&mut self, host_index: HostIndex) {
        self.stop_host(host_index);
        self.schedule_list_change(self.scenario.list_removal_delay, host_index, "gone");
    }

    fn restart_host(&mut self, host_index: HostIndex) {
        if self.hosts[host_index].is_leaving || self.hosts[host_index].alive {
            return;
        }
        self.start_host(host_index, true);
        let delay =
            self.scenario.list_add_delay.max(self.scenario.list_removal_delay + LIST_ORDER_MARGIN_SECONDS);
        self.schedule_list_change(delay, host_index, "ready");
    }

    fn drain_host(&mut self, host_index: HostIndex) {
        self.hosts[host_index].is_leaving = true;
        self.hosts[host_index].faults.drains = true;
        self.schedule_list_change(self.scenario.list_add_delay, host_index, "draining");
    }

    pub fn end_drain(&mut self, host_index: HostIndex) {
        self.stop_host(host_index);
        self.schedule_list_change(self.scenario.list_add_delay, host_index, "gone");
    }

    fn add_host(&mut self) {
        let count = self.hosts.len();
        let configs = draw::hosts(self.scenario, self.scenario.hosts, &format!("host {count}"));
        let mut config = configs[count % self.scenario.hosts].clone();
        config.zone = (count % self.scenario.zones.len()) as u32;
        let host_index = self.register_host(config);
        self.start_host(host_index, true);
        self.schedule_list_change(self.scenario.list_add_delay, host_index, "ready");
    }

    /// Adds a host that the list shows although it is not part of the fleet.
    fn add_phantom(&mut self, behavior: &PhantomBehavior) -> HostIndex {
        let config = draw::hosts(self.scenario, 1, "ghost").swap_remove(0);
        let host_index = self.register_host(config);
        if *behavior != PhantomBehavior::Refuse {
            self.start_host(host_index, false);
        }
        let host = &mut self.hosts[host_index];
        host.is_phantom = true;
        match behavior {
            PhantomBehavior::Refuse => {}
            PhantomBehavior::Error => host.faults.fails = true,
            PhantomBehavior::Silent => host.faults.hangs = true,
        }
        host_index
    }

    fn change_host_faults(&mut self, host_indexes: &[HostIndex], change: impl Fn(&mut HostFaults)) {
        host_indexes.iter().for_each(|host_index| change(&mut self.hosts[*host_index].faults));
    }

    fn hosts_in_zone(&self, zone: u32) -> Vec<HostIndex> {
        let is_in_zone = |n: &usize| {
            let host = &self.hosts[*n];
            host.config.zone == zone && !host.is_phantom && !host.is_leaving
        };
        (0..self.hosts.len()).filter(is_in_zone).collect()
    }

    fn choose_proxies(&self, fraction: f64, fault: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..self.proxies.len()).collect();
        let count = (fraction * all.len() as f64).round() as usize;
        draw::choose_targets(self.scenario, fault, &all, count.max(1))
    }

    fn record_fault(&mut self, fault: &ScheduledFault, active: bool) {
        let channel_slowdown = match (&fault.kind, active) {
            (FaultKind::SlowUpdateChannel { factor }, true) => *factor,
            (FaultKind::SlowUpdateChannel { .. }, false) => 1.0,
            _ => 0.0,
        };
        let (name, note) = (fault.recorded_name(), fault.kind.recorded_note());
        self.record(EventKind::InjectedFault(railhub_record::InjectedFault {
            name,
            active,
            note,
            channel_slowdown,
        }));
    }

    pub fn start_fault(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        self.record_fault(&fault, true);
        match &fault.kind {
            FaultKind::Crash { hosts } => {
                self.choose_targets(*hosts, number)
                    .into_iter()
                    .for_each(|host_index| self.crash_host(host_index));
            }
            FaultKind::Deploy { hosts, .. } => {
                self.choose_targets(*hosts, number);
                self.advance_fault(number, 0);
            }
            FaultKind::Hang { hosts } => {
                let fault_targets = self.choose_targets(*hosts, number);
                self.change_host_faults(&fault_targets, |host_faults| host_faults.hangs = true);
            }
            FaultKind::Slow { hosts, factor } => {
                let fault_targets = self.choose_targets(*hosts, number);
                self.change_host_faults(&fault_targets, |host_faults| host_faults.slowdown *= factor);
            }
            FaultKind::ResponsesLost { hosts, fraction } => {
                let fault_targets = self.choose_targets(*hosts, number);
                self.change_host_faults(&fault_targets, |host_faults| host_faults.response_loss = *fraction);
            }
            FaultKind::Pauses { hosts, .. } | FaultKind::NoisyNeighbor { hosts, .. } => {
                self.choose_targets(*hosts, number);
                self.advance_fault(number, 0);
            }
            FaultKind::Growth { .. } => self.advance_fault(number, 0),
            FaultKind::HotKey { .. }
            | FaultKind::HeavyOperations { .. }
            | FaultKind::ClientsGiveUp { .. }
            | FaultKind::TrafficShift { .. } => {}
            FaultKind::LateReports { delay } => self.extra_report_delay += delay,
            FaultKind::ListTruncated { hosts } => {
                let fault_targets = self.choose_targets(*hosts, number);
                let overrides = fault_targets
                    .into_iter()
                    .map(|host_index| self.endpoint_state(host_index, Phase::Gone))
                    .collect();
                self.endpoint_list.set_override(number, Some(overrides));
                self.schedule_list_update();
            }
            FaultKind::PhantomHosts { hosts, behaviors } => {
                let host_indexes: Vec<_> =
                    (0..*hosts).map(|n| self.add_phantom(&behaviors[n % behaviors.len()])).collect();
                let overrides = host_indexes
                    .into_iter()
                    .map(|host_index| self.endpoint_state(host_index, Phase::Ready))
                    .collect();
                self.endpoint_list.set_override(number, Some(overrides));
                self.schedule_list_update();
            }
            FaultKind::ListUnavailable => self.endpoint_list.unavailable = true,
            FaultKind::StoreUnavailable => self.store_unavailable = true,
            FaultKind::ZoneOutage { zone, silent } => {
                let fault_targets = self.hosts_in_zone(*zone);
                if *silent {
                    self.change_host_faults(&fault_targets, |host_faults| host_faults.hangs = true);
                } else {
                    fault_targets.iter().for_each(|host_index| self.crash_host(*host_index));
                }
                self.fault_targets[number] = fault_targets;
            }
            FaultKind::StreamsReset { fraction } => {
                let proxies = self.choose_proxies(*fraction, number);
                proxies.into_iter().for_each(|proxy| self.break_stream(proxy));
            }
            FaultKind::UpdateRejected { fraction } => {
                let proxies = self.choose_proxies(*fraction, number);
                proxies.into_iter().for_each(|proxy| self.proxies[proxy].rejects_next_delta = true);
            }
            FaultKind::SlowUpdateChannel { factor } => self.channel_slowdown *= factor,
            FaultKind::ControllerKilled { .. } => self.kill_controller(),
            // Faults of scenarios with several controllers, which the simulator refuses.
            FaultKind::ControllerPaused { .. }
            | FaultKind::ControllerIsolated { .. }
            | FaultKind::ControllerOneWayCut { .. }
            | FaultKind::ControllerDrained { .. }
            | FaultKind::SlowUpdates { .. }
            | FaultKind::ControllerPartition { .. }
            | FaultKind::ControllerLinksImpaired { .. }
            | FaultKind::StoreSlow { .. }
            | FaultKind::StoreResponsesLost
            | FaultKind::StoreRolledBack { .. } => {}
            FaultKind::SlowZoneLink { .. } => _ = self.slow_links.insert(number),
        }
        self.event_queue.after(fault.duration, ScheduledEvent::FaultEnds(number));
    }

    pub fn end_fault(&mut self, number: usize) {
        let fault = self.scenario.faults[number].clone();
        let fault_targets = std::mem::take(&mut self.fault_targets[number]);
        match &fault.kind {
            FaultKind::Crash { .. } => {
                fault_targets.iter().for_each(|host_index| self.restart_host(*host_index))
            }
            FaultKind::Hang { .. } => {
                self.change_host_faults(&fault_targets, |host_faults| host_faults.hangs = false)
            }
            FaultKind::Slow { factor, .. } => {
                self.change_host_faults(&fault_targets, |host_faults| host_faults.slowdown /= factor)
            }
            FaultKind::ResponsesLost { .. } => {
                self.change_host_faults(&fault_targets, |host_faults| host_faults.response_loss = 0.0)
            }
            FaultKind::LateReports { delay } => self.extra_report_delay -= delay,
            FaultKind::ListTruncated { .. } | FaultKind::PhantomHosts { .. } => {
                self.endpoint_list.set_override(number, None);
                self.schedule_list_update();
            }
            FaultKind::ListUnavailable => {
                self.endpoint_list.unavailable = false;
                self.schedule_list_update();
            }
            FaultKind::StoreUnavailable => self.restore_store(),
            FaultKind::ZoneOutage { silent: true, .. } => {
                self.change_host_faults(&fault_targets, |host_faults| host_faults.hangs = false)
            }
            FaultKind::ZoneOutage { .. } => {
                fault_targets.iter().for_each(|host_index| self.restart_host(*host_index))
            }
            FaultKind::SlowUpdateChannel { factor } => self.channel_slowdown /= factor,
            FaultKind::ControllerKilled { .. } => self.schedule_controller_start(),
            FaultKind::SlowZoneLink { .. } => _ = self.slow_links.remove(&number),
            _ => {}
        }
        let keeps_hosts = matches!(fault.kind, FaultKind::Deploy { .. } | FaultKind::ListTruncated { .. });
        if !keeps_hosts {
            fault_targets.iter().for_each(|host_index| _ = self.affected_hosts.remove(host_index));
        }
        self.record_fault(&fault, false);
    }

    /// Takes the next step of a fault that proceeds in steps.
    pub fn advance_fault(&mut self, number: usize, step: usize) {
        let now = self.event_queue.now;
        let fault = self.scenario.faults[number].clone();
        let until = self.load_start + fault.at + fault.duration;
        let schedule_next = |simulation: &mut Simulation, delay: f64| {
            simulation.event_queue.after(delay, ScheduledEvent::FaultStep(number, step + 1))
        };
        match &fault.kind {
            FaultKind::Pauses { pause, interval, .. } if now < until => {
                let fault_targets = self.fault_targets[number].clone();
                self.change_host_faults(&fault_targets, |host_faults| host_faults.paused_until = now + pause);
                schedule_next(self, pause + interval);
            }
            FaultKind::NoisyNeighbor { cpu_fraction, interval, .. } => {
                let slowdown = 1.0 / (1.0 - cpu_fraction);
                let fault_targets = if self.fault_targets[number].is_empty() {
                    Vec::new()
                } else {
                    self.fault_targets[number].clone()
                };
                if step.is_multiple_of(2) && now < until {
                    self.change_host_faults(&fault_targets, |host_faults| host_faults.slowdown *= slowdown);
                    // The slowdown must end before `end_fault` clears the hosts of the fault.
                    let delay = interval.min((until - now - 1e-6).max(0.0));
                    schedule_next(self, delay);
                } else if !step.is_multiple_of(2) {
                    self.change_host_faults(&fault_targets, |host_faults| host_faults.slowdown /= slowdown);
                    schedule_next(self, *interval);
                }
            }
            FaultKind::Growth { factor, .. } => {
                let added_hosts = ((factor - 1.0) * self.scenario.hosts as f64).round() as usize;
                if step < added_hosts {
                    self.add_host();
                    schedule_next(self, fault.duration / added_hosts as f64);
                }
            }
            FaultKind::Deploy { hosts, batch, drain } => {
                let leaving = self.fault_targets[number].clone();
                let batches = leaving.len().min(*hosts).div_ceil(*batch).max(1);
                if let Some(hosts) = leaving.chunks(*batch).nth(step) {
                    for host_index in hosts {
                        self.drain_host(*host_index);
                        self.add_host();
                        self.event_queue.after(*drain, ScheduledEvent::DrainEnds(*host_index));
                    }
                    if step + 1 < batches {
                        schedule_next(self, fault.duration / batches as f64);
                    }
                }
            }
            _ => {}
        }
    }
}
