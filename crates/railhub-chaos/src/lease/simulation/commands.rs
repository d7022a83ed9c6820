//! Commands: a controller issues them, proxies receive and acknowledge them, and the controller repeats each command until
//! it is acknowledged.
use super::controller::{Command, PendingCommand};
use super::{LeaseSimulation, ScheduledEvent};
use crate::lease::observation::{LeaseObservation, Sabotage};
use rand::RngExt;

/// Seconds between two commands for a slice. Shorter than the maximum delay of most `SlowCommands` faults, so that
/// commands are usually in flight while such a fault lasts. Without one, a command arrives within `MAX_MESSAGE_DELAY`
/// unless its controller is paused.
const COMMAND_INTERVAL: f64 = 0.5;
/// Seconds after which a command that has not been acknowledged is repeated.
const ACKNOWLEDGEMENT_TIMEOUT: f64 = 0.8;
/// Probability that an acknowledgement is lost.
const ACKNOWLEDGEMENT_LOSS: f64 = 0.02;

impl LeaseSimulation<'_> {
    pub(super) fn schedule_first_commands(&mut self, id: u16, process: u64) {
        let phase = self.rng.random::<f64>() * COMMAND_INTERVAL;
        self.schedule(self.now + phase, ScheduledEvent::IssueCommands { controller: id, process });
    }

    /// Issues a command for every slice that a controller holds, to each proxy. Commands that fall into a pause are issued
    /// when the process resumes.
    pub(super) fn issue_commands(&mut self, id: u16) {
        let overruns_leases = self.sabotage == Some(Sabotage::LeaseOverrun);
        let controller = &self.controllers[&id];
        let process = controller.process;
        let clock_within_bound = controller.clock.within_bound;
        let max_delay = controller.command_delay;
        for (slice, epoch) in controller.commanded_slices(self.now, overruns_leases) {
            self.last_command += 1;
            let epoch = epoch.0;
            let command = Command { slice, epoch, process, number: self.last_command };
            let at = self.now;
            self.observations.push(LeaseObservation::Commanded {
                at,
                slice,
                epoch,
                process,
                clock_within_bound,
            });
            for proxy in 0..self.config.proxies {
                self.send_command(id, proxy, command.clone(), max_delay);
            }
        }
        self.repeat_commands(id, max_delay);
        self.schedule(self.now + COMMAND_INTERVAL, ScheduledEvent::IssueCommands { controller: id, process });
    }

    fn send_command(&mut self, id: u16, proxy: u16, command: Command, max_delay: f64) {
        let arrives_at = self.now + self.draw_message_delay() + max_delay * self.rng.random::<f64>();
        if let Some(controller) = self.controllers.get_mut(&id) {
            let pending = PendingCommand { sent_at: self.now, command: command.clone() };
            controller.pending_commands.insert((proxy, command.number), pending);
        }
        self.schedule(arrives_at, ScheduledEvent::CommandArrives { proxy, command, controller: id });
    }

    fn repeat_commands(&mut self, id: u16, max_delay: f64) {
        let mut overdue = Vec::new();
        for ((proxy, _), pending) in &self.controllers[&id].pending_commands {
            if self.now - pending.sent_at > ACKNOWLEDGEMENT_TIMEOUT + max_delay {
                overdue.push((*proxy, pending.command.clone()));
            }
        }
        for (proxy, command) in overdue {
            self.send_command(id, proxy, command, max_delay);
        }
    }

    pub(super) fn on_command(&mut self, proxy: u16, command: &Command, controller: u16) {
        let Command { slice, epoch, process, number } = *command;
        if self.proxies[proxy as usize].receive(command, self.sabotage) {
            let at = self.now;
            self.observations.push(LeaseObservation::Obeyed { at, proxy, slice, epoch, process, number });
        }
        if self.rng.random::<f64>() >= ACKNOWLEDGEMENT_LOSS {
            let delay = self.draw_message_delay();
            let acknowledgement = ScheduledEvent::Acknowledgement { controller, process, proxy, number };
            self.schedule(self.now + delay, acknowledgement);
        }
    }

    pub(super) fn on_acknowledgement(&mut self, id: u16, process: u64, proxy: u16, number: u64) {
        let controller = self.controllers.get_mut(&id).filter(|controller| controller.process == process);
        if let Some(controller) = controller {
            controller.pending_commands.remove(&(proxy, number));
        }
    }
}
