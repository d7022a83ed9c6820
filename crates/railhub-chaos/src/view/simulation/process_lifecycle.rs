//! Starts and ends processes in simulated time, and assigns their process numbers and addresses.
use super::member::{Protocol, SimulatedProcess};
use super::{ScheduledEvent, ViewSimulation};
use crate::fault::CLOCK_SETBACK_MICROSECONDS;
use crate::view::heartbeat::Heartbeat;
use crate::view::observation::{Node, ViewObservation};
use crate::view::options::SEED_MEMBERS;
use railhub_membership::member::{Member, NodeMetadata};
use railhub_membership::swim::{Membership, MembershipConfig};
use railhub_membership::NodeId;
use rand::RngExt;
use std::net::SocketAddr;

/// Reading of the clock from which process numbers are taken at the start of a run, in microseconds. It is high enough to
/// be set back several times.
const START_MICROSECONDS: u64 = 10 * CLOCK_SETBACK_MICROSECONDS;
/// Minimum difference between the numbers of two processes that start one after the other.
const PROCESS_NUMBER_STEP: u64 = 1000;
/// Microseconds per second.
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Maximum time in seconds by which a process's clock is ahead.
const MAX_CLOCK_OFFSET: f64 = 1000.0;
/// Seconds after which a member that is gone is forgotten, unless the options of the run set another value.
const DEFAULT_FORGET_AFTER: f64 = 600.0;

impl ViewSimulation<'_> {
    pub(super) fn new_address(&mut self) -> SocketAddr {
        self.last_port += 1;
        SocketAddr::from(([127, 0, 0, 1], self.last_port))
    }

    pub(super) fn next_process_number(&self) -> u64 {
        let elapsed_microseconds = (self.now * MICROSECONDS_PER_SECOND) as u64;
        let order = self.last_node as u64 * PROCESS_NUMBER_STEP;
        START_MICROSECONDS + order + elapsed_microseconds + u64::from(self.last_port)
    }

    pub(super) fn start_if_down(&mut self, controller: u16, process: u64) {
        if !self.current_nodes.contains_key(&controller) {
            self.start(controller, self.addresses[&controller], process);
        }
    }

    pub(super) fn start(&mut self, controller: u16, address: SocketAddr, process: u64) {
        self.last_node += 1;
        let node = Node(self.last_node);
        let clock_offset = self.rng.random::<f64>() * MAX_CLOCK_OFFSET;
        let protocol = self.new_protocol(controller, address, process, self.now + clock_offset);
        let process = SimulatedProcess::new(controller, protocol, address, clock_offset);
        self.processes.insert(node, process);
        self.current_nodes.insert(controller, node);
        self.addresses.insert(controller, address);
        self.observations.push(ViewObservation::Started { at: self.now, node, controller });
        self.schedule(self.now, ScheduledEvent::Tick(node));
    }

    fn new_protocol(&mut self, controller: u16, address: SocketAddr, process: u64, local: f64) -> Protocol {
        let metadata =
            NodeMetadata { address: Some(address), program_version: "sim".into(), ..NodeMetadata::default() };
        let member = Member::alive(NodeId(controller), process, metadata);
        if self.options.uses_heartbeats {
            return Protocol::Heartbeat(Heartbeat::new(member, self.seeds(controller, u16::MAX), local));
        }
        let forgets = self.options.forget_after > 0.0;
        let config = MembershipConfig {
            seeds: self.seeds(controller, SEED_MEMBERS),
            forget_after: if forgets { self.options.forget_after } else { DEFAULT_FORGET_AFTER },
            without: self.options.without,
        };
        Protocol::Swim(Box::new(Membership::new(member, config, local, self.rng.random())))
    }

    /// The addresses through which a controller joins the cluster.
    fn seeds(&self, controller: u16, seed_members: u16) -> Vec<SocketAddr> {
        let seeds = self.addresses.iter().filter(|(id, _)| **id != controller && **id < seed_members);
        seeds.map(|(_, address)| *address).collect()
    }

    pub(super) fn kill(&mut self, controller: u16) {
        let Some(node) = self.current_nodes.remove(&controller) else { return };
        self.processes.remove(&node);
        self.observations.push(ViewObservation::Ended { at: self.now, node, controller });
    }
}
