//! The steward in the model: its own kernel, with gates that the model empties at the channel's pace.
use crate::baseline::Plain;
use crate::events::{Due, HostAt, ProxyAt};
use crate::list::{to_list, to_record};
use crate::world::{Policy, World};
use railhub::{
    HealthCheckOutcome, HealthCheckResult, HostId, ProxyId, Seconds, SliceAssignment, SliceId, WeightedHost,
    ZoneId,
};
use railhub_controller::change::Change;
use railhub_controller::core::{
    CloseReason, ControllerCore, Environment, ProxyChannel, SessionEvent, StreamId,
};
use railhub_controller::delta_queue::{
    DeltaQueue, DeltaResponse, MessageQuota, ResponseEffect, WriterAction,
};
use railhub_controller::publication::Publication;
use railhub_external_engine::ExternalEngine;
use railhub_proto::{LoadReport, Subscribe};
use railhub_record::{ControllerLifecycle, DeltaAcknowledged, DeltaReceived, EventKind, ProxyStream};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Seconds until the list's news reach a steward, as the stand-in is asked.
const LIST_LOOK: f64 = 0.01;
/// Seconds a steward takes to start.
const START: f64 = 0.03;

/// Seconds within which verdicts of probes gather to one round, as they do while the owner's thread wakes.
const GATHER: f64 = 0.001;

/// Proxies whose outbox has something new: only they are looked at.
type Touched = Rc<RefCell<BTreeSet<ProxyAt>>>;

/// A proxy's outbox, shared with the kernel.
#[derive(Clone)]
pub struct ModelGate(Rc<RefCell<GateState>>);

struct GateState {
    outbox: DeltaQueue,
    closed: bool,
    proxy: ProxyAt,
    touched: Touched,
}

impl ModelGate {
    fn new(cap: MessageQuota, proxy: ProxyAt, touched: Touched) -> ModelGate {
        let state = GateState { outbox: DeltaQueue::new(cap), closed: false, proxy, touched };
        ModelGate(Rc::new(RefCell::new(state)))
    }
}

impl GateState {
    fn touch(&self) {
        self.touched.borrow_mut().insert(self.proxy);
    }
}

impl ProxyChannel for ModelGate {
    fn push(&self, publication: Arc<Publication>) {
        let state = &mut *self.0.borrow_mut();
        state.outbox.push(publication);
        state.touch();
    }
    fn on_response(&self, nonce: u64, response: DeltaResponse) -> ResponseEffect {
        self.0.borrow_mut().outbox.on_response(nonce, response)
    }
    fn is_idle(&self) -> bool {
        self.0.borrow().outbox.is_idle()
    }
    fn backlog_lines(&self, message_cost: f64) -> f64 {
        self.0.borrow().outbox.backlog_lines(message_cost)
    }
    fn unacknowledged_since(&self) -> Option<Seconds> {
        self.0.borrow().outbox.unacknowledged_since()
    }
    fn merged(&self) -> u64 {
        self.0.borrow().outbox.merged
    }
    fn close(&self, _: CloseReason) {
        let state = &mut *self.0.borrow_mut();
        state.closed = true;
        state.touch();
    }
}

/// What a round asked for.
#[derive(Default)]
struct Asked {
    probes: Vec<HostId>,
    stored: Vec<(SliceId, Vec<WeightedHost>)>,
}

impl Environment for Asked {
    fn check_health(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn store_table(&mut self, slice: SliceId, _: u64, entries: Vec<WeightedHost>) {
        self.stored.push((slice, entries));
    }
    fn decided(&mut self, _: &str) {}
    fn published(&mut self, _: &Change, _: u64) {}
    fn session_event(&mut self, _: ProxyId, _: SessionEvent) {}
}

/// Who steers: the kernel, or a plain policy that goes by the list.
enum Mind {
    ControllerCore(Box<ControllerCore<ModelGate>>),
    Plain(Box<Plain>),
}

pub struct Controller {
    mind: Mind,
    incarnation: u64,
    gates: Vec<Option<(StreamId, ModelGate)>>,
    sums: Vec<(StreamId, ProxyAt, Box<LoadReport>)>,
    wakes_at: f64,
    touched: Touched,
    /// Verdicts wait for a round that is due.
    gathers: bool,
}

impl World<'_> {
    pub fn start_steward(&mut self) {
        if self.policy == Policy::Fixed {
            return;
        }
        self.incarnation += 1;
        let now = self.agenda.now;
        let (controller_settings, incarnation) = (self.controller_settings.clone(), self.incarnation);
        let mind = match &self.policy {
            Policy::Baseline(policy) => Mind::Plain(Box::new(Plain::new(*policy, self.day.slices))),
            Policy::Version(program) => {
                match ExternalEngine::start(program, &controller_settings.config, self.day.zones.len()) {
                    Ok((engine, fault)) => {
                        self.faults.push(fault);
                        let engine = Box::new(engine);
                        Mind::ControllerCore(Box::new(ControllerCore::with_engine(
                            engine,
                            controller_settings,
                            incarnation,
                            now,
                        )))
                    }
                    Err(fault) => {
                        self.faults.push(Arc::new(std::sync::Mutex::new(Some(fault))));
                        return;
                    }
                }
            }
            _ => Mind::ControllerCore(Box::new(ControllerCore::new(controller_settings, incarnation, now))),
        };
        if let Mind::Plain(plain) = &mind {
            plain.wakes().into_iter().for_each(|after| self.agenda.after(after, Due::StewardWakes));
        }
        let (incarnation, gates) = (self.incarnation, vec![None; self.proxies.len()]);
        self.steward = Some(Controller {
            mind,
            incarnation,
            gates,
            sums: Vec::new(),
            wakes_at: f64::INFINITY,
            touched: Touched::default(),
            gathers: false,
        });
        self.note(EventKind::ControllerLifecycle(ControllerLifecycle {
            running: true,
            ..ControllerLifecycle::default()
        }));
        if self.day.slices > 0 && !self.store_away {
            self.give_charges();
        }
        if let Some(lines) = self.list.whole() {
            self.hear_list(true, &lines);
        }
        for proxy in std::mem::take(&mut self.waits_to_dial) {
            self.agenda.after(self.physics.message_latency, Due::Dials(proxy));
        }
    }

    pub fn start_steward_soon(&mut self) {
        self.agenda.after(START, Due::StewardStarts);
    }

    pub fn kill_steward(&mut self) {
        let Some(steward) = self.steward.take() else { return };
        self.note(EventKind::ControllerLifecycle(ControllerLifecycle {
            running: false,
            ..ControllerLifecycle::default()
        }));
        for proxy in 0..steward.gates.len() {
            if steward.gates[proxy].is_some() {
                self.stream_ends(proxy);
            }
        }
    }

    fn give_charges(&mut self) {
        let entry = |(host, weight): &(std::net::SocketAddr, f64)| WeightedHost {
            host: HostId::from(*host),
            weight: *weight,
        };
        let tables = self.tables.iter().map(|(slice, lines)| SliceAssignment::Assigned {
            slice: SliceId(*slice as u16),
            entries: lines.iter().map(entry).collect(),
        });
        let charges: Vec<SliceAssignment> = tables.collect();
        match self.steward.as_mut().map(|steward| &mut steward.mind) {
            Some(Mind::ControllerCore(kernel)) => kernel.on_assignments(charges),
            Some(Mind::Plain(plain)) => plain.hear_charges(&charges),
            None => {}
        }
    }

    /// The store answers again: what waited is written, and a steward that waits gets its slices.
    pub fn store_is_back(&mut self) {
        self.store_away = false;
        for (slice, lines) in std::mem::take(&mut self.unstored) {
            self.tables.insert(slice, lines);
        }
        let waits = |steward: &Controller| matches!(&steward.mind, Mind::ControllerCore(kernel) if !kernel.is_ready());
        if self.steward.as_ref().is_some_and(waits) {
            self.give_charges();
            self.steward_acts();
        }
    }

    /// The list has news, some time from now at the most.
    pub fn list_changed(&mut self) {
        self.agenda.after(LIST_LOOK, Due::ListTells);
    }

    pub fn list_tells(&mut self) {
        if self.steward.is_none() {
            return;
        }
        if let Some(news) = self.list.news() {
            self.hear_list(false, &news);
        }
    }

    fn hear_list(&mut self, whole: bool, lines: &[(std::net::SocketAddr, crate::list::Line)]) {
        self.note(EventKind::EndpointsReceived(to_record(whole, lines)));
        self.known.extend(lines.iter().copied());
        let list = to_list(whole, lines);
        match self.steward.as_mut().map(|steward| &mut steward.mind) {
            Some(Mind::ControllerCore(kernel)) => kernel.on_endpoint_list(list),
            Some(Mind::Plain(_)) => self.plain_acts(),
            None => {}
        }
        self.steward_acts();
    }

    /// A plain policy publishes what it wants changed.
    fn plain_acts(&mut self) {
        let (incarnation, now) = (self.incarnation, self.agenda.now);
        let Some(steward) = self.steward.as_mut() else { return };
        let Mind::Plain(plain) = &mut steward.mind else { return };
        let Some((change, version)) = plain.changes(&self.known) else { return };
        let publication = Arc::new(Publication::new(change, incarnation, version, now, None));
        steward.gates.iter().flatten().for_each(|(_, gate)| gate.push(publication.clone()));
    }

    /// A plain policy that goes by sums looks at them.
    fn plain_wakes(&mut self) {
        let now = self.agenda.now;
        let Some(steward) = self.steward.as_mut() else { return };
        let Mind::Plain(plain) = &mut steward.mind else { return };
        plain.hear_sums(now, steward.sums.drain(..).map(|(_, _, sums)| sums));
        plain.wakes().into_iter().for_each(|after| self.agenda.after(after, Due::StewardWakes));
        self.plain_acts();
        self.steward_acts();
    }

    pub fn steward_wakes(&mut self) {
        match self.steward.as_ref().map(|steward| &steward.mind) {
            Some(Mind::Plain(_)) => self.plain_wakes(),
            _ => self.steward_acts(),
        }
    }

    /// Lets the kernel act on what it has heard, and carries out what it asks for.
    pub fn steward_acts(&mut self) {
        let now = self.agenda.now;
        let Some(steward) = self.steward.as_mut() else { return };
        steward.gathers = false;
        let mut asked = Asked::default();
        if let Mind::ControllerCore(kernel) = &mut steward.mind {
            if !kernel.is_ready() {
                return;
            }
            kernel.admit_sessions(now);
            if kernel.take_due_timers(now) {
                for (stream, proxy, sums) in steward.sums.drain(..) {
                    let zone = ZoneId(self.proxies[proxy].zone as u16);
                    kernel.on_load_report(stream, ProxyId(proxy as u16), zone, &sums);
                }
                kernel.flush_load_reports(now);
            }
            kernel.process(now, || now, &mut asked);
            kernel.end_stalled_sessions(now, &mut asked);
            if let Some(due) =
                kernel.next_timer_due().filter(|due| *due < steward.wakes_at || steward.wakes_at <= now)
            {
                steward.wakes_at = due;
                self.agenda.at(due, Due::StewardWakes);
            }
        }
        for host in asked.probes {
            if let Some(place) = host.address().and_then(|address| self.places.get(&address).copied()) {
                self.agenda.after(self.physics.message_latency, Due::Probed(place));
            }
        }
        for (slice, entries) in asked.stored {
            let lines =
                entries.iter().filter_map(|entry| Some((entry.host.address()?, entry.weight))).collect();
            let to = if self.store_away { &mut self.unstored } else { &mut self.tables };
            to.insert(u32::from(slice.0), lines);
        }
        self.mail_touched();
    }

    fn mail_touched(&mut self) {
        let touched = self.steward.as_ref().map(|steward| std::mem::take(&mut *steward.touched.borrow_mut()));
        touched.into_iter().flatten().for_each(|proxy| self.mail(proxy));
    }

    /// Writes what may leave for a proxy, at the channel's pace.
    pub fn mail(&mut self, proxy: ProxyAt) {
        let now = self.agenda.now;
        let gate = self.steward.as_ref().and_then(|steward| steward.gates[proxy].clone());
        let Some((stream, gate)) = gate else { return };
        if gate.0.borrow().closed {
            return self.hang_up(proxy);
        }
        loop {
            let next = gate.0.borrow_mut().outbox.next_action(now);
            match next {
                WriterAction::Wait => return,
                WriterAction::WaitUntil(until) => return self.agenda.at(until, Due::Mail(proxy)),
                WriterAction::Write(publication) => {
                    let lines = publication.change.cost() as f64 + self.day.limits.message_cost;
                    let took = lines * self.channel_slower / self.day.update_lines_per_second;
                    self.channel_free = self.channel_free.max(now) + took;
                    let arrives = self.channel_free + self.physics.message_latency;
                    self.agenda.at(arrives, Due::Delta(proxy, stream, publication));
                }
            }
        }
    }

    /// The steward ends a stream.
    fn hang_up(&mut self, proxy: ProxyAt) {
        if let Some(steward) = self.steward.as_mut() {
            steward.gates[proxy] = None;
        }
        self.stream_ends(proxy);
    }

    /// A proxy dials its steward, or waits until there is one.
    pub fn dials(&mut self, proxy: ProxyAt) {
        let now = self.agenda.now;
        let held = &self.proxies[proxy].held;
        let (held_by, version) = (held.incarnation, if held.has_gap { 0 } else { held.version });
        let zone = self.proxies[proxy].zone;
        let cap =
            MessageQuota { max_messages: self.day.limits.max_messages, window: self.day.limits.message_span };
        let Some(steward) = self.steward.as_mut() else {
            self.waits_to_dial.push(proxy);
            return;
        };
        self.last_stream += 1;
        let gate = ModelGate::new(cap, proxy, steward.touched.clone());
        let stream = StreamId(self.last_stream);
        steward.gates[proxy] = Some((stream, gate.clone()));
        self.proxies[proxy].stream = Some(stream);
        let process = proxy as u64 + 1;
        let subscribe = Subscribe { proxy: proxy as u32, zone, process, incarnation: held_by, version };
        match &mut steward.mind {
            Mind::ControllerCore(kernel) => {
                kernel.on_subscribe(now, stream, subscribe, gate, &mut Asked::default())
            }
            Mind::Plain(plain) => {
                let (whole, version) = plain.whole();
                gate.push(Arc::new(Publication::new(whole, steward.incarnation, version, now, None)));
            }
        }
        self.note(EventKind::ProxyStream(ProxyStream { proxy: proxy as u32, open: true, controller: 0 }));
        self.steward_acts();
    }

    /// A proxy's stream breaks; it dials again some time later.
    pub fn stream_breaks(&mut self, proxy: ProxyAt) {
        let now = self.agenda.now;
        let Some(stream) = self.proxies[proxy].stream else { return };
        if let Some(steward) = self.steward.as_mut() {
            steward.gates[proxy] = None;
            if let Mind::ControllerCore(kernel) = &mut steward.mind {
                kernel.on_disconnect(now, stream, ProxyId(proxy as u16), "broken", &mut Asked::default());
            }
        }
        self.stream_ends(proxy);
        self.steward_acts();
    }

    fn stream_ends(&mut self, proxy: ProxyAt) {
        if self.proxies[proxy].stream.take().is_none() {
            return;
        }
        self.note(EventKind::ProxyStream(ProxyStream { proxy: proxy as u32, open: false, controller: 0 }));
        let pause = self.proxies[proxy].random() * self.day.max_reconnect_delay;
        self.agenda.after(pause, Due::Dials(proxy));
    }

    pub fn delta_arrives(&mut self, proxy: ProxyAt, stream: StreamId, publication: &Publication) {
        if self.proxies[proxy].stream != Some(stream) {
            return;
        }
        let Publication { change, incarnation, version, published_at, .. } = publication;
        let delta = change.to_delta(*incarnation, *version, *published_at);
        self.note(EventKind::DeltaReceived(DeltaReceived {
            proxy: proxy as u32,
            delta: delta.clone(),
            controller: 0,
        }));
        let state = &mut self.proxies[proxy];
        let refuses = std::mem::take(&mut state.refuses_next);
        let refused = refuses || state.held.apply(&delta).is_err();
        state.held.has_gap |= refused;
        self.note(EventKind::DeltaAcknowledged(DeltaAcknowledged {
            proxy: proxy as u32,
            nonce: *version,
            rejected: refused,
            ..DeltaAcknowledged::default()
        }));
        self.agenda.after(self.physics.message_latency, Due::Word(proxy, stream, *version, refused));
    }

    pub fn word_arrives(&mut self, proxy: ProxyAt, stream: StreamId, nonce: u64, refused: bool) {
        let now = self.agenda.now;
        let response = if refused { DeltaResponse::Nack } else { DeltaResponse::Ack };
        let Some(steward) = self.steward.as_mut() else { return };
        match &mut steward.mind {
            Mind::ControllerCore(kernel) => {
                kernel.on_delta_response(now, ProxyId(proxy as u16), stream, nonce, response);
                kernel.admit_sessions(now);
                kernel.process(now, || now, &mut Asked::default());
            }
            Mind::Plain(_) => {
                if let Some((_, gate)) = steward.gates[proxy].as_ref().filter(|gate| gate.0 == stream) {
                    gate.on_response(nonce, response);
                }
            }
        }
        self.mail(proxy);
        self.mail_touched();
    }

    pub fn reports(&mut self, proxy: ProxyAt) {
        let now = self.agenda.now;
        let sums = self.proxies[proxy].totals.take_report(now);
        let late = self.day.report_delay + self.sums_later;
        self.agenda.after(late, Due::SumsArrive(proxy, Box::new(sums)));
        self.agenda.after(self.day.report_interval, Due::Reports(proxy));
    }

    pub fn sums_arrive(&mut self, proxy: ProxyAt, sums: Box<LoadReport>) {
        let stream = self.proxies[proxy].stream;
        if let (Some(stream), Some(steward)) = (stream, self.steward.as_mut()) {
            steward.sums.push((stream, proxy, sums));
        }
    }

    pub fn probed(&mut self, place: HostAt) {
        let (now, within) = (self.agenda.now, self.controller_settings.health_check_timeout);
        let host = &self.hosts[place];
        let still = (host.ailments.paused_until - now).max(0.0);
        let took = still + self.day.health_check_work * host.ailments.slowdown / host.facts.speed;
        let (end, after) = if !host.alive {
            (HealthCheckOutcome::Unreachable, self.physics.message_latency)
        } else if host.ailments.hangs || took > within {
            (HealthCheckOutcome::Failed, within)
        } else if host.ailments.fails {
            (HealthCheckOutcome::Failed, took)
        } else if host.ailments.drains {
            (HealthCheckOutcome::Rejected, took)
        } else {
            (HealthCheckOutcome::Passed, took)
        };
        self.agenda.after(after, Due::ProbeEnds(place, end));
    }

    pub fn probe_ends(&mut self, place: HostAt, end: HealthCheckOutcome) {
        let host = HostId::from(self.hosts[place].address);
        if let Some(Mind::ControllerCore(kernel)) = self.steward.as_mut().map(|steward| &mut steward.mind) {
            kernel.on_health_check(HealthCheckResult { host, outcome: end });
            let steward = self.steward.as_mut().expect("its kernel has just heard");
            if !std::mem::replace(&mut steward.gathers, true) {
                self.agenda.after(GATHER, Due::StewardWakes);
            }
        }
    }
}
