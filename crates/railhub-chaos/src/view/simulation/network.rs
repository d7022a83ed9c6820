//! Datagrams between processes in simulated time: they are encoded, tapped, captured, lost, delayed, duplicated and
//! delivered.
use super::{ScheduledEvent, ViewSimulation};
use crate::fault::MAX_CAPTURED_DATAGRAMS;
use crate::view::gossip_tap::TappedGossip;
use crate::view::observation::Node;
use railhub_membership::messages::{Destination, Message, OutgoingMessage};
use railhub_membership::packet::{decode, encode, Packet};
use rand::RngExt;
use std::net::SocketAddr;

/// Minimum delay of a datagram in seconds.
const MIN_DATAGRAM_DELAY: f64 = 0.0002;
/// Maximum delay of a datagram in seconds.
const MAX_DATAGRAM_DELAY: f64 = 0.002;
/// Maximum time in seconds for which a reordered datagram is held back.
const MAX_REORDERING_DELAY: f64 = 0.05;
/// Seconds over which captured datagrams are spread in a replay.
const REPLAY_DURATION: f64 = 1.0;
/// The name of the cluster in each datagram.
const INSTALLATION: &str = "chaos";

/// A captured datagram, which can be replayed.
#[derive(Clone)]
pub(super) struct CapturedDatagram {
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl ViewSimulation<'_> {
    pub(super) fn on_datagram(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        let receiver = self.processes.iter_mut().find(|(_, process)| process.address == to);
        let Some((node, process)) = receiver else { return };
        if let Some(resumes_at) = process.resumes_at(self.now) {
            return self.schedule(resumes_at, ScheduledEvent::Datagram { to, bytes });
        }
        let Ok(Packet::Message(message)) = decode(INSTALLATION, &bytes) else { return };
        let node = *node;
        let messages = process.protocol.on_message(process.local_time(self.now), &message);
        self.send_messages(node, messages);
    }

    pub(super) fn send_messages(&mut self, from: Node, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            let process = &self.processes[&from];
            let address = match to {
                Destination::Node(id) => process.protocol.address(id),
                Destination::Address(address) => Some(address),
            };
            let Some(address) = address else { continue };
            let controller = process.controller;
            self.tap_gossip(controller, address, &message);
            let bytes = encode(INSTALLATION, &Packet::Message(Box::new(message)));
            self.tap.on_datagram(bytes.len());
            if self.captured.len() < MAX_CAPTURED_DATAGRAMS {
                self.captured.push(CapturedDatagram { to: address, bytes: bytes.clone() });
            }
            self.send(controller, address, bytes);
        }
    }

    fn tap_gossip(&mut self, sender: u16, to: SocketAddr, message: &Message) {
        let receiver = self.controller_at(to).or_else(|| {
            let known = self.addresses.iter().find(|(_, address)| **address == to);
            known.map(|(controller, _)| *controller)
        });
        let gossip = TappedGossip { at: self.now, sender, receiver, entries: &message.gossip };
        let deaths = self.tap.on_gossip(&gossip);
        self.observations.extend(deaths);
    }

    /// The controller whose process has an address.
    fn controller_at(&self, address: SocketAddr) -> Option<u16> {
        let mut processes = self.processes.values();
        processes.find(|process| process.address == address).map(|process| process.controller)
    }

    fn send(&mut self, from: u16, to: SocketAddr, bytes: Vec<u8>) {
        let Some(receiver) = self.controller_at(to) else { return };
        if self.active_faults.blocks(self.faults, from, receiver) {
            return;
        }
        let link_faults = self.active_faults.link_faults(self.faults, self.config.base_loss);
        if self.rng.random::<f64>() < link_faults.loss {
            return;
        }
        let is_duplicated = self.rng.random::<f64>() < link_faults.duplication;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let spread = MAX_DATAGRAM_DELAY - MIN_DATAGRAM_DELAY + link_faults.jitter;
            let mut delay = MIN_DATAGRAM_DELAY + spread * self.rng.random::<f64>() + link_faults.delay;
            if self.rng.random::<f64>() < link_faults.reordering {
                delay += MAX_REORDERING_DELAY * self.rng.random::<f64>();
            }
            self.schedule(self.now + delay, ScheduledEvent::Datagram { to, bytes: bytes.clone() });
        }
    }

    /// Sends all captured datagrams again.
    pub(super) fn replay(&mut self) {
        for CapturedDatagram { to, bytes } in self.captured.clone() {
            let at = self.now + REPLAY_DURATION * self.rng.random::<f64>();
            self.schedule(at, ScheduledEvent::Datagram { to, bytes });
        }
    }
}
