//! Tests the backlog limit against a model of the channel that counts the waiting lines independently. Messages leave
//! the channel one after another, and the time at which each proxy's part of a message leaves is fixed when the channel
//! accepts the message.
use super::*;
use crate::update_backlog::Update;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const PROXIES: u16 = 60;
/// The first of the proxies that connect within one second, coming from another controller.
const FIRST_MOVED: u16 = 40;
const BACKLOG_LIMIT_LINES: f64 = 4000.0;
/// Throughput of the channel when it is not slowed down: a full backlog drains in two seconds.
const LINES_PER_SECOND: f64 = BACKLOG_LIMIT_LINES / 2.0;
/// Seconds from the time when a message leaves the channel to its acknowledgement.
const ACK_DELAY: std::ops::Range<Seconds> = 0.05..0.5;
/// Fraction of the acknowledgements that are lost.
const ACK_LOSS_FRACTION: f64 = 0.01;
const STEP_INTERVAL: Seconds = 0.1;

/// One proxy's part of a message.
struct Entry {
    proxy: ProxyId,
    lines: f64,
    leaves_at: Seconds,
}

/// An acknowledgement in transit.
struct Acknowledgement {
    arrives_at: Seconds,
    ack: BarrierAck,
}

/// A message that the channel accepts late.
struct LateMessage {
    lines: f64,
    barrier: BarrierId,
}

struct ModelChannel {
    random: ChaCha8Rng,
    late: Vec<LateMessage>,
    /// When the first late message was sent.
    late_since: Option<Seconds>,
    /// When all late messages are accepted.
    accepted_at: Seconds,
    entries: VecDeque<Entry>,
    acknowledgements: Vec<Acknowledgement>,
    lines_per_second: f64,
    /// When the last entry leaves.
    free_at: Seconds,
    connected: BTreeSet<ProxyId>,
}

impl ModelChannel {
    fn new(seed: u64) -> ModelChannel {
        ModelChannel {
            random: ChaCha8Rng::seed_from_u64(seed),
            late: Vec::new(),
            late_since: None,
            accepted_at: 0.0,
            entries: VecDeque::new(),
            acknowledgements: Vec::new(),
            lines_per_second: LINES_PER_SECOND,
            free_at: 0.0,
            connected: (0..FIRST_MOVED).map(ProxyId).collect(),
        }
    }

    /// Accepts a message now, or up to one second later to model a broken connection to the channel.
    fn accept_or_delay(&mut self, now: Seconds, lines: f64, barrier: BarrierId) {
        if self.late_since.is_none() && self.random.random_bool(0.1) {
            self.late_since = Some(now);
            self.accepted_at = now + self.random.random_range(0.2..1.0);
        }
        if self.late_since.is_some() {
            self.late.push(LateMessage { lines, barrier });
        } else {
            self.send(now, lines, barrier);
        }
    }

    fn accept_late(&mut self, now: Seconds) {
        if self.late_since.is_some() && self.accepted_at <= now {
            self.late_since = None;
            for message in std::mem::take(&mut self.late) {
                self.send(now, message.lines, message.barrier);
            }
        }
    }

    /// Sends a message to each connected proxy. A proxy acknowledges its messages in order.
    fn send(&mut self, now: Seconds, lines: f64, barrier: BarrierId) {
        for proxy in self.connected.clone() {
            self.free_at = self.free_at.max(now) + lines / self.lines_per_second;
            self.entries.push_back(Entry { proxy, lines, leaves_at: self.free_at });
            let earliest = self.free_at + self.random.random_range(ACK_DELAY);
            let earlier_acks = self.acknowledgements.iter().filter(|sent| sent.ack.proxy == proxy);
            let arrives_at = earlier_acks.map(|sent| sent.arrives_at).fold(earliest, f64::max);
            self.acknowledgements.push(Acknowledgement { arrives_at, ack: BarrierAck { proxy, barrier } });
        }
    }

    /// Drops the entries that wait for a proxy. Messages sent from now on use the time that these entries would have
    /// taken.
    fn disconnect(&mut self, now: Seconds, proxy: ProxyId) {
        let lost = self.entries.iter().filter(|entry| entry.proxy == proxy && entry.leaves_at > now);
        self.free_at -= lost.map(|entry| entry.lines).sum::<f64>() / self.lines_per_second;
        self.entries.retain(|entry| entry.proxy != proxy);
        self.acknowledgements.retain(|sent| sent.ack.proxy != proxy);
        self.connected.remove(&proxy);
    }

    fn waiting_lines(&mut self, now: Seconds) -> f64 {
        while self.entries.front().is_some_and(|entry| entry.leaves_at <= now) {
            self.entries.pop_front();
        }
        self.entries.iter().map(|entry| entry.lines).sum()
    }

    fn take_acknowledgements(&mut self, now: Seconds) -> Vec<BarrierAck> {
        let arrived = self.acknowledgements.extract_if(.., |sent| sent.arrives_at <= now).collect::<Vec<_>>();
        let received = arrived.into_iter().filter(|_| !self.random.random_bool(ACK_LOSS_FRACTION));
        received.map(|sent| sent.ack).collect()
    }
}

/// Changes the owners at random before a batch, so that there is always something to publish.
fn shuffle_owners(controller: &mut Controller, random: &mut ChaCha8Rng) {
    for slice in controller.slices.values_mut() {
        slice.owner = Some(host(random.random_range(1..=4)));
        slice.standby = None;
    }
}

/// Simulates one minute in which at random times about 70 % of the proxies disconnect at once and reconnect later, on a
/// channel that is slow at times. Returns the largest backlog, as a fraction of the limit, and the number of published
/// table lines.
fn simulate_minute(seed: u64) -> (f64, usize) {
    let mut controller =
        controller(ControllerConfig { backlog_limit: BACKLOG_LIMIT_LINES, message_quota: 0, ..config() });
    controller.publisher.backlog = UpdateBacklog::default();
    let mut channel = ModelChannel::new(seed);
    let mut random = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
    let mut reconnections: Vec<(Seconds, ProxyId)> = Vec::new();
    let (mut max_fraction, mut published_lines) = (0.0_f64, 0);
    let moved_at = random.random_range(105.0..155.0);
    for proxy in (FIRST_MOVED..PROXIES).map(ProxyId) {
        reconnections.push((moved_at + random.random_range(0.0..1.0), proxy));
    }
    let first_proxies = (0..FIRST_MOVED).map(|k| ProxyStreamEvent::Connected(ProxyId(k))).collect();
    let connected = EventBatch { now: 100.5, proxy_streams: first_proxies, ..EventBatch::default() };
    controller.handle_batch(&connected, &mut RecordedCommands::default());
    for step in 0..600 {
        let now = 101.0 + STEP_INTERVAL * f64::from(step);
        if random.random_bool(0.02) {
            channel.lines_per_second = LINES_PER_SECOND / [1.0, 2.0, 4.0, 8.0][random.random_range(0..4)];
        }
        let mut proxy_streams = Vec::new();
        if random.random_bool(0.03) {
            let mut disconnecting: Vec<ProxyId> = channel.connected.iter().copied().collect();
            disconnecting.retain(|_| random.random_bool(0.7));
            for proxy in disconnecting {
                channel.disconnect(now, proxy);
                reconnections.push((now + random.random_range(0.5..2.5), proxy));
                proxy_streams.push(ProxyStreamEvent::Disconnected(proxy));
            }
        }
        for (_, proxy) in reconnections.extract_if(.., |(at, _)| *at <= now) {
            channel.connected.insert(proxy);
            proxy_streams.push(ProxyStreamEvent::Connected(proxy));
        }
        channel.accept_late(now);
        max_fraction = max_fraction.max(channel.waiting_lines(now) / BACKLOG_LIMIT_LINES);
        shuffle_owners(&mut controller, &mut random);
        let oldest_pending_at = channel.late_since;
        let timers = if step % 10 == 0 { vec![TimerId(0)] } else { Vec::new() };
        let barrier_acks = channel.take_acknowledgements(now);
        let mut commands = RecordedCommands::default();
        let streams_and_timers = EventBatch { now, proxy_streams, timers, ..EventBatch::default() };
        let batch = EventBatch { barrier_acks, oldest_pending_at, ..streams_and_timers };
        controller.handle_batch(&batch, &mut commands);
        if let Some(barrier) = commands.barriers.last() {
            let (lines, exclusions) = (commands.lines.len(), commands.exclusions.len());
            let sent = lines + exclusions + commands.admission.len() + commands.barriers.len();
            channel.accept_or_delay(now, controller.config.message_overhead + sent as f64, *barrier);
            max_fraction = max_fraction.max(channel.waiting_lines(now) / BACKLOG_LIMIT_LINES);
            published_lines += commands.lines.len();
        }
    }
    (max_fraction, published_lines)
}

#[test]
fn backlog_stays_within_limit_on_slow_channel() {
    let runs: Vec<_> = (0..300).map(simulate_minute).collect();
    for (seed, (max_fraction, published_lines)) in runs.iter().enumerate() {
        assert!(*max_fraction <= 1.0, "seed {seed}: the backlog reached {max_fraction} of the limit");
        assert!(*published_lines > 300, "seed {seed}: only {published_lines} lines published in a minute");
    }
    assert!(
        runs.iter().any(|(max_fraction, _)| *max_fraction > 0.7),
        "no run came near the limit, so the test shows nothing"
    );
}

#[test]
fn whole_update_waits_while_backlog_is_nearly_full() {
    for (fill_fraction, is_published) in [(0.89, true), (0.95, false), (1.0, false)] {
        let mut controller =
            controller(ControllerConfig { backlog_limit: 1000.0, message_overhead: 0.0, ..config() });
        controller.publisher.backlog = UpdateBacklog::default();
        let waiting = 1000.0 * fill_fraction / 2.0;
        controller.publisher.backlog.send(Update::new(
            101.0,
            BarrierId(77),
            waiting,
            controller.proxies.clone(),
        ));
        controller.admission.rates = vec![0.5; 2];
        shuffle_owners(&mut controller, &mut ChaCha8Rng::seed_from_u64(1));
        let mut commands = RecordedCommands::default();
        let lists = endpoint_update(101.5, vec![entry(1, Phase::Draining, None)]).endpoint_lists;
        controller.handle_batch(&EventBatch { endpoint_lists: lists, ..tick(101.5) }, &mut commands);
        let update =
            controller.publisher.backlog.updates().iter().find(|update| update.barrier != BarrierId(77));
        let lines = update.map_or(0.0, |update| update.lines);
        assert_eq!(!commands.admission.is_empty(), is_published, "at {fill_fraction} of the limit");
        assert!(
            2.0 * (waiting + lines) <= 1000.0,
            "at {fill_fraction} of the limit: {lines} more lines for each proxy"
        );
    }
}
