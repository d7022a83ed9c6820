//! Begins and ends faults. Cuts, partitions and link faults need no code here: they are checked
//! whenever a datagram is sent.
use super::member::SimulatedProcess;
use super::{ScheduledEvent, ViewSimulation};
use crate::event_queue::round_up_to_queue_resolution;
use crate::fault::{FaultKind, CLOCK_SETBACK_MICROSECONDS, FLAP_HALF_PERIOD};
use crate::view::observation::ViewObservation;

/// Seconds from the end of a fault until the controller that it stopped starts again.
const RESTART_DELAY: f64 = 0.05;

impl ViewSimulation<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = &self.faults[index];
        let ends_at = self.now + fault.duration;
        self.observe_fault(&fault.kind, true);
        self.active_faults.begin(index);
        match fault.kind {
            FaultKind::Kill { controller } | FaultKind::RestartWithLowerNumber { controller } => {
                self.kill(controller)
            }
            FaultKind::Pause { controller } => self.pause(controller, ends_at),
            FaultKind::ClockJump { controller, seconds } => {
                self.with_process(controller, |process| process.clock_offset += seconds);
            }
            FaultKind::Starve { controller, running_fraction } => {
                self.with_process(controller, |process| process.running_fraction = running_fraction);
            }
            FaultKind::Flap { .. } => self.flap(index, ends_at),
            FaultKind::Move { controller } => {
                self.kill(controller);
                self.start_at_new_address(controller);
            }
            FaultKind::Join { controller } => {
                let process = self.next_process_number();
                self.start_if_down(controller, process);
            }
            FaultKind::DuplicateId { controller } => self.start_at_new_address(controller),
            FaultKind::Leave { controller } => self.leave(controller),
            FaultKind::SeparatePair { a, b } => self.active_faults.separate(a, b),
            FaultKind::Replay => self.replay(),
            _ => {}
        }
        self.schedule(ends_at, ScheduledEvent::FaultEnds(index));
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        self.active_faults.end(index);
        let kind = &self.faults[index].kind;
        match *kind {
            FaultKind::Kill { controller }
            | FaultKind::Flap { controller }
            | FaultKind::Leave { controller } => {
                self.schedule_restart(controller, self.next_process_number());
            }
            FaultKind::RestartWithLowerNumber { controller } => {
                let process = self.next_process_number() - CLOCK_SETBACK_MICROSECONDS;
                self.schedule_restart(controller, process);
            }
            FaultKind::Starve { controller, .. } => {
                self.with_process(controller, |process| process.running_fraction = 1.0);
            }
            _ => {}
        }
        self.observe_fault(kind, false);
    }

    fn observe_fault(&mut self, kind: &FaultKind, begins: bool) {
        self.observations.push(ViewObservation::Fault { at: self.now, begins, fault: kind.clone() });
    }

    fn pause(&mut self, controller: u16, until: f64) {
        let until = round_up_to_queue_resolution(until);
        self.with_process(controller, |process| process.paused_until = process.paused_until.max(until));
    }

    fn start_at_new_address(&mut self, controller: u16) {
        let address = self.new_address();
        let process = self.next_process_number();
        self.start(controller, address, process);
    }

    fn schedule_restart(&mut self, controller: u16, process: u64) {
        self.schedule(self.now + RESTART_DELAY, ScheduledEvent::Start { controller, process });
    }

    /// Makes a controller announce that it leaves the cluster, and ends its process.
    fn leave(&mut self, controller: u16) {
        let node = self.current_nodes.get(&controller).copied();
        if let Some(node) = node {
            let process = self.processes.get_mut(&node);
            let messages = process.map(|process| process.protocol.leave()).unwrap_or_default();
            self.send_messages(node, messages);
        }
        self.kill(controller);
    }

    fn with_process(&mut self, controller: u16, change: impl FnOnce(&mut SimulatedProcess)) {
        let node = self.current_nodes.get(&controller).copied();
        if let Some(process) = node.and_then(|node| self.processes.get_mut(&node)) {
            change(process);
        }
    }

    /// Kills a flapping controller if it is running, starts it if it is not, and schedules the next change until the fault
    /// ends.
    pub(super) fn flap(&mut self, index: usize, until: f64) {
        let FaultKind::Flap { controller } = self.faults[index].kind else { return };
        if self.now >= until {
            return;
        }
        if self.current_nodes.contains_key(&controller) {
            self.kill(controller);
        } else {
            let process = self.next_process_number();
            self.schedule(self.now, ScheduledEvent::Start { controller, process });
        }
        self.schedule(self.now + FLAP_HALF_PERIOD, ScheduledEvent::FlapToggle { index, until });
    }
}
