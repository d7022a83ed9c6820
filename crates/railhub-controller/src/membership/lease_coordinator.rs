//! The membership thread: passes datagrams, store responses and the time to the lease manager and executes the effects
//! that it returns.
use super::cpu_meter::CpuMeter;
use super::figures::MembershipFigures;
use super::slice_sharing::SliceSharing;
use super::view_responder::{view_page, ViewRateLimiter};
use crate::core::Figures;
use crate::lease_clock::LeaseClock;
use crate::store::StoredTable;
use railhub_membership::lease_manager::{Effects, LeaseManager};
use railhub_membership::member::Load;
use railhub_membership::messages::{Destination, MemberChange, OutgoingMessage};
use railhub_membership::packet::{self, Packet, MAX_DATAGRAM_BYTES};
use railhub_membership::swim::Membership;
use railhub_membership::NodeId;
use railhub_net::{now, seconds};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait for a datagram, so that the thread notices a change of its run state.
const MAX_SLEEP_SECONDS: f64 = 0.05;
/// Shortest read time-out of the socket.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_micros(100);
/// Interval between measurements of this controller's load.
const LOAD_INTERVAL_SECONDS: f64 = 1.0;
/// Time for a leaving controller to hand its slices over. Others acquire the remaining slices once the leases expire.
const HAND_OVER_TIMEOUT_SECONDS: f64 = 2.0;
/// Interval between polls for the store's response while a request is in flight.
const STORE_POLL_INTERVAL_SECONDS: f64 = 0.004;

/// Whether the thread runs on, and how it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum RunState {
    /// Take part in the membership.
    Running,
    /// Hand the slices over, announce to the other controllers that this one leaves, and end.
    Leaving,
    /// End without a message to the other controllers, as in a crash.
    Stopping,
}

/// A [`RunState`] that the thread reads and its owner sets.
pub(super) struct AtomicRunState(AtomicU8);

impl AtomicRunState {
    pub(super) fn new() -> AtomicRunState {
        AtomicRunState(AtomicU8::new(RunState::Running as u8))
    }

    /// Requests the end of the thread. Only the first request takes effect.
    pub(super) fn request_end(&self, state: RunState) {
        let running = RunState::Running as u8;
        let _ = self.0.compare_exchange(running, state as u8, Ordering::AcqRel, Ordering::Acquire);
    }

    fn get(&self) -> RunState {
        match self.0.load(Ordering::Acquire) {
            running if running == RunState::Running as u8 => RunState::Running,
            leaving if leaving == RunState::Leaving as u8 => RunState::Leaving,
            _ => RunState::Stopping,
        }
    }
}

/// Counters shared between the thread and the rest of the process.
pub(super) struct SharedFigures {
    /// The core's figures, read for the load that is announced to the other controllers.
    pub(super) core: Arc<Mutex<Figures>>,
    /// The thread's own figures.
    pub(super) membership: Arc<Mutex<MembershipFigures>>,
}

/// Owns the lease manager and the membership socket.
pub(super) struct LeaseCoordinator {
    lease_manager: LeaseManager,
    clock: LeaseClock,
    socket: UdpSocket,
    installation: String,
    /// Present if slices are shared.
    sharing: Option<SliceSharing>,
    /// Number of slices in the installation.
    slices: u16,
    figures: MembershipFigures,
    shared_figures: SharedFigures,
    load_measured_at: f64,
    cpu: CpuMeter,
    view_requests: ViewRateLimiter,
}

impl LeaseCoordinator {
    pub(super) fn new(
        lease_manager: LeaseManager,
        clock: LeaseClock,
        socket: UdpSocket,
        installation: String,
        sharing: Option<SliceSharing>,
        slices: u16,
        shared_figures: SharedFigures,
    ) -> LeaseCoordinator {
        LeaseCoordinator {
            lease_manager,
            clock,
            socket,
            installation,
            sharing,
            slices,
            figures: MembershipFigures::default(),
            shared_figures,
            load_measured_at: 0.0,
            cpu: CpuMeter::start(clock.now()),
            view_requests: ViewRateLimiter::default(),
        }
    }

    /// The process number under which the other controllers know this process.
    pub(super) fn process(&self) -> u64 {
        self.membership().incarnation().process
    }

    fn membership(&self) -> &Membership {
        self.lease_manager.membership()
    }

    /// Runs until `run_state` requests the end.
    pub(super) fn run(mut self, run_state: &AtomicRunState) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        // A message may bring the next tick forward but never postpones it, so that a constant stream of messages
        // cannot delay ticks.
        let mut next_tick = 0.0;
        while run_state.get() == RunState::Running {
            self.poll_store();
            let now = self.clock.now();
            if now >= next_tick {
                self.tick(now);
                next_tick = self.lease_manager.next_tick_at(now);
                continue;
            }
            if let Some((length, sender)) = self.receive(&mut bytes, next_tick - now) {
                self.on_datagram(&bytes[..length], sender);
                next_tick = next_tick.min(self.lease_manager.next_tick_at(self.clock.now()));
            }
        }
        if run_state.get() == RunState::Leaving {
            self.leave();
        }
    }

    /// Waits for a datagram, but no longer than until the next tick or store poll is due.
    fn receive(&self, bytes: &mut [u8], seconds_to_tick: f64) -> Option<(usize, SocketAddr)> {
        let request_in_flight = self.lease_manager.request_in_flight();
        let max_wait = if request_in_flight { STORE_POLL_INTERVAL_SECONDS } else { MAX_SLEEP_SECONDS };
        let timeout = seconds(seconds_to_tick.min(max_wait)).max(MIN_SOCKET_TIMEOUT);
        if self.socket.set_read_timeout(Some(timeout)).is_err() {
            std::thread::sleep(timeout);
        }
        self.socket.recv_from(bytes).ok()
    }

    fn leave(&mut self) {
        if self.sharing.is_some() {
            self.hand_over();
        }
        let effects = self.lease_manager.leave();
        self.apply_effects(effects);
    }

    /// Releases all slices, as far as [`HAND_OVER_TIMEOUT_SECONDS`] allows.
    fn hand_over(&mut self) {
        self.lease_manager.start_draining();
        let deadline = now() + HAND_OVER_TIMEOUT_SECONDS;
        while now() < deadline && self.has_slices_to_release() {
            self.poll_store();
            self.tick(self.clock.now());
            std::thread::sleep(seconds(STORE_POLL_INTERVAL_SECONDS));
        }
    }

    fn has_slices_to_release(&self) -> bool {
        !self.lease_manager.is_drained() || self.lease_manager.request_in_flight()
    }

    fn tick(&mut self, now: f64) {
        if now - self.load_measured_at >= LOAD_INTERVAL_SECONDS {
            self.load_measured_at = now;
            self.measure_load(now);
        }
        let effects = self.lease_manager.tick(now);
        self.apply_leases(&effects, Vec::new());
        self.apply_effects(effects);
    }

    fn measure_load(&mut self, now: f64) {
        let cpu_cores = self.cpu.busy_cores(now);
        let proxies = self.shared_figures.core.lock().expect("no holder panics").joined as u32;
        let held_leases = self.sharing.is_some().then(|| self.lease_manager.leases().count() as u32);
        let slices = held_leases.unwrap_or(self.slices.into());
        self.lease_manager.set_load(Load { slices, proxies, cpu_cores });
        self.figures.leases = held_leases.unwrap_or(0) as usize;
        self.figures.tables_rejected =
            self.sharing.as_ref().map_or(0, |sharing| sharing.store.tables_rejected());
        self.figures.alive = self.membership().live_count();
        self.figures.sent = self.membership().messages_sent();
        self.figures.superseded = self.membership().is_superseded();
        *self.shared_figures.membership.lock().expect("no holder panics") = self.figures.clone();
    }

    /// Handles the store's response to a lease request, if one has arrived.
    fn poll_store(&mut self) {
        let response = self.sharing.as_ref().and_then(|sharing| sharing.store.take_lease_response());
        let Some(leased) = response else { return };
        let effects = self.lease_manager.on_response(self.clock.now(), &leased.response);
        self.apply_leases(&effects, leased.tables);
        self.apply_effects(effects);
    }

    fn apply_leases(&self, effects: &Effects, tables: Vec<StoredTable>) {
        if let Some(sharing) = &self.sharing {
            sharing.apply(self.lease_manager.leases(), effects, tables);
        }
    }

    fn on_datagram(&mut self, bytes: &[u8], sender: SocketAddr) {
        match packet::decode(&self.installation, bytes) {
            Ok(Packet::Message(message)) => {
                self.figures.received += 1;
                let effects = self.lease_manager.on_message(self.clock.now(), &message);
                self.apply_effects(effects);
            }
            Ok(Packet::ViewRequest { nonce, from: first_id }) => self.send_view(nonce, first_id, sender),
            Ok(Packet::View(_)) => {}
            Ok(Packet::Drain { node, process }) => self.on_drain_request(node, process),
            Err(error) => self.figures.dropped.count(error),
        }
    }

    fn on_drain_request(&mut self, node: NodeId, process: u64) {
        let is_this_process = node == self.membership().local_id() && process == self.process();
        if is_this_process && !self.lease_manager.is_draining() {
            tracing::info!("drain requested, handing slices over");
            self.lease_manager.start_draining();
        }
    }

    fn apply_effects(&mut self, effects: Effects) {
        if let (Some(request), Some(sharing)) = (effects.lease_request, &self.sharing) {
            sharing.store.request_leases(request);
        }
        for outgoing in effects.messages {
            self.send(outgoing);
        }
        for change in &effects.member_changes {
            log_view_change(change);
        }
    }

    fn send(&self, outgoing: OutgoingMessage) {
        let address = match outgoing.to {
            Destination::Node(id) => self.membership().address(id),
            Destination::Address(address) => Some(address),
        };
        let bytes = packet::encode(&self.installation, &Packet::Message(Box::new(outgoing.message)));
        if let Some(address) = address {
            // A datagram that cannot be sent counts as lost; the protocol tolerates losses.
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    fn send_view(&mut self, nonce: u64, first_id: NodeId, to: SocketAddr) {
        let now = self.clock.now();
        if !self.view_requests.allow(now) {
            self.figures.view_requests_dropped += 1;
            return;
        }
        let view = view_page(self.membership(), now, nonce, first_id, self.figures.dropped.total());
        let bytes = packet::encode(&self.installation, &Packet::View(Box::new(view)));
        let _ = self.socket.send_to(&bytes, to);
    }
}

fn log_view_change(change: &MemberChange) {
    tracing::info!(
        controller = change.id.0,
        process = change.incarnation.process,
        incarnation = change.incarnation.count,
        status = ?change.status,
        ejected = change.ejected,
        cause = change.cause,
        "membership view changed"
    );
}
