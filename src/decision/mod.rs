//! The decisions of a controller: a [`Controller`] receives batches of events and issues commands.
//!
//! Every batch updates the controller's state. Once a second a batch is also a tick, which evaluates health scores,
//! moves slices by load and sets admission rates. The controller acts on endpoint lists, assignments and hosts that go
//! down without waiting for a tick. The resulting changes are published as one update at the end of the batch.
//!
//! Each rule has its own module; [`Controller::handle_batch`] calls them in order.
mod admission;
mod assignment;
mod endpoint_list;
mod exclusion;
mod health_check;
mod health_score;
mod host;
mod load_estimate;
mod load_report;
mod outlier_ejection;
mod placement;
mod publish;
mod rendezvous;
mod retry_policy;
mod service_time;
mod single_owner;
mod single_table;
mod slice;
mod slow_start;
mod table;

use crate::interface::{
    BarrierAck, CommandSink, ControllerConfig, DecisionEvent, EventBatch, HostId, HostLoadReport,
    Observation, Phase, ProxyId, ProxyStreamEvent, Seconds, SliceAssignment, SliceHandoff, SliceId, TimerId,
    WeightedHost,
};
use admission::AdmissionControl;
use assignment::{apply_assignment, apply_handoff, drop_outdated_estimates, handoff, mean_reported_rate};
use endpoint_list::{apply_endpoint_list, forget_gone_hosts};
use exclusion::Exclusions;
use health_check::apply_health_check;
use health_score::TICK_INTERVAL;
use host::Host;
use load_estimate::{estimate_loads, owned_capacity, HostLoads};
use load_report::{apply_host_load, apply_slice_load};
use outlier_ejection::evaluate_outliers;
use placement::failback::fail_back;
use placement::failover::fail_over;
use placement::rebalancing::{rebalance, MoveQuota};
use placement::slice_moves::SliceMoves;
use placement::standby::choose_standbys;
use publish::{PublishState, Publisher};
use slice::Slices;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The timer of the next tick.
const TICK_TIMER: TimerId = TimerId(0);

/// Decides on the slices that are assigned to it.
#[derive(Default)]
pub struct Controller {
    config: ControllerConfig,
    /// Whether it has handled a batch.
    is_started: bool,
    /// Whether the latest batch contained every change of proxy streams and slice assignments.
    is_observing: bool,
    hosts: BTreeMap<HostId, Host>,
    slices: Slices,
    /// When it was last assigned a slice while it had none.
    first_assigned_at: Seconds,
    /// Connected proxies.
    proxies: BTreeSet<ProxyId>,
    /// When a proxy last disconnected, or may have done so unseen: it may continue to write according to the tables that
    /// it has.
    last_disconnect_at: Seconds,
    /// The host that is ejected as the outlier.
    ejected_outlier: Option<HostId>,
    admission: AdmissionControl,
    move_quota: MoveQuota,
    exclusions: Exclusions,
    publisher: Publisher,
}

impl Controller {
    /// Creates a controller without hosts and slices.
    pub fn new(config: ControllerConfig) -> Controller {
        let classes = config.classes.len();
        Controller {
            admission: AdmissionControl::new(classes),
            publisher: Publisher::new(classes),
            move_quota: MoveQuota::new(config.slice_count),
            config,
            ..Controller::default()
        }
    }

    /// The assigned slices, each with its table as last published or stored.
    pub fn assigned_tables(&self) -> impl Iterator<Item = (SliceId, &[WeightedHost])> {
        self.slices.iter().map(|(id, slice)| (*id, slice.published.as_slice()))
    }

    /// Returns the state of a slice for the next controller that it is assigned to, or `None` if the slice is not
    /// assigned to this controller.
    pub fn slice_handoff(&self, now: Seconds, slice: SliceId) -> Option<SliceHandoff> {
        Some(handoff(now, self.slices.get(&slice)?, &self.admission.rates))
    }

    /// Applies the handoff of the former controller of a slice, `age` seconds after it was made. The handoff is ignored
    /// if it is too old, the slice is not assigned, or a load report has already covered the slice.
    pub fn apply_handoff(&mut self, now: Seconds, slice: SliceId, handoff: &SliceHandoff, age: Seconds) {
        if let Some(slice) = self.slices.get_mut(&slice) {
            apply_handoff(now, slice, handoff, age);
        }
    }

    /// Handles the events since the previous batch: updates the state with all of them, then runs the rules.
    pub fn handle_batch(&mut self, batch: &EventBatch, commands: &mut impl CommandSink) {
        let now = batch.now;
        let is_tick = self.start_batch(batch);
        for list in &batch.endpoint_lists {
            apply_endpoint_list(now, list, &self.config, &mut self.hosts, commands);
        }
        self.apply_assignments(now, &batch.assignments);
        self.apply_load_reports(batch);
        let mut hosts_went_down = false;
        for result in &batch.health_checks {
            hosts_went_down |= apply_health_check(now, result, &mut self.hosts, commands);
        }
        for event in &batch.proxy_streams {
            self.apply_proxy_stream(event, batch);
        }
        if batch.observation == Observation::Resumed {
            self.apply_unseen_disconnections(now);
        }
        for ack in &batch.barrier_acks {
            self.apply_barrier_ack(now, ack);
        }
        self.apply_acknowledged_updates(now);
        for undelivered in &batch.undelivered_exclusions {
            self.exclusions.on_undelivered(now, *undelivered);
        }
        let needs_evaluation =
            hosts_went_down || !batch.endpoint_lists.is_empty() || !batch.assignments.is_empty();
        if self.config.slice_count == 0 {
            self.publish_single_table(batch, commands);
        } else if is_tick || needs_evaluation {
            self.evaluate(now, is_tick, commands);
        }
        if is_tick {
            self.end_tick(now, commands);
        }
    }

    /// Returns whether the batch is a tick: the first batch is, and every batch with an expired timer.
    fn start_batch(&mut self, batch: &EventBatch) -> bool {
        let is_first = !self.is_started;
        // Proxies that were connected before a restart of the controller may still write according to their old tables.
        if is_first {
            self.last_disconnect_at = batch.now;
        }
        self.is_started = true;
        self.is_observing = batch.observation != Observation::Interrupted;
        is_first || !batch.timers.is_empty()
    }

    /// Runs the rules in order: outlier ejection, placement, admission control, publishing.
    fn evaluate(&mut self, now: Seconds, is_tick: bool, commands: &mut impl CommandSink) {
        if is_tick {
            let is_shedding = self.admission.is_shedding();
            self.ejected_outlier =
                evaluate_outliers(now, &mut self.hosts, self.ejected_outlier, is_shedding, commands);
        }
        drop_outdated_estimates(now, &mut self.slices);
        let mut loads = self.loads(now);
        self.place_slices(now, is_tick, &mut loads, commands);
        if is_tick {
            self.admission.update(&self.config, &self.slices, &loads);
        }
        choose_standbys(&self.hosts, &loads, self.ejected_outlier, &mut self.slices);
        self.publish(now, is_tick, commands);
    }

    /// Estimates the current loads of the usable hosts.
    fn loads(&self, now: Seconds) -> HostLoads {
        estimate_loads(now, &self.config, &self.hosts, &self.slices, &self.admission.rates)
    }

    /// Moves slices, and updates `loads` with each move.
    fn place_slices(
        &mut self,
        now: Seconds,
        is_tick: bool,
        loads: &mut HostLoads,
        commands: &mut impl CommandSink,
    ) {
        let mut moves = SliceMoves {
            now,
            config: &self.config,
            hosts: &mut self.hosts,
            slices: &mut self.slices,
            loads,
            admission_rates: &self.admission.rates,
            ejected: self.ejected_outlier,
        };
        let failed_over = fail_over(&mut moves);
        if failed_over > 0 {
            commands.report(DecisionEvent::SlicesFailedOver(failed_over));
        }
        // With a single owner a move interrupts the slice for seconds, so slices leave only hosts that must be left.
        if is_tick && !self.config.single_owner {
            fail_back(&mut moves);
            rebalance(&mut moves, &mut self.move_quota);
        }
    }

    /// Publishes the tables, exclusions and admission rates that differ from the published ones.
    fn publish(&mut self, now: Seconds, is_tick: bool, commands: &mut impl CommandSink) {
        let state = PublishState {
            now,
            is_tick,
            is_observing: self.is_observing,
            config: &self.config,
            proxies: &self.proxies,
            hosts: &self.hosts,
            admission: &self.admission,
            slices: &mut self.slices,
            exclusions: &mut self.exclusions,
        };
        self.publisher.publish(state, commands);
    }

    /// Publishes the table of a key space that is not sliced, and assigns it to the proxies that connected.
    fn publish_single_table(&mut self, batch: &EventBatch, commands: &mut impl CommandSink) {
        single_table::publish(batch.now, &self.hosts, &self.config, &mut self.slices, commands);
        for event in &batch.proxy_streams {
            if event.is_connected() && self.proxies.contains(&event.proxy()) {
                commands.assign_table(single_table::TABLE, event.proxy());
            }
        }
    }

    /// Requests health checks, forgets hosts that have been gone for long, and sets the timer of the next tick.
    fn end_tick(&mut self, now: Seconds, commands: &mut impl CommandSink) {
        if self.config.health_checks_allowed {
            for (id, _) in self.hosts.iter().filter(|(_, host)| host.phase == Phase::Ready) {
                commands.check_health(*id);
            }
        }
        let (hosts, slices) = (&mut self.hosts, &mut self.slices);
        forget_gone_hosts(now, self.ejected_outlier, hosts, slices, &self.exclusions);
        self.exclusions.forget_unknown_hosts(now, &self.hosts);
        commands.set_timer(TICK_INTERVAL, TICK_TIMER);
    }

    /// Applies assigned and revoked slices.
    fn apply_assignments(&mut self, now: Seconds, assignments: &[SliceAssignment]) {
        let estimated_rate = if assignments.is_empty() { 0.0 } else { mean_reported_rate(&self.slices) };
        for assignment in assignments {
            if self.slices.is_empty() {
                self.first_assigned_at = now;
            }
            if !single_owner::is_table_history_known(&self.config, &self.slices, assignment) {
                self.publisher.backlog.forget_slice(assignment.slice());
            }
            let (hosts, slices) = (&mut self.hosts, &mut self.slices);
            apply_assignment(now, assignment, estimated_rate, &self.config, hosts, slices);
        }
    }

    fn apply_load_reports(&mut self, batch: &EventBatch) {
        for report in &batch.host_loads {
            self.apply_host_load(batch.now, report);
        }
        for report in &batch.slice_loads {
            apply_slice_load(batch.now, report, &mut self.slices);
        }
    }

    fn apply_host_load(&mut self, now: Seconds, report: &HostLoadReport) {
        let Some(host) = self.hosts.get_mut(&report.host) else { return };
        let capacity = owned_capacity(now, host, &self.config, self.slices.len());
        apply_host_load(now, report, capacity, self.first_assigned_at, &self.config, host);
    }

    /// Updates the set of connected proxies, and the exclusions and the backlog accordingly.
    fn apply_proxy_stream(&mut self, event: &ProxyStreamEvent, batch: &EventBatch) {
        let proxy = event.proxy();
        if !event.is_connected() {
            self.last_disconnect_at = batch.now;
            self.proxies.remove(&proxy);
            self.publisher.backlog.remove_proxy(proxy);
            return;
        }
        let was_connected = !self.proxies.insert(proxy);
        match event {
            ProxyStreamEvent::Connected(_) if !was_connected => self.exclusions.on_new_proxy(proxy),
            // A stream that is reported again may have ended and been established again unnoticed.
            _ => self.exclusions.on_returning_proxy(proxy),
        }
        self.publisher.on_connected(proxy, was_connected, batch.oldest_pending_at);
        self.publisher.await_cleared_tables(proxy, batch.observation);
    }

    /// After an interruption of the observation: a proxy that is not connected may have connected and disconnected
    /// meanwhile, and continue to write according to the tables that it has.
    fn apply_unseen_disconnections(&mut self, now: Seconds) {
        let are_all_connected =
            self.config.proxy_count > 0 && self.proxies.len() >= self.config.proxy_count as usize;
        if !are_all_connected {
            self.last_disconnect_at = now;
        }
    }

    fn apply_barrier_ack(&mut self, now: Seconds, ack: &BarrierAck) {
        self.publisher.backlog.acknowledge(now, ack.proxy, ack.barrier);
        self.apply_acknowledged_updates(now);
    }

    /// Removes the updates that all recipients have acknowledged from the backlog, and applies their effect.
    fn apply_acknowledged_updates(&mut self, now: Seconds) {
        let updates = self.publisher.backlog.take_acknowledged();
        // A proxy that connected unseen has not been asked.
        if self.is_observing {
            let last_disconnect_at = self.last_disconnect_at;
            single_owner::apply_acknowledged(
                now,
                &updates,
                last_disconnect_at,
                &self.config,
                &mut self.slices,
            );
        }
        self.exclusions.apply_acknowledged(self.publisher.backlog.oldest_sent_at(), &self.proxies);
    }
}
