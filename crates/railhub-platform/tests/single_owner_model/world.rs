//! The platform of the model: the store, the relay, the proxies and the controllers, in steps of simulated time.
use crate::node::{config, host_name, Node};
use crate::proxies::{HeldTable, Proxy, Stream, WriteLog};
use crate::relay::{orders, CallFault, CallInFlight, Order, Subscription, SubscriptionStage};
use railhub::{BarrierAck, BarrierId, HostId, ProxyId, SliceId};
use railhub_platform::{CallResponse, RelayEvent};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const PROXIES: usize = 2;
pub const HOSTS: usize = 3;
pub const SLICES: usize = 2;
const STEP_INTERVAL: f64 = 0.05;
const START: f64 = 1_700_000_100.0;
const HEARTBEAT_INTERVAL: f64 = 1.0;
/// Seconds without an event after which the driver ends a subscription.
const SILENCE_TIMEOUT: f64 = 2.5;
/// Seconds from the end of a subscription to the next request.
const SUBSCRIPTION_RETRY: f64 = 0.15;
/// Seconds after which a call without a response ends, and until the next call after one that failed.
const CALL_TIMEOUT: f64 = 0.25;
const CALL_RETRY: f64 = 0.1;
/// Shortest and longest time of a message, of a read of the store, and of the relay's news.
const TRANSIT_TIME: (f64, f64) = (0.1, 0.4);
const READ_TIME: (f64, f64) = (0.1, 0.5);
const NEWS_TIME: (f64, f64) = (0.0, 0.1);

/// One random step. Numbers of controllers are taken modulo the number that exist.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The endpoint list of one controller, or of all, reports that a host drains or is ready.
    ListHost {
        controller: Option<usize>,
        host: usize,
        drains: bool,
    },
    /// The store assigns a slice to a controller, or to none.
    Assign {
        slice: usize,
        controller: Option<usize>,
    },
    /// The relay is out of reach of a controller.
    CutOff {
        controller: usize,
    },
    /// It is reachable again, and what stood is reset.
    Reconnect {
        controller: usize,
    },
    ResetSubscription {
        controller: usize,
    },
    /// A subscription stands and brings nothing more, while calls work.
    SilenceSubscription {
        controller: usize,
    },
    /// SIGHUP: calls and subscriptions go to a new address of the relay.
    ReloadConfiguration {
        controller: usize,
    },
    BreakNextCall {
        controller: usize,
        fault: CallFault,
    },
    CloseStream {
        proxy: usize,
        controller: usize,
    },
    OpenStream {
        proxy: usize,
        controller: usize,
    },
    RestartProxy {
        proxy: usize,
    },
    /// The proxies keep their streams to the relay, or lose them as well.
    RestartController {
        controller: usize,
        closes_streams: bool,
    },
    Wait {
        tenths: u16,
    },
}

/// A message on its way to a proxy, or its acknowledgement on the way back.
struct Delivery {
    at: f64,
    proxy: usize,
    controller: usize,
    /// The stream that carries it.
    stream: u64,
    content: Content,
}

enum Content {
    Orders(Vec<Order>),
    Ack(BarrierId),
    ReadStore { slice: Option<usize> },
}

pub struct World {
    now: f64,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    proxies: Vec<Proxy>,
    tables: Vec<Option<HostId>>,
    assigned_to: Vec<Option<usize>>,
    deliveries: Vec<Delivery>,
    writes: WriteLog,
    next_heartbeat_at: f64,
    violations: Vec<String>,
    trace: Vec<String>,
}

impl World {
    /// Everything works, and each slice has an owner.
    pub fn new(controllers: usize, seed: u64) -> World {
        let config = config(controllers);
        let tables: Vec<Option<HostId>> =
            (0..SLICES).map(|slice| HostId::new(&host_name(slice % HOSTS))).collect();
        let held = tables.iter().map(|owner| HeldTable { owner: *owner, write_until: None }).collect();
        let proxy = Proxy { tables: held, streams: vec![Stream::default(); controllers] };
        let mut world = World {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..controllers).map(|_| Node::new(&config, START)).collect(),
            proxies: vec![proxy; PROXIES],
            tables,
            assigned_to: (0..SLICES).map(|slice| Some(slice % controllers)).collect(),
            deliveries: Vec::new(),
            writes: WriteLog::default(),
            next_heartbeat_at: START,
            violations: Vec::new(),
            trace: Vec::new(),
        };
        world.restore();
        world.wait(2.0);
        world
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// What happened, for the report of a failure.
    pub fn trace(&self) -> String {
        self.trace.join("\n")
    }

    fn record(&mut self, what: String) {
        let at = self.now - START;
        self.trace.push(format!("{at:6.2} {what}"));
    }

    /// Assigned slices whose table names no host, or one that drains.
    pub fn slices_without_owner(&self) -> Vec<usize> {
        let draining = HostId::new(&host_name(0));
        (0..SLICES).filter(|slice| self.tables[*slice].is_none() || self.tables[*slice] == draining).collect()
    }

    fn random_time(&mut self, range: (f64, f64)) -> f64 {
        self.random.random_range(range.0..range.1)
    }

    pub fn apply(&mut self, step: Step) {
        self.record(format!("{step:?}"));
        let now = self.now;
        match step {
            Step::ListHost { controller, host, drains } => {
                let only = controller.map(|controller| self.node_of(controller));
                for node in (0..self.nodes.len()).filter(|node| only.is_none_or(|only| only == *node)) {
                    self.nodes[node].list_host(now, host, drains);
                }
            }
            Step::Assign { slice, controller } => {
                let controller = controller.map(|controller| self.node_of(controller));
                self.assign(slice, controller);
            }
            Step::OpenStream { proxy, controller } => self.open_stream(proxy, self.node_of(controller)),
            Step::CloseStream { proxy, controller } => self.close_stream(proxy, self.node_of(controller)),
            Step::RestartProxy { proxy } => self.restart_proxy(proxy),
            Step::Wait { tenths } => self.wait(f64::from(tenths) / 10.0),
            Step::CutOff { controller }
            | Step::Reconnect { controller }
            | Step::ResetSubscription { controller }
            | Step::SilenceSubscription { controller }
            | Step::ReloadConfiguration { controller }
            | Step::BreakNextCall { controller, .. }
            | Step::RestartController { controller, .. } => {
                self.apply_to_node(step, self.node_of(controller))
            }
        }
    }

    /// A controller that exists.
    fn node_of(&self, number: usize) -> usize {
        number % self.nodes.len()
    }

    fn apply_to_node(&mut self, step: Step, controller: usize) {
        let (now, node) = (self.now, &mut self.nodes[controller]);
        match step {
            Step::CutOff { .. } => {
                node.is_cut_off = true;
                silence(now, node);
            }
            Step::Reconnect { .. } if node.is_cut_off => {
                node.is_cut_off = false;
                node.end_subscription(now, SUBSCRIPTION_RETRY);
            }
            Step::ResetSubscription { .. } => node.end_subscription(now, SUBSCRIPTION_RETRY),
            Step::SilenceSubscription { .. } => silence(now, node),
            Step::ReloadConfiguration { .. } => {
                node.config_version += 1;
                node.end_subscription(now, 0.0);
            }
            Step::BreakNextCall { fault, .. } => node.call_fault = Some(fault),
            Step::RestartController { closes_streams, .. } => {
                node.restart(now);
                if closes_streams {
                    (0..PROXIES).for_each(|proxy| self.close_stream(proxy, controller));
                }
            }
            _ => {}
        }
    }

    /// Ends every fault: all processes run and are connected, all slices are assigned, and only host 0 drains.
    pub fn restore(&mut self) {
        for controller in 0..self.nodes.len() {
            self.apply_to_node(Step::Reconnect { controller }, controller);
            self.nodes[controller].call_fault = None;
            (0..HOSTS).for_each(|host| self.nodes[controller].list_host(self.now, host, host == 0));
            (0..PROXIES).for_each(|proxy| self.open_stream(proxy, controller));
        }
        for slice in 0..SLICES {
            if self.assigned_to[slice].is_none() {
                self.assign(slice, Some(0));
            }
        }
    }

    pub fn wait(&mut self, duration: f64) {
        for _ in 0..(duration / STEP_INTERVAL).round() as u64 {
            self.now += STEP_INTERVAL;
            self.deliver();
            for proxy in &self.proxies {
                for slice in 0..SLICES {
                    if let Some(host) = proxy.write_target(slice, self.now) {
                        self.writes.record(slice, host, self.now);
                    }
                }
            }
            let sends_heartbeat = self.now >= self.next_heartbeat_at;
            if sends_heartbeat {
                self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
            }
            for controller in 0..self.nodes.len() {
                if sends_heartbeat {
                    self.notify(controller, RelayEvent::Heartbeat);
                }
                self.run_subscription(controller);
                self.run_call(controller);
            }
        }
    }

    // The store and the proxies.

    fn assign(&mut self, slice: usize, controller: Option<usize>) {
        if let Some(former) = self.assigned_to[slice] {
            self.notify(former, RelayEvent::SliceAssigned { slice: SliceId(slice as u16), assigned: false });
        }
        self.assigned_to[slice] = controller;
        self.proxies.iter_mut().for_each(|proxy| proxy.start_lease(slice, self.now));
        let Some(controller) = controller else { return };
        let arrives_at = self.now + self.random_time(NEWS_TIME);
        let owner = self.tables[slice];
        if let Some(subscription) = &mut self.nodes[controller].subscription {
            subscription.send_table(arrives_at, slice, owner);
        }
        for proxy in 0..PROXIES {
            self.read_store_later(proxy, controller, Some(slice));
        }
    }

    fn read_store_later(&mut self, proxy: usize, controller: usize, slice: Option<usize>) {
        let at = self.now + self.random_time(READ_TIME);
        let stream = &mut self.proxies[proxy].streams[controller];
        if stream.is_open {
            stream.read_at = stream.read_at.max(at);
            let (stream, content) = (stream.count, Content::ReadStore { slice });
            self.deliveries.push(Delivery { at, proxy, controller, stream, content });
        }
    }

    fn open_stream(&mut self, proxy: usize, controller: usize) {
        let stream = &mut self.proxies[proxy].streams[controller];
        if stream.is_open {
            return;
        }
        (stream.is_open, stream.last_arrival, stream.read_at) = (true, self.now, self.now);
        stream.count += 1;
        let first = stream.count == 1;
        self.notify(controller, RelayEvent::ProxyJoined { proxy: ProxyId(proxy as u16), first });
        self.read_store_later(proxy, controller, None);
    }

    fn close_stream(&mut self, proxy: usize, controller: usize) {
        if !std::mem::take(&mut self.proxies[proxy].streams[controller].is_open) {
            return;
        }
        for slice in (0..SLICES).filter(|slice| self.assigned_to[*slice] == Some(controller)) {
            self.proxies[proxy].start_lease(slice, self.now);
        }
        self.notify(controller, RelayEvent::ProxyLeft(ProxyId(proxy as u16)));
    }

    fn restart_proxy(&mut self, proxy: usize) {
        (0..self.nodes.len()).for_each(|controller| self.close_stream(proxy, controller));
        self.proxies[proxy].tables = vec![HeldTable::default(); SLICES];
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|delivery| delivery.at <= now);
        self.deliveries = waiting;
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        for delivery in due {
            let stream = &self.proxies[delivery.proxy].streams[delivery.controller];
            if stream.is_open && stream.count == delivery.stream {
                self.deliver_one(delivery);
            }
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        let Delivery { proxy, controller, stream, content, .. } = delivery;
        match content {
            Content::ReadStore { slice } => {
                let read = |read: &usize| slice.is_none_or(|slice| slice == *read);
                for slice in (0..SLICES).filter(read) {
                    if self.assigned_to[slice] == Some(controller) {
                        let owner = self.tables[slice];
                        self.proxies[proxy].tables[slice] = HeldTable { owner, write_until: None };
                    }
                }
            }
            Content::Orders(orders) => {
                for order in orders {
                    self.apply_at_proxy(order, proxy, controller, stream);
                }
            }
            Content::Ack(barrier) => {
                let ack = BarrierAck { proxy: ProxyId(proxy as u16), barrier };
                self.notify(controller, RelayEvent::BarrierAcked(ack));
            }
        }
    }

    /// A proxy goes by the orders of the controller that the slice is assigned to.
    fn apply_at_proxy(&mut self, order: Order, proxy: usize, controller: usize, stream: u64) {
        let held = &mut self.proxies[proxy].tables;
        match order {
            Order::SetOwner { slice, host } if self.assigned_to[slice] == Some(controller) => {
                held[slice].owner = Some(host);
            }
            Order::RemoveHost { slice, host } if self.assigned_to[slice] == Some(controller) => {
                held[slice].owner.take_if(|owner| *owner == host);
            }
            Order::Barrier(barrier) => {
                let at = self.now.max(self.proxies[proxy].streams[controller].read_at);
                let content = Content::Ack(barrier);
                self.deliveries.push(Delivery { at, proxy, controller, stream, content });
            }
            _ => {}
        }
    }

    // The relay.

    fn notify(&mut self, controller: usize, event: RelayEvent) {
        let arrives_at = self.now + self.random_time(NEWS_TIME);
        if let Some(subscription) = &mut self.nodes[controller].subscription {
            subscription.send(arrives_at, event);
        }
    }

    fn run_subscription(&mut self, controller: usize) {
        let (now, node) = (self.now, &mut self.nodes[controller]);
        match &mut node.subscription {
            None if now >= node.next_subscription_at => {
                let id = node.request_subscription();
                let confirmed_at = now + self.random.random_range(0.0..0.3);
                let stage = SubscriptionStage::Requested { confirmed_at };
                let events = Default::default();
                self.nodes[controller].subscription = Some(Subscription { id, stage, events });
            }
            None => {}
            Some(Subscription { stage: SubscriptionStage::Requested { confirmed_at }, .. }) => {
                if *confirmed_at <= now && node.is_cut_off {
                    node.end_subscription(now, SUBSCRIPTION_RETRY);
                } else if *confirmed_at <= now {
                    self.send_snapshot(controller);
                }
            }
            Some(Subscription { stage: SubscriptionStage::Silent { ends_at }, .. }) if *ends_at <= now => {
                node.end_subscription(now, SUBSCRIPTION_RETRY);
            }
            Some(subscription) => {
                let id = subscription.id;
                let events = subscription.take_arrived(now);
                for event in &events {
                    node.controller.on_relay_event(now, id, *event);
                }
                if events.iter().any(|event| *event != RelayEvent::Heartbeat) {
                    self.record(format!("controller {controller} hears {events:?}"));
                }
            }
        }
    }

    /// Confirms a subscription, and sends what stands.
    fn send_snapshot(&mut self, controller: usize) {
        let arrives_at = self.now + self.random_time(NEWS_TIME);
        let Some(subscription) = &mut self.nodes[controller].subscription else { return };
        subscription.stage = SubscriptionStage::Open;
        subscription.send(arrives_at, RelayEvent::Subscribed);
        for (number, proxy) in self.proxies.iter().enumerate() {
            let stream = &proxy.streams[controller];
            if stream.is_open {
                let (proxy, first) = (ProxyId(number as u16), stream.count == 1);
                subscription.send(arrives_at, RelayEvent::ProxyJoined { proxy, first });
            }
        }
        for slice in (0..SLICES).filter(|slice| self.assigned_to[*slice] == Some(controller)) {
            subscription.send_table(arrives_at, slice, self.tables[slice]);
        }
        if self.random.random_bool(0.5) {
            subscription.send(arrives_at, RelayEvent::Heartbeat);
        }
    }

    fn run_call(&mut self, controller: usize) {
        let now = self.now;
        self.finish_call(controller);
        let node = &mut self.nodes[controller];
        node.controller.poll(now);
        if node.controller.take_resubscribe_reason().is_some() {
            node.end_subscription(now, SUBSCRIPTION_RETRY);
        }
        if node.call.is_none() && now >= node.next_call_at {
            if let Some(call) = node.controller.next_call() {
                let orders = orders(&call);
                let executes_at = now + self.random.random_range(0.0..0.05);
                let node = &mut self.nodes[controller];
                node.call = Some(start_call(now, executes_at, orders, node));
            }
        }
    }

    /// Carries out the call in flight once it reaches the relay, and reports its end.
    fn finish_call(&mut self, controller: usize) {
        let now = self.now;
        let Some(call) = &mut self.nodes[controller].call else { return };
        if call.executes_at.take_if(|at| *at <= now).is_some() {
            let refuses = matches!(call.response, Some(CallResponse::Accepted(0)));
            let orders = if refuses { Vec::new() } else { call.orders.clone() };
            self.execute(controller, orders);
        }
        let node = &mut self.nodes[controller];
        if let Some(call) = node.call.take_if(|call| call.ends_at <= now) {
            node.controller.on_call_ended(call.response);
            if !matches!(call.response, Some(CallResponse::Accepted(_) | CallResponse::Malformed)) {
                node.next_call_at = now + CALL_RETRY;
            }
        }
    }

    /// Carries out orders in the store and sends them to the connected proxies.
    fn execute(&mut self, controller: usize, orders: Vec<Order>) {
        self.record(format!("controller {controller} orders {orders:?}"));
        for order in &orders {
            match *order {
                Order::SetOwner { slice, host } if self.assigned_to[slice] == Some(controller) => {
                    self.judge(controller, slice, host);
                    self.tables[slice] = Some(host);
                }
                Order::RemoveHost { slice, host } if self.assigned_to[slice] == Some(controller) => {
                    self.tables[slice].take_if(|owner| *owner == host);
                }
                _ => {}
            }
        }
        for proxy in 0..PROXIES {
            let at = self.now + self.random_time(TRANSIT_TIME);
            let stream = &mut self.proxies[proxy].streams[controller];
            if stream.is_open {
                stream.last_arrival = stream.last_arrival.max(at);
                let (at, stream) = (stream.last_arrival, stream.count);
                let content = Content::Orders(orders.clone());
                self.deliveries.push(Delivery { at, proxy, controller, stream, content });
            }
        }
    }

    /// Judges an order that names an owner.
    fn judge(&mut self, controller: usize, slice: usize, host: HostId) {
        let at = self.now - START;
        if let Some(owner) = self.tables[slice].filter(|owner| *owner != host) {
            self.violations.push(format!(
                "{at:.2}: controller {controller}, slice {slice}: {owner} is replaced by {host}"
            ));
        }
        if let Some(other) = self.writes.host_with_write(slice, host, self.now) {
            self.violations.push(format!(
                "{at:.2}: controller {controller}, slice {slice}: {host} is named, writes at {other}"
            ));
        }
    }
}

/// A subscription brings nothing more, until the driver ends it.
fn silence(now: f64, node: &mut Node) {
    if let Some(subscription) = &mut node.subscription {
        if matches!(subscription.stage, SubscriptionStage::Open) {
            subscription.stage = SubscriptionStage::Silent { ends_at: now + SILENCE_TIMEOUT };
            subscription.events.clear();
        }
    }
}

/// A call that leaves now, with the fate that the controller's faults give it.
fn start_call(now: f64, executes_at: f64, orders: Vec<Order>, node: &mut Node) -> CallInFlight {
    let count = orders.len();
    let lost = CallInFlight { orders, executes_at: None, ends_at: now + CALL_TIMEOUT, response: None };
    if node.is_cut_off {
        return lost;
    }
    let answered = |executes_at, response| CallInFlight {
        orders: lost.orders.clone(),
        executes_at,
        ends_at: now + 0.05,
        response: Some(response),
    };
    match node.call_fault.take() {
        None => answered(Some(executes_at), CallResponse::Accepted(count)),
        Some(CallFault::Rejected) => answered(None, CallResponse::Rejected),
        Some(CallFault::Malformed) => answered(None, CallResponse::Malformed),
        Some(CallFault::OrderRefused) => answered(Some(executes_at), CallResponse::Accepted(0)),
        Some(CallFault::AnswerLost) => CallInFlight { executes_at: Some(executes_at), ..lost },
        Some(CallFault::CallLost) => lost,
    }
}
