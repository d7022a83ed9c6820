//! The decisions of a controller: a [`Controller`] takes event batches and gives commands.
//!
//! Events change what is known at once. Once a second a batch is also a tick, which evaluates scores, moves slices by
//! load and sets admission rates. Endpoint lists, assignments and hosts that go down are acted on at once. What
//! changed leaves as one update at the end of the batch.
//!
//! Each rule is in a module of its own; [`Controller::handle_batch`] has their order.
mod admission;
mod endpoint_list;
mod exclusion;
mod health_check;
mod health_score;
mod host;
mod load_estimate;
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
    BarrierAck, CommandSink, ControllerConfig, DecisionEvent, EventBatch, HostId, HostLoadReport, Phase,
    ProxyId, ProxyStreamEvent, Seconds, SliceAssignment, SliceHandoff, SliceId, SliceLoadReport, TimerId,
    WeightedHost,
};
use admission::AdmissionControl;
use endpoint_list::{apply_endpoint_list, forget_gone_hosts};
use exclusion::Exclusions;
use health_check::apply_health_check;
use health_score::TICK_INTERVAL;
use host::Host;
use load_estimate::{
    covered_span, drop_outdated_estimates, estimate_loads, owned_capacity, typical_rate, HostLoads,
    DEMAND_AVERAGING, UNREPORTED_TIMEOUT,
};
use outlier_ejection::evaluate_outliers;
use placement::failback::fail_back;
use placement::failover::fail_over;
use placement::rebalancing::{rebalance, MoveQuota};
use placement::slice_moves::SliceMoves;
use placement::standby::choose_standbys;
use publish::{PublishState, Publisher};
use slice::{Slice, Slices};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// Decides for the slices that it is assigned.
#[derive(Default)]
pub struct Controller {
    config: ControllerConfig,
    /// It has handled a batch.
    is_started: bool,
    hosts: BTreeMap<HostId, Host>,
    slices: Slices,
    /// When it was assigned slices and had none.
    first_assigned_at: Seconds,
    /// Proxies with a stream.
    proxies: BTreeSet<ProxyId>,
    /// When a proxy last disconnected: it may go on writing by the tables that it had.
    last_disconnect_at: Seconds,
    ejected_outlier: Option<HostId>,
    admission: AdmissionControl,
    move_quota: MoveQuota,
    exclusions: Exclusions,
    publisher: Publisher,
}

impl Controller {
    /// A controller that knows no host and no slice.
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

    /// The slices that it is assigned, and the table that it believes each one has.
    pub fn assigned_tables(&self) -> impl Iterator<Item = (SliceId, &[WeightedHost])> {
        self.slices.iter().map(|(id, slice)| (*id, slice.published.as_slice()))
    }

    /// Handles all that came in since the last batch. Commands go to `commands` in the order in which they hold.
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
            self.apply_proxy_stream(now, event, batch.oldest_pending_at);
        }
        for ack in &batch.barrier_acks {
            self.apply_barrier_ack(now, ack);
        }
        self.apply_confirmed_clears(now);
        let must_act = hosts_went_down || !batch.endpoint_lists.is_empty() || !batch.assignments.is_empty();
        if self.config.slice_count == 0 {
            self.publish_single_table(now, &batch.proxy_streams, commands);
        } else if is_tick || must_act {
            self.evaluate(now, is_tick, commands);
        }
        if is_tick {
            self.end_tick(now, commands);
        }
    }

    /// Whether the batch is a tick: the first is one, and each that brings a timer.
    fn start_batch(&mut self, batch: &EventBatch) -> bool {
        let is_first = !self.is_started;
        if is_first {
            self.last_disconnect_at = batch.now;
        }
        self.is_started = true;
        is_first || !batch.timers.is_empty()
    }

    /// Runs the rules in their order: eject, place, admit, publish.
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

    fn loads(&self, now: Seconds) -> HostLoads {
        estimate_loads(now, &self.config, &self.hosts, &self.slices, &self.admission.rates)
    }

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
        // Where a slice has a single owner a move stops it for seconds: it leaves only hosts that must be left.
        if is_tick && !self.config.single_owner {
            fail_back(&mut moves);
            rebalance(&mut moves, &mut self.move_quota);
        }
    }

    fn publish(&mut self, now: Seconds, is_tick: bool, commands: &mut impl CommandSink) {
        let state = PublishState {
            now,
            is_tick,
            config: &self.config,
            proxies: &self.proxies,
            hosts: &self.hosts,
            admission: &self.admission,
            slices: &mut self.slices,
            exclusions: &mut self.exclusions,
        };
        self.publisher.publish(state, commands);
    }

    fn publish_single_table(
        &mut self,
        now: Seconds,
        streams: &[ProxyStreamEvent],
        commands: &mut impl CommandSink,
    ) {
        let desired = single_table::desired(now, &self.hosts, &self.config);
        let empty = || Slice::from_stored(now, Vec::new(), 0);
        let slice = self.slices.entry(single_table::TABLE).or_insert_with(empty);
        for line in table::changes(&slice.published, &desired) {
            commands.set_weight(single_table::TABLE, line.host, line.weight);
        }
        slice.published = desired;
        for event in streams {
            if event.is_connected() && self.proxies.contains(&event.proxy()) {
                commands.assign_table(single_table::TABLE, event.proxy());
            }
        }
    }

    fn end_tick(&mut self, now: Seconds, commands: &mut impl CommandSink) {
        if self.config.health_checks_allowed {
            for (id, _) in self.hosts.iter().filter(|(_, host)| host.phase == Phase::Ready) {
                commands.check_health(*id);
            }
        }
        let (hosts, slices) = (&mut self.hosts, &mut self.slices);
        forget_gone_hosts(now, self.ejected_outlier, hosts, slices, &mut self.exclusions);
        commands.set_timer(TICK_INTERVAL, TICK_TIMER);
    }

    fn apply_assignments(&mut self, now: Seconds, assignments: &[SliceAssignment]) {
        let estimated_rate = if assignments.is_empty() { 0.0 } else { typical_rate(&self.slices) };
        for assignment in assignments {
            if self.slices.is_empty() {
                self.first_assigned_at = now;
            }
            self.slices.remove(&assignment.slice());
            self.publisher.backlog.forget_slice(assignment.slice());
            let SliceAssignment::Assigned { slice, entries } = assignment else { continue };
            for entry in entries {
                self.trust_stored_host(now, entry.host);
            }
            let stored = Slice::from_stored(now, entries.clone(), self.config.classes.len());
            self.slices.insert(*slice, Slice { estimated_rate, ..stored });
        }
    }

    /// A host that a stored table names has served: it needs no health check to be trusted.
    fn trust_stored_host(&mut self, now: Seconds, host: HostId) {
        if let Some(host) = self.hosts.get_mut(&host).filter(|host| host.last_success_at == 0.0) {
            host.is_down = false;
            host.last_success_at = now;
        }
    }

    /// What the next controller that a slice is assigned to is told of it.
    pub fn slice_handoff(&self, now: Seconds, slice: SliceId) -> Option<SliceHandoff> {
        let slice = self.slices.get(&slice)?;
        Some(SliceHandoff {
            rate: slice.admitted_rate(&self.admission.rates),
            pinned_for: (slice.pinned_until - now).max(0.0),
            preferred_host: slice.preferred_host,
        })
    }

    /// Takes in what another controller told of a slice, `age` seconds after it did. Ignored of a slice that is reported
    /// already, and when it is old.
    pub fn apply_handoff(&mut self, now: Seconds, slice: SliceId, handoff: &SliceHandoff, age: Seconds) {
        let Some(slice) = self.slices.get_mut(&slice) else { return };
        if age > UNREPORTED_TIMEOUT || slice.is_reported() {
            return;
        }
        slice.estimated_rate = handoff.rate;
        slice.pinned_until = now + (handoff.pinned_for - age).max(0.0);
        slice.preferred_host = handoff.preferred_host;
    }

    fn apply_load_reports(&mut self, batch: &EventBatch) {
        for report in &batch.host_loads {
            self.apply_host_load(batch.now, report);
        }
        for report in &batch.slice_loads {
            self.apply_slice_load(batch.now, report);
        }
    }

    fn apply_host_load(&mut self, now: Seconds, report: &HostLoadReport) {
        let owned_slices = self.slices.len();
        let Some(host) = self.hosts.get_mut(&report.host) else { return };
        let capacity = owned_capacity(now, host, &self.config, owned_slices);
        let span = covered_span(now, self.first_assigned_at, report.span);
        let report = HostLoadReport { span, ..report.clone() };
        if report.attempts > report.failed {
            host.last_success_at = now;
        } else {
            host.last_failure_at = now;
        }
        let contract_times: Seconds = self.config.classes.iter().map(|class| class.contract_time).sum();
        let mean_contract_time = contract_times / self.config.classes.len().max(1) as f64;
        host.service_time.add_report(now, &report, capacity, mean_contract_time);
        host.zone_scores.entry(report.zone).or_default().add_report(&report);
    }

    fn apply_slice_load(&mut self, now: Seconds, report: &SliceLoadReport) {
        let Some(slice) = self.slices.get_mut(&report.slice) else { return };
        let span = covered_span(now, slice.assigned_at, report.span);
        if let Some(demand) = slice.demand.get_mut(usize::from(report.class.0)) {
            demand.add(now, report.operations, span, DEMAND_AVERAGING);
        }
    }

    fn apply_proxy_stream(
        &mut self,
        now: Seconds,
        event: &ProxyStreamEvent,
        oldest_pending_at: Option<Seconds>,
    ) {
        let proxy = event.proxy();
        if !event.is_connected() {
            if self.proxies.remove(&proxy) {
                self.last_disconnect_at = now;
            }
            self.publisher.backlog.remove_proxy(proxy);
            return;
        }
        // One that holds what an earlier stream brought shows a controller that knows no proxy that it has restarted.
        if matches!(event, ProxyStreamEvent::Reconnected(_)) && self.proxies.is_empty() {
            self.exclusions.mark_all_unconfirmed(self.hosts.keys().copied());
        }
        self.exclusions.mark_unconfirmed();
        let was_connected = !self.proxies.insert(proxy);
        self.publisher.on_connected(proxy, was_connected, oldest_pending_at);
    }

    fn apply_barrier_ack(&mut self, now: Seconds, ack: &BarrierAck) {
        self.publisher.backlog.acknowledge(now, ack.proxy, ack.barrier);
        self.apply_confirmed_clears(now);
    }

    /// Takes in which cleared tables all connected proxies know of by now.
    fn apply_confirmed_clears(&mut self, now: Seconds) {
        for update in self.publisher.backlog.take_acknowledged() {
            for id in update.cleared_slices {
                let Some(slice) = self.slices.get_mut(&id) else { continue };
                let assigned_at = slice.assigned_at;
                let ends_at =
                    single_owner::writes_end_at(now, self.last_disconnect_at, assigned_at, &self.config);
                slice.writes_end_at = Some(ends_at);
            }
        }
    }
}
