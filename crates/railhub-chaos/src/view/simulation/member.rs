//! A process in simulated time: a member of the cluster with its own clock and address.
use crate::fault::STARVATION_PERIOD;
use crate::view::heartbeat::Heartbeat;
use railhub_membership::messages::{Message, OutgoingMessage};
use railhub_membership::swim::Membership;
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;
use std::net::SocketAddr;

/// Seconds after the start of a time slot at which a starved process resumes; a margin for rounding errors.
const SLOT_MARGIN: f64 = 1e-6;

/// The membership protocol of a process.
pub(super) enum Protocol {
    Swim(Box<Membership>),
    Heartbeat(Heartbeat),
}

impl Protocol {
    pub fn tick(&mut self, now: f64) -> Vec<OutgoingMessage> {
        match self {
            Protocol::Swim(membership) => membership.tick(now).messages,
            Protocol::Heartbeat(heartbeat) => heartbeat.tick(now),
        }
    }

    pub fn on_message(&mut self, now: f64, message: &Message) -> Vec<OutgoingMessage> {
        match self {
            Protocol::Swim(membership) => membership.on_message(now, message).messages,
            Protocol::Heartbeat(heartbeat) => {
                heartbeat.on_message(now, message);
                Vec::new()
            }
        }
    }

    pub fn next_tick_at(&self) -> f64 {
        match self {
            Protocol::Swim(membership) => membership.next_tick_at(),
            Protocol::Heartbeat(heartbeat) => heartbeat.next_tick_at(),
        }
    }

    pub fn address(&self, id: NodeId) -> Option<SocketAddr> {
        match self {
            Protocol::Swim(membership) => membership.address(id),
            Protocol::Heartbeat(heartbeat) => heartbeat.address(id),
        }
    }

    pub fn leave(&mut self) -> Vec<OutgoingMessage> {
        match self {
            Protocol::Swim(membership) => membership.leave().messages,
            Protocol::Heartbeat(heartbeat) => heartbeat.leave(),
        }
    }

    pub fn view(&self, now: f64) -> Vec<ViewEntry> {
        match self {
            Protocol::Swim(membership) => membership.view(now),
            Protocol::Heartbeat(heartbeat) => heartbeat.view(now),
        }
    }

    pub fn process(&self) -> u64 {
        match self {
            Protocol::Swim(membership) => membership.incarnation().process,
            Protocol::Heartbeat(heartbeat) => heartbeat.process(),
        }
    }

    pub fn is_superseded(&self) -> bool {
        matches!(self, Protocol::Swim(membership) if membership.is_superseded())
    }
}

pub(super) struct SimulatedProcess {
    pub controller: u16,
    pub protocol: Protocol,
    pub address: SocketAddr,
    /// Seconds by which the clock of the process is ahead.
    pub clock_offset: f64,
    pub paused_until: f64,
    /// Fraction of time in which the process runs.
    pub running_fraction: f64,
}

impl SimulatedProcess {
    pub fn new(controller: u16, protocol: Protocol, address: SocketAddr, clock_offset: f64) -> Self {
        SimulatedProcess {
            controller,
            protocol,
            address,
            clock_offset,
            paused_until: 0.0,
            running_fraction: 1.0,
        }
    }

    /// The reading of the process's clock at a simulated time, in seconds.
    pub fn local_time(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// The time at which the process resumes; `None` unless it is paused or has used up its part of a time slot.
    pub fn resumes_at(&self, now: f64) -> Option<f64> {
        if self.paused_until > now {
            return Some(self.paused_until);
        }
        let slot = (now / STARVATION_PERIOD).floor();
        let used_fraction = now / STARVATION_PERIOD - slot;
        let is_stopped = self.running_fraction < 1.0 && used_fraction >= self.running_fraction;
        is_stopped.then_some((slot + 1.0) * STARVATION_PERIOD + SLOT_MARGIN)
    }
}
