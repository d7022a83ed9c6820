//! Begins and ends faults. Cuts, partitions and faults of the store need no code here: they are
//! checked whenever a message or a request is sent.
use super::{LeaseSimulation, ScheduledEvent};
use crate::event_queue::round_up_to_queue_resolution;
use crate::fault::{FaultKind, FLAP_HALF_PERIOD};

impl LeaseSimulation<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = &self.faults[index];
        let ends_at = self.now + fault.duration;
        self.active_faults.begin(index);
        match fault.kind {
            FaultKind::Kill { controller } => self.kill(controller),
            FaultKind::Pause { controller } => self.pause(controller, ends_at),
            FaultKind::ClockJump { controller, seconds } => self.jump_clock(controller, seconds),
            FaultKind::SlowCommands { controller, max_delay } => self.delay_commands(controller, max_delay),
            FaultKind::Drain { controller } => self.drain(controller),
            FaultKind::Flap { .. } => self.flap(index, ends_at),
            FaultKind::StoreRollback { age } => self.store.restart_from_copy(self.now, age),
            _ => {}
        }
        self.schedule(ends_at, ScheduledEvent::FaultEnds(index));
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        self.active_faults.end(index);
        match self.faults[index].kind {
            FaultKind::Kill { controller } | FaultKind::Flap { controller } => {
                self.start_if_down(controller);
            }
            FaultKind::SlowCommands { controller, .. } => self.delay_commands(controller, 0.0),
            _ => {}
        }
    }

    fn start_if_down(&mut self, id: u16) {
        if !self.controllers.contains_key(&id) {
            self.start(id);
        }
    }

    fn pause(&mut self, id: u16, until: f64) {
        let until = round_up_to_queue_resolution(until);
        if let Some(controller) = self.controllers.get_mut(&id) {
            controller.paused_until = controller.paused_until.max(until);
        }
    }

    fn jump_clock(&mut self, id: u16, seconds: f64) {
        if let Some(controller) = self.controllers.get_mut(&id) {
            controller.clock.offset += seconds;
            controller.clock.within_bound = false;
        }
    }

    fn delay_commands(&mut self, id: u16, max_delay: f64) {
        if let Some(controller) = self.controllers.get_mut(&id) {
            controller.command_delay = max_delay;
        }
    }

    fn drain(&mut self, id: u16) {
        if let Some(controller) = self.controllers.get_mut(&id) {
            controller.lease_manager.start_draining();
        }
    }

    /// Kills a flapping controller if it is running, starts it if it is not, and schedules the next change until the fault
    /// ends.
    pub(super) fn flap(&mut self, index: usize, until: f64) {
        let FaultKind::Flap { controller } = self.faults[index].kind else { return };
        if self.now >= until {
            return;
        }
        if self.controllers.contains_key(&controller) {
            self.kill(controller);
        } else {
            self.start(controller);
        }
        self.schedule(self.now + FLAP_HALF_PERIOD, ScheduledEvent::FlapToggle { index, until });
    }
}
