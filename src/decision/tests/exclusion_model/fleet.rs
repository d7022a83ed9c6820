//! The fleet of the model: controllers with their channels, proxies, hosts and stored tables.
use super::*;
use std::collections::VecDeque;

/// A proxy's stream to one controller, and what it holds from there.
#[derive(Clone, Default)]
struct ProxyState {
    excluded: BTreeSet<HostId>,
    is_connected: bool,
    /// Streams to this controller since the proxy started.
    streams: u32,
}

impl ProxyState {
    fn connection_event(&self, proxy: usize) -> ProxyStreamEvent {
        let proxy = ProxyId(proxy as u16);
        if self.streams == 1 {
            ProxyStreamEvent::Connected(proxy)
        } else {
            ProxyStreamEvent::Reconnected(proxy)
        }
    }
}

/// The part of an update that concerns exclusions.
#[derive(Clone)]
struct Message {
    exclusions: Vec<(HostId, bool)>,
    barrier: BarrierId,
}

/// A message on its way to a proxy.
struct Delivery {
    proxy: usize,
    arrives_at: Seconds,
    message: Message,
}

/// A controller process with its channel; its proxies and slices outlive it.
#[derive(Default)]
struct ControllerProcess {
    decisions: Option<Controller>,
    events: EventBatch,
    is_subscribed: bool,
    /// Proxies that the process knows to be connected.
    known_proxies: BTreeSet<usize>,
    is_stalled: bool,
    refuses_exclusions: bool,
    /// Messages that the channel has not accepted, and when the first one was sent.
    waiting: Vec<Message>,
    waiting_since: Option<Seconds>,
    in_transit: VecDeque<Delivery>,
    /// When messages were accepted.
    sent_at: Vec<Seconds>,
    proxies: Vec<ProxyState>,
}

pub(super) struct Fleet {
    now: Seconds,
    step: u64,
    config: ControllerConfig,
    listed: BTreeMap<u8, Phase>,
    running_hosts: BTreeSet<u8>,
    /// The stored table of each slice, and the controller that it is assigned to.
    pub(super) tables: BTreeMap<SliceId, Vec<WeightedHost>>,
    assigned_to: BTreeMap<SliceId, usize>,
    controllers: Vec<ControllerProcess>,
}

fn model_entry(number: u8, phase: Phase) -> EndpointEntry {
    entry(number, phase, None)
}

impl Fleet {
    pub(super) fn new(config: ControllerConfig) -> Fleet {
        let table = |slice: u16| vec![WeightedHost { host: host(1 + slice as u8 % HOSTS), weight: 1.0 }];
        let process = || ControllerProcess {
            proxies: vec![ProxyState::default(); PROXIES],
            ..ControllerProcess::default()
        };
        let mut fleet = Fleet {
            now: 100.0,
            step: 0,
            config,
            listed: (1..=HOSTS).map(|host| (host, Phase::Ready)).collect(),
            running_hosts: (1..=HOSTS).collect(),
            tables: (0..SLICES).map(|slice| (SliceId(slice), table(slice))).collect(),
            assigned_to: (0..SLICES)
                .map(|slice| (SliceId(slice), usize::from(slice) % CONTROLLERS))
                .collect(),
            controllers: (0..CONTROLLERS).map(|_| process()).collect(),
        };
        fleet.restore_everything_but(&BTreeSet::new());
        fleet.wait(3.0);
        fleet
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::ListHost { host, phase } => self.list_host(host, phase),
            Step::StopHost { host } => drop(self.running_hosts.remove(&host)),
            Step::StartHost { host } => drop(self.running_hosts.insert(host)),
            Step::BreakStream { proxy, controller } => self.break_stream(proxy, controller),
            Step::OpenStream { proxy, controller } => self.open_stream(proxy, controller),
            Step::RestartProxy { proxy } => {
                for controller in 0..CONTROLLERS {
                    self.break_stream(proxy, controller);
                    self.controllers[controller].proxies[proxy] = ProxyState::default();
                }
            }
            Step::KillController { controller } => self.kill_controller(controller),
            Step::StartController { controller } => self.start_controller(controller),
            Step::BreakSubscription { controller } => self.controllers[controller].is_subscribed = false,
            Step::Resubscribe { controller } => self.controllers[controller].resubscribe(),
            Step::StallChannel { controller } => self.controllers[controller].is_stalled = true,
            Step::ResumeChannel { controller } => {
                let now = self.now;
                self.controllers[controller].resume_channel(now);
            }
            Step::DropWaitingMessages { controller } => self.controllers[controller].drop_waiting_messages(),
            Step::RefuseExclusions { controller } => self.controllers[controller].refuses_exclusions = true,
            Step::MoveSlice { slice, controller } => self.move_slice(SliceId(slice), controller),
            Step::Wait { tenths } => self.wait(f64::from(tenths) * STEP_INTERVAL),
        }
    }

    pub(super) fn list_host(&mut self, number: u8, phase: Phase) {
        if phase == Phase::Gone && self.listed.remove(&number).is_none() {
            return;
        }
        if phase != Phase::Gone {
            self.listed.insert(number, phase);
        }
        let list = EndpointList { complete: false, entries: vec![model_entry(number, phase)] };
        for process in self.controllers.iter_mut().filter(|process| process.decisions.is_some()) {
            process.events.endpoint_lists.push(list.clone());
        }
    }

    fn break_stream(&mut self, proxy: usize, controller: usize) {
        let process = &mut self.controllers[controller];
        process.proxies[proxy].is_connected = false;
        process.in_transit.retain(|delivery| delivery.proxy != proxy);
        if process.is_subscribed && process.known_proxies.remove(&proxy) {
            process.events.proxy_streams.push(ProxyStreamEvent::Disconnected(ProxyId(proxy as u16)));
        }
    }

    fn open_stream(&mut self, proxy: usize, controller: usize) {
        let process = &mut self.controllers[controller];
        let state = &mut process.proxies[proxy];
        if process.decisions.is_none() || state.is_connected {
            return;
        }
        state.is_connected = true;
        state.streams += 1;
        if process.is_subscribed {
            process.known_proxies.insert(proxy);
            process.events.proxy_streams.push(state.connection_event(proxy));
        }
    }

    /// The proxies keep what they hold; messages that wait or are in transit are lost.
    fn kill_controller(&mut self, controller: usize) {
        let mut proxies = std::mem::take(&mut self.controllers[controller].proxies);
        proxies.iter_mut().for_each(|proxy| proxy.is_connected = false);
        self.controllers[controller] = ControllerProcess { proxies, ..ControllerProcess::default() };
    }

    /// The new process starts with the hosts that are listed now and its stored tables.
    fn start_controller(&mut self, controller: usize) {
        if self.controllers[controller].decisions.is_some() {
            return;
        }
        let entries = self.listed.iter().map(|(number, phase)| model_entry(*number, *phase)).collect();
        let assigned = self.assigned_to.iter().filter(|(_, assigned_to)| **assigned_to == controller);
        let assigned = assigned.map(|(slice, _)| self.assignment(*slice)).collect();
        let process = &mut self.controllers[controller];
        process.decisions = Some(Controller::new(self.config.clone()));
        process.is_subscribed = true;
        process.events.endpoint_lists.push(EndpointList { complete: true, entries });
        process.events.assignments = assigned;
        // The first batch of a controller is a tick, which sets the timer of the next one.
        process.events.timers.push(TICK_TIMER);
    }

    fn assignment(&self, slice: SliceId) -> SliceAssignment {
        SliceAssignment::Assigned { slice, entries: self.tables[&slice].clone() }
    }

    fn move_slice(&mut self, slice: SliceId, controller: usize) {
        let former = self.assigned_to[&slice];
        if former == controller || self.controllers[controller].decisions.is_none() {
            return;
        }
        self.assigned_to.insert(slice, controller);
        let assignment = self.assignment(slice);
        self.controllers[controller].events.assignments.push(assignment);
        if self.controllers[former].decisions.is_some() {
            self.controllers[former].events.assignments.push(SliceAssignment::Revoked { slice });
        }
    }

    pub(super) fn wait(&mut self, duration: Seconds) {
        for _ in 0..(duration / STEP_INTERVAL).round() as u64 {
            self.step += 1;
            self.now += STEP_INTERVAL;
            for controller in 0..CONTROLLERS {
                self.controllers[controller].deliver(self.now);
                self.run_controller(controller);
            }
        }
    }

    /// Passes the collected events to the decisions of a controller and executes their commands.
    fn run_controller(&mut self, controller: usize) {
        let now = self.now;
        let process = &mut self.controllers[controller];
        let Some(decisions) = &mut process.decisions else { return };
        let mut batch = std::mem::take(&mut process.events);
        (batch.now, batch.oldest_pending_at) = (now, process.waiting_since);
        if (self.step + controller as u64).is_multiple_of(TICK_STEPS) {
            batch.timers.push(TICK_TIMER);
        }
        let mut commands = RecordedCommands::default();
        decisions.handle_batch(&batch, &mut commands);
        for checked in &commands.health_checks {
            let is_running = self.running_hosts.iter().any(|number| host(*number) == *checked);
            let outcome =
                if is_running { HealthCheckOutcome::Passed } else { HealthCheckOutcome::Unreachable };
            process.events.health_checks.push(HealthCheckResult { host: *checked, outcome });
        }
        for (slice, host, weight) in commands.lines {
            if self.assigned_to[&slice] == controller {
                set_line(self.tables.get_mut(&slice).expect("every slice is stored"), host, weight);
            }
        }
        if let Some(barrier) = commands.barriers.last() {
            process.send(now, Message { exclusions: commands.exclusions, barrier: *barrier });
        }
    }

    /// Ends every fault: all hosts run and are listed, except for some that stay as they are, all controllers run, and
    /// all proxies are connected.
    pub(super) fn restore_everything_but(&mut self, missing_hosts: &BTreeSet<u8>) {
        for controller in 0..CONTROLLERS {
            self.start_controller(controller);
            self.controllers[controller].refuses_exclusions = false;
            self.controllers[controller].resume_channel(self.now);
            if !self.controllers[controller].is_subscribed {
                self.controllers[controller].resubscribe();
            }
            (0..PROXIES).for_each(|proxy| self.open_stream(proxy, controller));
        }
        for number in (1..=HOSTS).filter(|number| !missing_hosts.contains(number)) {
            self.running_hosts.insert(number);
            self.list_host(number, Phase::Ready);
        }
    }

    /// Whether all controllers can use a host.
    pub(super) fn is_usable(&self, number: u8) -> bool {
        self.controllers
            .iter()
            .filter_map(|process| process.decisions.as_ref())
            .all(|decisions| decisions.hosts.get(&host(number)).is_some_and(Host::is_usable))
    }

    /// Whether each proxy excludes a host, at the controllers whose tables name it.
    pub(super) fn is_excluded_where_named(
        &self,
        number: u8,
        tables: &BTreeMap<SliceId, Vec<WeightedHost>>,
    ) -> bool {
        let names_host = |table: &Vec<WeightedHost>| table.iter().any(|line| line.host == host(number));
        let naming = tables.iter().filter(|(_, table)| names_host(table));
        let mut controllers = naming.map(|(slice, _)| &self.controllers[self.assigned_to[slice]]);
        controllers.all(|process| process.proxies.iter().all(|proxy| proxy.excluded.contains(&host(number))))
    }

    /// The usable hosts that a proxy excludes, by controller and proxy.
    pub(super) fn wrongly_excluded(&self) -> Vec<(usize, usize, HostId)> {
        let mut wrong = Vec::new();
        for (controller, process) in self.controllers.iter().enumerate() {
            let Some(decisions) = &process.decisions else { continue };
            let is_usable = |host: &HostId| decisions.hosts.get(host).is_some_and(Host::is_usable);
            for (proxy, state) in process.proxies.iter().enumerate() {
                let usable = state.excluded.iter().filter(|host| is_usable(host));
                wrong.extend(usable.map(|host| (controller, proxy, *host)));
            }
        }
        wrong
    }

    /// The largest number of messages that one controller process sent within the window of the message quota.
    pub(super) fn most_messages_in_window(&self) -> usize {
        let window = self.config.message_quota_window;
        let messages_from = |sent_at: &[Seconds], from: Seconds| {
            sent_at.iter().filter(|at| (0.0..window).contains(&(**at - from))).count()
        };
        let counts = self.controllers.iter().flat_map(|process| {
            process.sent_at.iter().map(move |from| messages_from(&process.sent_at, *from))
        });
        counts.max().unwrap_or(0)
    }
}

impl ControllerProcess {
    /// Reports the streams that ended, then all that are established, as after a new subscription.
    fn resubscribe(&mut self) {
        if self.decisions.is_none() {
            return;
        }
        self.is_subscribed = true;
        for proxy in std::mem::take(&mut self.known_proxies) {
            if !self.proxies[proxy].is_connected {
                self.events.proxy_streams.push(ProxyStreamEvent::Disconnected(ProxyId(proxy as u16)));
            }
        }
        for (proxy, state) in self.proxies.iter().enumerate().filter(|(_, state)| state.is_connected) {
            self.known_proxies.insert(proxy);
            self.events.proxy_streams.push(state.connection_event(proxy));
        }
    }

    fn send(&mut self, now: Seconds, message: Message) {
        self.sent_at.push(now);
        if self.is_stalled {
            self.waiting_since.get_or_insert(now);
            self.waiting.push(message);
        } else {
            self.accept(now, message);
        }
    }

    fn accept(&mut self, now: Seconds, mut message: Message) {
        if self.refuses_exclusions && !message.exclusions.is_empty() {
            let refused = std::mem::take(&mut message.exclusions);
            let undelivered = |(host, is_excluded)| UndeliveredExclusion { host, is_excluded };
            self.events.undelivered_exclusions.extend(refused.into_iter().map(undelivered));
            self.refuses_exclusions = false;
        }
        for proxy in (0..PROXIES).filter(|proxy| self.proxies[*proxy].is_connected) {
            let arrives_at = now + TRANSIT_TIME;
            self.in_transit.push_back(Delivery { proxy, arrives_at, message: message.clone() });
        }
    }

    fn resume_channel(&mut self, now: Seconds) {
        self.is_stalled = false;
        self.waiting_since = None;
        for message in std::mem::take(&mut self.waiting) {
            self.accept(now, message);
        }
    }

    fn drop_waiting_messages(&mut self) {
        if !std::mem::take(&mut self.waiting).is_empty() {
            self.waiting_since = None;
            self.resubscribe();
        }
    }

    fn deliver(&mut self, now: Seconds) {
        while self.in_transit.front().is_some_and(|delivery| delivery.arrives_at <= now) {
            let Delivery { proxy, message, .. } = self.in_transit.pop_front().expect("checked above");
            for (host, is_excluded) in message.exclusions {
                if is_excluded {
                    self.proxies[proxy].excluded.insert(host);
                } else {
                    self.proxies[proxy].excluded.remove(&host);
                }
            }
            if self.is_subscribed {
                let ack = BarrierAck { proxy: ProxyId(proxy as u16), barrier: message.barrier };
                self.events.barrier_acks.push(ack);
            }
        }
    }
}

fn set_line(table: &mut Vec<WeightedHost>, host: HostId, weight: f64) {
    table.retain(|line| line.host != host);
    if weight > 0.0 {
        table.push(WeightedHost { host, weight });
    }
}
