//! Messages between controllers, and lease requests to the store with their responses.
use super::{LeaseSimulation, ScheduledEvent};
use crate::fault::FaultKind;
use crate::lease::observation::{LeaseObservation, Sabotage};
use railhub_membership::lease_manager::{Effects, LeaseManager};
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::messages::{Destination, Message, OutgoingMessage};
use rand::RngExt;

/// Minimum time between two ticks of a controller, in seconds.
const MIN_TICK_INTERVAL: f64 = 0.002;

impl LeaseSimulation<'_> {
    pub(super) fn tick(&mut self, id: u16) {
        self.with_lease_manager(id, LeaseManager::tick);
        let controller = &self.controllers[&id];
        let process = controller.process;
        let local = controller.clock.local_time(self.now);
        let until_next_tick = (controller.lease_manager.next_tick_at(local) - local) / controller.clock.speed;
        let next_tick_at = self.now + until_next_tick.max(MIN_TICK_INTERVAL);
        self.schedule(next_tick_at, ScheduledEvent::Tick { controller: id, process });
    }

    pub(super) fn on_message(&mut self, to: u16, message: &Message) {
        self.with_lease_manager(to, |lease_manager, now| lease_manager.on_message(now, message));
    }

    pub(super) fn on_lease_response(&mut self, id: u16, response: &LeaseResponse) {
        self.with_lease_manager(id, |lease_manager, now| lease_manager.on_response(now, response));
    }

    /// Calls a controller's lease manager with the controller's local time, and applies the effects.
    fn with_lease_manager(&mut self, id: u16, step: impl FnOnce(&mut LeaseManager, f64) -> Effects) {
        let Some(controller) = self.controllers.get_mut(&id) else { return };
        let effects = step(&mut controller.lease_manager, controller.clock.local_time(self.now));
        self.apply_effects(id, effects);
    }

    fn apply_effects(&mut self, id: u16, effects: Effects) {
        for message in effects.messages {
            self.send_message(id, message);
        }
        if let Some(request) = effects.lease_request {
            let delay = self.draw_message_delay();
            self.schedule(self.now + delay, ScheduledEvent::LeaseRequest { controller: id, request });
        }
        let overruns_leases = self.sabotage == Some(Sabotage::LeaseOverrun);
        let Some(controller) = self.controllers.get_mut(&id) else { return };
        controller.acquired.extend(effects.acquired);
        if overruns_leases {
            return;
        }
        for slice in effects.lost.iter().chain(&effects.expired) {
            controller.acquired.remove(slice);
        }
    }

    fn send_message(&mut self, from: u16, outgoing: OutgoingMessage) {
        let Destination::Node(to) = outgoing.to else { return };
        let is_lost = self.rng.random::<f64>() < self.config.base_loss;
        let delay = self.draw_message_delay();
        if is_lost || self.is_blocked(from, to.0) {
            return;
        }
        self.schedule(self.now + delay, ScheduledEvent::Message { to: to.0, message: outgoing.message });
    }

    /// Whether a cut or a partition blocks messages from one controller to another. The 32 bits of a partition's side are
    /// used again from controller 32 on.
    fn is_blocked(&self, from: u16, to: u16) -> bool {
        self.active_faults.kinds(self.faults).any(|kind| match *kind {
            FaultKind::Cut { from: cut_from, to: cut_to } => (from, to) == (cut_from, cut_to),
            FaultKind::Partition { side } => {
                let bit = |controller: u16| side.wrapping_shr(controller.into()) & 1;
                bit(from) != bit(to)
            }
            _ => false,
        })
    }

    pub(super) fn on_lease_request(&mut self, id: u16, request: &LeaseRequest) {
        let is_active = |kind: FaultKind| self.active_faults.includes(self.faults, &kind);
        if is_active(FaultKind::StoreUnavailable) || is_active(FaultKind::CutStore { controller: id }) {
            return;
        }
        let loses_responses = is_active(FaultKind::StoreLosesResponses);
        let store_delay = self.store_delay();
        let process = request.process;
        let decision = self.store.handle_request(self.now, request);
        for (slice, epoch) in decision.acquired {
            let (at, epoch) = (self.now, epoch.0);
            self.observations.push(LeaseObservation::Granted { at, slice, epoch, process });
        }
        if loses_responses {
            return;
        }
        let arrives_at = self.now + self.draw_message_delay() + store_delay;
        let response = decision.response;
        self.schedule(arrives_at, ScheduledEvent::LeaseResponse { controller: id, process, response });
    }

    /// Delay of the store's responses in seconds: the longest among the faults in force.
    fn store_delay(&self) -> f64 {
        let delays = self.active_faults.kinds(self.faults).map(|kind| match *kind {
            FaultKind::StoreSlow { delay } => delay,
            _ => 0.0,
        });
        delays.fold(0.0, f64::max)
    }
}
