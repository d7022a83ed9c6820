//! The troubles of a day, as the stand-ins play them.
use crate::events::{Due, HostAt};
use crate::list::Line;
use crate::world::World;
use railhub::Phase;
use railhub_emulator::host::HostFaults;
use railhub_record::{EventKind, HostStarted, HostStopped};
use railhub_scenario::draw;
use railhub_scenario::fault::{FaultKind, PhantomBehavior, ScheduledFault};
use std::net::SocketAddr;

/// Seconds by which a host's start is noticed after its end was: one word must not overtake the other.
const NOTICE_ORDER: f64 = 0.05;

impl World<'_> {
    fn choose(&mut self, count: usize, trouble: usize) -> Vec<HostAt> {
        let open = |n: &usize| {
            let host = &self.hosts[*n];
            !host.is_ghost && !host.leaves && !self.taken.contains(n)
        };
        let free: Vec<usize> = (0..self.hosts.len()).filter(open).collect();
        let chosen = draw::choose_targets(self.day, trouble, &free, count);
        self.taken.extend(&chosen);
        self.struck[trouble].clone_from(&chosen);
        chosen
    }

    fn line(&self, place: HostAt, phase: Phase) -> (SocketAddr, Line) {
        let host = &self.hosts[place];
        let (started, weight, kind) = (host.started, host.weight, host.facts.kind);
        (host.address, Line { phase, started, weight, kind })
    }

    /// The list learns of a host, some time from now.
    fn tell(&mut self, late: f64, place: HostAt, phase: &'static str) {
        self.agenda.after(late, Due::ListLearns(place, phase));
    }

    pub fn list_learns(&mut self, place: HostAt, phase: &'static str) {
        let phase = match phase {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            _ => Phase::Gone,
        };
        let (host, line) = self.line(place, phase);
        self.list.learn(host, line);
        self.list_changed();
    }

    pub fn host_starts(&mut self, place: HostAt, cold: bool) {
        let now = self.agenda.now;
        self.hosts[place].start(now, cold);
        let host = &self.hosts[place];
        self.note(EventKind::HostStarted(HostStarted {
            host: host.address.to_string(),
            zone: host.facts.zone,
            cores: host.facts.cores as f64,
            speed: host.facts.speed,
            cold,
            cold_capacity_fraction: host.facts.cold_capacity_fraction,
            warm_up_time: host.facts.warm_up_time,
        }));
    }

    fn host_dies(&mut self, place: HostAt) {
        let now = self.agenda.now;
        if self.hosts[place].die(now) {
            self.note(EventKind::HostStopped(HostStopped { host: self.hosts[place].address.to_string() }));
            self.breaks_at(place);
        }
    }

    fn crash(&mut self, place: HostAt) {
        self.host_dies(place);
        self.tell(self.day.list_removal_delay, place, "gone");
    }

    fn start_again(&mut self, place: HostAt) {
        if self.hosts[place].leaves || self.hosts[place].alive {
            return;
        }
        self.host_starts(place, true);
        let late = self.day.list_add_delay.max(self.day.list_removal_delay + NOTICE_ORDER);
        self.tell(late, place, "ready");
    }

    fn drain(&mut self, place: HostAt) {
        self.hosts[place].leaves = true;
        self.hosts[place].ailments.drains = true;
        self.tell(self.day.list_add_delay, place, "draining");
    }

    pub fn drain_ends(&mut self, place: HostAt) {
        self.host_dies(place);
        self.tell(self.day.list_add_delay, place, "gone");
    }

    fn add_host(&mut self) {
        let count = self.hosts.len();
        let drawn = draw::hosts(self.day, self.day.hosts, &format!("host {count}"));
        let mut facts = drawn[count % self.day.hosts].clone();
        facts.zone = (count % self.day.zones.len()) as u32;
        let place = self.place_host(facts);
        self.host_starts(place, true);
        self.tell(self.day.list_add_delay, place, "ready");
    }

    fn add_ghost(&mut self, kind: &PhantomBehavior) -> HostAt {
        let facts = draw::hosts(self.day, 1, "ghost").swap_remove(0);
        let place = self.place_host(facts);
        if *kind != PhantomBehavior::Refuse {
            self.host_starts(place, false);
        }
        let host = &mut self.hosts[place];
        host.is_ghost = true;
        match kind {
            PhantomBehavior::Refuse => {}
            PhantomBehavior::Error => host.ailments.fails = true,
            PhantomBehavior::Silent => host.ailments.hangs = true,
        }
        place
    }

    fn ail(&mut self, places: &[HostAt], change: impl Fn(&mut HostFaults)) {
        places.iter().for_each(|place| change(&mut self.hosts[*place].ailments));
    }

    fn in_zone(&self, zone: u32) -> Vec<HostAt> {
        let inside = |n: &usize| {
            let host = &self.hosts[*n];
            host.facts.zone == zone && !host.is_ghost && !host.leaves
        };
        (0..self.hosts.len()).filter(inside).collect()
    }

    fn some_proxies(&self, share: f64, trouble: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..self.proxies.len()).collect();
        let count = (share * all.len() as f64).round() as usize;
        draw::choose_targets(self.day, trouble, &all, count.max(1))
    }

    fn note_trouble(&mut self, trouble: &ScheduledFault, on: bool) {
        let channel_slower = match (&trouble.kind, on) {
            (FaultKind::SlowUpdateChannel { factor }, true) => *factor,
            (FaultKind::SlowUpdateChannel { .. }, false) => 1.0,
            _ => 0.0,
        };
        let (name, note) = (trouble.recorded_name(), trouble.kind.recorded_note());
        self.note(EventKind::InjectedFault(railhub_record::InjectedFault {
            name,
            active: on,
            note,
            channel_slowdown: channel_slower,
        }));
    }

    pub fn trouble_on(&mut self, number: usize) {
        let trouble = self.day.faults[number].clone();
        self.note_trouble(&trouble, true);
        match &trouble.kind {
            FaultKind::Crash { hosts } => {
                self.choose(*hosts, number).into_iter().for_each(|place| self.crash(place));
            }
            FaultKind::Deploy { hosts, .. } => {
                self.choose(*hosts, number);
                self.pulse(number, 0);
            }
            FaultKind::Hang { hosts } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.hangs = true);
            }
            FaultKind::Slow { hosts, factor } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.slowdown *= factor);
            }
            FaultKind::ResponsesLost { hosts, fraction } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.response_loss = *fraction);
            }
            FaultKind::Pauses { hosts, .. } | FaultKind::NoisyNeighbor { hosts, .. } => {
                self.choose(*hosts, number);
                self.pulse(number, 0);
            }
            FaultKind::Growth { .. } => self.pulse(number, 0),
            FaultKind::HotKey { .. }
            | FaultKind::HeavyOperations { .. }
            | FaultKind::ClientsGiveUp { .. }
            | FaultKind::TrafficShift { .. } => {}
            FaultKind::LateReports { delay } => self.sums_later += delay,
            FaultKind::ListTruncated { hosts } => {
                let struck = self.choose(*hosts, number);
                let lies = struck.into_iter().map(|place| self.line(place, Phase::Gone)).collect();
                self.list.lie(number, Some(lies));
                self.list_changed();
            }
            FaultKind::PhantomHosts { hosts, behaviors } => {
                let places: Vec<_> =
                    (0..*hosts).map(|n| self.add_ghost(&behaviors[n % behaviors.len()])).collect();
                let lies = places.into_iter().map(|place| self.line(place, Phase::Ready)).collect();
                self.list.lie(number, Some(lies));
                self.list_changed();
            }
            FaultKind::ListUnavailable => self.list.broken = true,
            FaultKind::StoreUnavailable => self.store_away = true,
            FaultKind::ZoneOutage { zone, silent } => {
                let struck = self.in_zone(*zone);
                if *silent {
                    self.ail(&struck, |a| a.hangs = true);
                } else {
                    struck.iter().for_each(|place| self.crash(*place));
                }
                self.struck[number] = struck;
            }
            FaultKind::StreamsReset { fraction } => {
                let proxies = self.some_proxies(*fraction, number);
                proxies.into_iter().for_each(|proxy| self.stream_breaks(proxy));
            }
            FaultKind::UpdateRejected { fraction } => {
                let proxies = self.some_proxies(*fraction, number);
                proxies.into_iter().for_each(|proxy| self.proxies[proxy].refuses_next = true);
            }
            FaultKind::SlowUpdateChannel { factor } => self.channel_slower *= factor,
            FaultKind::ControllerKilled { .. } => self.kill_steward(),
            // The model has one steward, and a day with several is refused: these are of days with several.
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
        self.agenda.after(trouble.duration, Due::TroubleOff(number));
    }

    pub fn trouble_off(&mut self, number: usize) {
        let trouble = self.day.faults[number].clone();
        let struck = std::mem::take(&mut self.struck[number]);
        match &trouble.kind {
            FaultKind::Crash { .. } => struck.iter().for_each(|place| self.start_again(*place)),
            FaultKind::Hang { .. } => self.ail(&struck, |a| a.hangs = false),
            FaultKind::Slow { factor, .. } => self.ail(&struck, |a| a.slowdown /= factor),
            FaultKind::ResponsesLost { .. } => self.ail(&struck, |a| a.response_loss = 0.0),
            FaultKind::LateReports { delay } => self.sums_later -= delay,
            FaultKind::ListTruncated { .. } | FaultKind::PhantomHosts { .. } => {
                self.list.lie(number, None);
                self.list_changed();
            }
            FaultKind::ListUnavailable => {
                self.list.broken = false;
                self.list_changed();
            }
            FaultKind::StoreUnavailable => self.store_is_back(),
            FaultKind::ZoneOutage { silent: true, .. } => self.ail(&struck, |a| a.hangs = false),
            FaultKind::ZoneOutage { .. } => struck.iter().for_each(|place| self.start_again(*place)),
            FaultKind::SlowUpdateChannel { factor } => self.channel_slower /= factor,
            FaultKind::ControllerKilled { .. } => self.start_steward_soon(),
            FaultKind::SlowZoneLink { .. } => _ = self.slow_links.remove(&number),
            _ => {}
        }
        let stays = matches!(trouble.kind, FaultKind::Deploy { .. } | FaultKind::ListTruncated { .. });
        if !stays {
            struck.iter().for_each(|place| _ = self.taken.remove(place));
        }
        self.note_trouble(&trouble, false);
    }

    /// A trouble that comes in steps takes its next.
    pub fn pulse(&mut self, number: usize, step: usize) {
        let now = self.agenda.now;
        let trouble = self.day.faults[number].clone();
        let until = self.began + trouble.at + trouble.duration;
        let again = |world: &mut World, span: f64| world.agenda.after(span, Due::Pulse(number, step + 1));
        match &trouble.kind {
            FaultKind::Pauses { pause, interval, .. } if now < until => {
                let struck = self.struck[number].clone();
                self.ail(&struck, |a| a.paused_until = now + pause);
                again(self, pause + interval);
            }
            FaultKind::NoisyNeighbor { cpu_fraction, interval, .. } => {
                let times = 1.0 / (1.0 - cpu_fraction);
                let struck =
                    if self.struck[number].is_empty() { Vec::new() } else { self.struck[number].clone() };
                if step.is_multiple_of(2) && now < until {
                    self.ail(&struck, |a| a.slowdown *= times);
                    // The way back is due before the trouble forgets whom it struck.
                    let span = interval.min((until - now - 1e-6).max(0.0));
                    again(self, span);
                } else if !step.is_multiple_of(2) {
                    self.ail(&struck, |a| a.slowdown /= times);
                    again(self, *interval);
                }
            }
            FaultKind::Growth { factor, .. } => {
                let more = ((factor - 1.0) * self.day.hosts as f64).round() as usize;
                if step < more {
                    self.add_host();
                    again(self, trouble.duration / more as f64);
                }
            }
            FaultKind::Deploy { hosts, batch, drain } => {
                let leaving = self.struck[number].clone();
                let batches = leaving.len().min(*hosts).div_ceil(*batch).max(1);
                if let Some(part) = leaving.chunks(*batch).nth(step) {
                    for place in part {
                        self.drain(*place);
                        self.add_host();
                        self.agenda.after(*drain, Due::DrainEnds(*place));
                    }
                    if step + 1 < batches {
                        again(self, trouble.duration / batches as f64);
                    }
                }
            }
            _ => {}
        }
    }
}
