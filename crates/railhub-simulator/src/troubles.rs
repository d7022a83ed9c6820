//! The troubles of a day, as the stand-ins play them.
use crate::events::{Due, HostAt};
use crate::list::Line;
use crate::world::World;
use railhub::Phase;
use railhub_emulator::host::HostFaults;
use railhub_record::{EventKind, HostStarted, HostStopped};
use railhub_scenario::draw;
use railhub_scenario::troubles::{choose, Act, Ghost, Trouble};
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
        let chosen = choose(self.day, trouble, &free, count);
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
        self.tell(self.day.roster_notice, place, "gone");
    }

    fn start_again(&mut self, place: HostAt) {
        if self.hosts[place].leaves || self.hosts[place].alive {
            return;
        }
        self.host_starts(place, true);
        let late = self.day.roster_add.max(self.day.roster_notice + NOTICE_ORDER);
        self.tell(late, place, "ready");
    }

    fn drain(&mut self, place: HostAt) {
        self.hosts[place].leaves = true;
        self.hosts[place].ailments.drains = true;
        self.tell(self.day.roster_add, place, "draining");
    }

    pub fn drain_ends(&mut self, place: HostAt) {
        self.host_dies(place);
        self.tell(self.day.roster_add, place, "gone");
    }

    fn add_host(&mut self) {
        let count = self.hosts.len();
        let drawn = draw::hosts(self.day, self.day.hosts, &format!("host {count}"));
        let mut facts = drawn[count % self.day.hosts].clone();
        facts.zone = (count % self.day.zones.len()) as u32;
        let place = self.place_host(facts);
        self.host_starts(place, true);
        self.tell(self.day.roster_add, place, "ready");
    }

    fn add_ghost(&mut self, kind: &Ghost) -> HostAt {
        let facts = draw::hosts(self.day, 1, "ghost").swap_remove(0);
        let place = self.place_host(facts);
        if *kind != Ghost::Refuse {
            self.host_starts(place, false);
        }
        let host = &mut self.hosts[place];
        host.is_ghost = true;
        match kind {
            Ghost::Refuse => {}
            Ghost::Error => host.ailments.fails = true,
            Ghost::Silent => host.ailments.hangs = true,
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
        choose(self.day, trouble, &all, count.max(1))
    }

    fn note_trouble(&mut self, trouble: &Trouble, on: bool) {
        let channel_slower = match (&trouble.act, on) {
            (Act::SlowChannel { times }, true) => *times,
            (Act::SlowChannel { .. }, false) => 1.0,
            _ => 0.0,
        };
        let (name, note) = (format!("{} ({})", trouble.name, trouble.kind), format!("{:?}", trouble.act));
        self.note(EventKind::InjectedFault(railhub_record::InjectedFault {
            name,
            active: on,
            note,
            channel_slowdown: channel_slower,
        }));
    }

    pub fn trouble_on(&mut self, number: usize) {
        let trouble = self.day.troubles[number].clone();
        self.note_trouble(&trouble, true);
        match &trouble.act {
            Act::Crash { hosts } => {
                self.choose(*hosts, number).into_iter().for_each(|place| self.crash(place));
            }
            Act::Deploy { hosts, .. } => {
                self.choose(*hosts, number);
                self.pulse(number, 0);
            }
            Act::Hang { hosts } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.hangs = true);
            }
            Act::Slow { hosts, times } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.slowdown *= times);
            }
            Act::AnswersLost { hosts, share } => {
                let struck = self.choose(*hosts, number);
                self.ail(&struck, |a| a.response_loss = *share);
            }
            Act::Pauses { hosts, .. } | Act::Neighbour { hosts, .. } => {
                self.choose(*hosts, number);
                self.pulse(number, 0);
            }
            Act::Growth { .. } => self.pulse(number, 0),
            Act::HotKey { .. } | Act::Heavy { .. } | Act::GiveUp { .. } | Act::Shift { .. } => {}
            Act::LateSums { by } => self.sums_later += by,
            Act::ListShrinks { hosts } => {
                let struck = self.choose(*hosts, number);
                let lies = struck.into_iter().map(|place| self.line(place, Phase::Gone)).collect();
                self.list.lie(number, Some(lies));
                self.list_changed();
            }
            Act::Ghosts { hosts, kinds } => {
                let places: Vec<_> = (0..*hosts).map(|n| self.add_ghost(&kinds[n % kinds.len()])).collect();
                let lies = places.into_iter().map(|place| self.line(place, Phase::Ready)).collect();
                self.list.lie(number, Some(lies));
                self.list_changed();
            }
            Act::ListBreaks => self.list.broken = true,
            Act::StoreAway => self.store_away = true,
            Act::LostZone { zone, silent } => {
                let struck = self.in_zone(*zone);
                if *silent {
                    self.ail(&struck, |a| a.hangs = true);
                } else {
                    struck.iter().for_each(|place| self.crash(*place));
                }
                self.struck[number] = struck;
            }
            Act::BrokenStreams { share } => {
                let proxies = self.some_proxies(*share, number);
                proxies.into_iter().for_each(|proxy| self.stream_breaks(proxy));
            }
            Act::RefusedVersion { share } => {
                let proxies = self.some_proxies(*share, number);
                proxies.into_iter().for_each(|proxy| self.proxies[proxy].refuses_next = true);
            }
            Act::SlowChannel { times } => self.channel_slower *= times,
            Act::StewardKilled { .. } => self.kill_steward(),
            // The model has one steward, and a day with several is refused: these are of days with several.
            Act::StewardPaused { .. }
            | Act::StewardCut { .. }
            | Act::StewardWay { .. }
            | Act::StewardDrained { .. }
            | Act::SlowOrders { .. }
            | Act::StewardsSplit { .. }
            | Act::StewardLinks { .. }
            | Act::StoreSlow { .. }
            | Act::StoreLosesAnswers
            | Act::StoreForgets { .. } => {}
            Act::SlowLink { .. } => _ = self.slow_links.insert(number),
        }
        self.agenda.after(trouble.long, Due::TroubleOff(number));
    }

    pub fn trouble_off(&mut self, number: usize) {
        let trouble = self.day.troubles[number].clone();
        let struck = std::mem::take(&mut self.struck[number]);
        match &trouble.act {
            Act::Crash { .. } => struck.iter().for_each(|place| self.start_again(*place)),
            Act::Hang { .. } => self.ail(&struck, |a| a.hangs = false),
            Act::Slow { times, .. } => self.ail(&struck, |a| a.slowdown /= times),
            Act::AnswersLost { .. } => self.ail(&struck, |a| a.response_loss = 0.0),
            Act::LateSums { by } => self.sums_later -= by,
            Act::ListShrinks { .. } | Act::Ghosts { .. } => {
                self.list.lie(number, None);
                self.list_changed();
            }
            Act::ListBreaks => {
                self.list.broken = false;
                self.list_changed();
            }
            Act::StoreAway => self.store_is_back(),
            Act::LostZone { silent: true, .. } => self.ail(&struck, |a| a.hangs = false),
            Act::LostZone { .. } => struck.iter().for_each(|place| self.start_again(*place)),
            Act::SlowChannel { times } => self.channel_slower /= times,
            Act::StewardKilled { .. } => self.start_steward_soon(),
            Act::SlowLink { .. } => _ = self.slow_links.remove(&number),
            _ => {}
        }
        let stays = matches!(trouble.act, Act::Deploy { .. } | Act::ListShrinks { .. });
        if !stays {
            struck.iter().for_each(|place| _ = self.taken.remove(place));
        }
        self.note_trouble(&trouble, false);
    }

    /// A trouble that comes in steps takes its next.
    pub fn pulse(&mut self, number: usize, step: usize) {
        let now = self.agenda.now;
        let trouble = self.day.troubles[number].clone();
        let until = self.began + trouble.at + trouble.long;
        let again = |world: &mut World, span: f64| world.agenda.after(span, Due::Pulse(number, step + 1));
        match &trouble.act {
            Act::Pauses { pause, every, .. } if now < until => {
                let struck = self.struck[number].clone();
                self.ail(&struck, |a| a.paused_until = now + pause);
                again(self, pause + every);
            }
            Act::Neighbour { takes, every, .. } => {
                let times = 1.0 / (1.0 - takes);
                let struck =
                    if self.struck[number].is_empty() { Vec::new() } else { self.struck[number].clone() };
                if step.is_multiple_of(2) && now < until {
                    self.ail(&struck, |a| a.slowdown *= times);
                    // The way back is due before the trouble forgets whom it struck.
                    let span = every.min((until - now - 1e-6).max(0.0));
                    again(self, span);
                } else if !step.is_multiple_of(2) {
                    self.ail(&struck, |a| a.slowdown /= times);
                    again(self, *every);
                }
            }
            Act::Growth { times, .. } => {
                let more = ((times - 1.0) * self.day.hosts as f64).round() as usize;
                if step < more {
                    self.add_host();
                    again(self, trouble.long / more as f64);
                }
            }
            Act::Deploy { hosts, batch, drain } => {
                let leaving = self.struck[number].clone();
                let batches = leaving.len().min(*hosts).div_ceil(*batch).max(1);
                if let Some(part) = leaving.chunks(*batch).nth(step) {
                    for place in part {
                        self.drain(*place);
                        self.add_host();
                        self.agenda.after(*drain, Due::DrainEnds(*place));
                    }
                    if step + 1 < batches {
                        again(self, trouble.long / batches as f64);
                    }
                }
            }
            _ => {}
        }
    }
}
