//! Publishing: when an update is sent, and what it contains.
//!
//! An update is one message to every connected proxy. It contains the differences from the published state, in this
//! order: admission rates and retry policies, exclusions, tables by urgency, and a barrier whose acknowledgements show
//! how much is still in the channel. What does not fit waits for the next update. A change is delayed by
//! - the message quota: `URGENT_MESSAGE_RESERVE` messages are reserved for urgent updates, and above
//!   `IMMEDIATE_QUOTA_FRACTION` of the quota updates are sent on ticks only, so that a burst of urgent updates leaves
//!   messages for a drain;
//! - the backlog: the lines that wait in the channel, summed over all proxies and including the new update, stay within
//!   `MAX_BACKLOG_FRACTION` of the limit, or within `MAX_ORDINARY_BACKLOG_FRACTION` for a table whose published version
//!   names a usable host; if a table does not fit, the less urgent tables wait too;
//! - writes to a former single owner, which must have ended (`single_owner`).
//!
//! A change also waits until the rules run: on a tick, or at once for an endpoint list, an assignment or a host that
//! went down (`Controller::handle_batch`). What is published here is issued as commands; the program that runs the
//! controller shows where those wait (on the platform, `call.rs` of `railhub-platform`).
use super::admission::AdmissionControl;
use super::exclusion::{ExclusionChange, Exclusions};
use super::host::Host;
use super::retry_policy::{retry_policy, widest_safe_policy};
use super::single_owner;
use super::slice::Slices;
use super::table::{changes, desired_table, urgency, Urgency};
use crate::interface::{
    BarrierId, ClassId, CommandSink, ControllerConfig, DecisionEvent, HostId, Observation, ProxyId,
};
use crate::interface::{RetryPolicy, Seconds, SliceId, WeightedHost};
use crate::update_backlog::{Update, UpdateBacklog};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the message quota at or above which updates are sent on ticks only.
const IMMEDIATE_QUOTA_FRACTION: f64 = 0.45;
/// Messages of the quota that are reserved for urgent updates.
const URGENT_MESSAGE_RESERVE: usize = 6;
/// Messages of the quota that are never sent.
const MESSAGE_RESERVE: usize = 1;
/// Fraction of the backlog limit that updates may fill.
const MAX_BACKLOG_FRACTION: f64 = 0.9;
/// Fraction of the backlog limit up to which an update takes tables whose published version names a usable host.
const MAX_ORDINARY_BACKLOG_FRACTION: f64 = 0.75;
/// Seconds after which an update no longer counts as waiting, even if some proxy has not acknowledged it.
pub const UPDATE_EXPIRY: Seconds = 20.0;
/// Seconds without a new acknowledgement of an update after which the update is assumed to have left the channel.
const STALLED_UPDATE_TIMEOUT: Seconds = 8.0;

/// The published admission rate and retry policy of a class.
#[derive(Clone, Copy, PartialEq)]
pub struct ClassAdmission {
    /// Admitted fraction of the operations, from 0 to 1.
    pub rate: f64,
    pub retry_policy: RetryPolicy,
}

/// A table that is to replace the published one.
struct PendingWrite {
    slice: SliceId,
    urgency: Urgency,
    table: Vec<WeightedHost>,
}

/// The state to publish. Publishing updates the published tables of the slices, and the exclusions.
pub struct PublishState<'a> {
    pub now: Seconds,
    pub is_tick: bool,
    pub is_observing: bool,
    pub config: &'a ControllerConfig,
    pub proxies: &'a BTreeSet<ProxyId>,
    pub hosts: &'a BTreeMap<HostId, Host>,
    pub admission: &'a AdmissionControl,
    pub slices: &'a mut Slices,
    pub exclusions: &'a mut Exclusions,
}

/// The published admission rates, and the updates that wait in the channel.
#[derive(Default)]
pub struct Publisher {
    pub admission: Vec<ClassAdmission>,
    /// When the updates within the window of the message quota were sent.
    pub sent_at: Vec<Seconds>,
    pub backlog: UpdateBacklog,
    /// Acknowledgements may have been missed: one more barrier is needed, whose acknowledgement covers all updates
    /// before it.
    pub barrier_due: bool,
    last_barrier: u16,
}

/// An update that is being assembled.
struct UpdateDraft {
    /// Lines so far, for each proxy.
    lines: f64,
    /// Lines of earlier updates that wait in the channel, summed over the proxies.
    waiting_lines: f64,
    /// Number of connected proxies, at least one.
    proxies: f64,
    /// Lines that may wait in the channel, summed over the proxies.
    backlog_limit: f64,
    /// It excludes or readmits hosts.
    has_exclusions: bool,
}

impl UpdateDraft {
    /// Whether the backlog stays within `max_fraction` of its limit if `more_lines` are added.
    fn fits(&self, more_lines: f64, max_fraction: f64) -> bool {
        self.waiting_lines + self.proxies * (self.lines + more_lines) <= self.backlog_limit * max_fraction
    }

    /// Adds lines if they fit; returns whether they do.
    fn try_add(&mut self, more_lines: f64, max_fraction: f64) -> bool {
        let fits = self.fits(more_lines, max_fraction);
        if fits {
            self.lines += more_lines;
        }
        fits
    }
}

impl Publisher {
    /// Until the first update, proxies admit all operations and retry those that were not executed.
    pub fn new(classes: usize) -> Publisher {
        let admission = ClassAdmission { rate: 1.0, retry_policy: RetryPolicy::IfNotExecuted };
        Publisher { admission: vec![admission; classes], ..Publisher::default() }
    }

    /// Updates the backlog for a proxy that connected. If it was connected already, earlier updates still wait for it
    /// or its acknowledgements were missed. It may also receive the updates sent since `oldest_pending_at`.
    pub fn on_connected(&mut self, proxy: ProxyId, was_connected: bool, oldest_pending_at: Option<Seconds>) {
        if was_connected {
            self.barrier_due = true;
        } else {
            self.backlog.remove_proxy(proxy);
        }
        if let Some(since) = oldest_pending_at {
            self.backlog.add_recipient(since, proxy);
            self.barrier_due = true;
        }
    }

    /// Makes a proxy that connected acknowledge the updates that clear tables, if it may have read the store before they
    /// were carried out. It has not if a proxy acknowledged the update before, as events arrive in order; but it may
    /// have connected at any time if the observation was interrupted.
    pub fn await_cleared_tables(&mut self, proxy: ProxyId, observation: Observation) {
        let is_order_known = observation == Observation::Complete;
        self.barrier_due |= self.backlog.await_cleared_tables(proxy, is_order_known);
    }

    /// Publishes the differences from the published state, as far as the message quota and the backlog allow.
    pub fn publish(&mut self, mut state: PublishState, commands: &mut impl CommandSink) {
        let tables = pending_writes(&state);
        let exclusions =
            state.exclusions.due_changes(state.now, state.hosts, state.slices, state.config.single_owner);
        let is_urgent = exclusions.iter().any(|change| change.is_excluded)
            || tables.first().is_some_and(|write| write.urgency == Urgency::NoUsableHost);
        if !self.may_send(state.now, state.is_tick, is_urgent, state.config) {
            return;
        }
        self.drop_expired_updates(&mut state);
        let mut draft = self.start_update(&state);
        let overhead = draft.lines;
        self.write_admission(&state, &mut draft, commands);
        draft.has_exclusions = write_exclusions(exclusions, &mut state, &mut draft, commands);
        write_tables(tables, &mut state, &mut draft, commands);
        self.finish_update(&state, &draft, draft.lines > overhead, commands);
    }

    /// Whether the message quota allows an update now.
    fn may_send(&mut self, now: Seconds, is_tick: bool, is_urgent: bool, config: &ControllerConfig) -> bool {
        self.sent_at.retain(|at| *at >= now - config.message_quota_window);
        let quota = if config.message_quota == 0 { usize::MAX } else { config.message_quota as usize };
        let reserve = if is_urgent { MESSAGE_RESERVE } else { URGENT_MESSAGE_RESERVE };
        let waits_for_tick = !is_tick && self.sent_at.len() as f64 >= quota as f64 * IMMEDIATE_QUOTA_FRACTION;
        !waits_for_tick && self.sent_at.len() + reserve < quota
    }

    /// Drops updates that some proxy has not acknowledged in time. If they concern exclusions, these are published again
    /// in a later update.
    fn drop_expired_updates(&mut self, state: &mut PublishState) {
        let expired = self.backlog.take_expired(state.now, UPDATE_EXPIRY);
        if expired.iter().any(|update| update.has_exclusions) {
            state.exclusions.on_update_expired();
        }
    }

    /// Starts an update that counts the overhead of its message, its barrier and all admission rates.
    fn start_update(&mut self, state: &PublishState) -> UpdateDraft {
        UpdateDraft {
            has_exclusions: false,
            lines: state.config.message_overhead + 1.0 + state.admission.rates.len() as f64,
            waiting_lines: self.backlog.waiting_lines(state.now, STALLED_UPDATE_TIMEOUT),
            proxies: state.proxies.len().max(1) as f64,
            backlog_limit: state.config.backlog_limit,
        }
    }

    fn write_admission(
        &mut self,
        state: &PublishState,
        draft: &mut UpdateDraft,
        commands: &mut impl CommandSink,
    ) {
        let is_shedding = state.admission.is_shedding();
        for (position, published) in self.admission.iter_mut().enumerate() {
            let class = &state.config.classes[position];
            let safe = widest_safe_policy(class, state.config.first_attempt_timeout_multiple);
            let desired = ClassAdmission {
                rate: state.admission.rates[position],
                retry_policy: retry_policy(safe, is_shedding, state.admission.fleet_utilization),
            };
            if *published != desired && draft.try_add(1.0, MAX_BACKLOG_FRACTION) {
                commands.set_admission_rate(ClassId(position as u8), desired.rate, desired.retry_policy);
                *published = desired;
            }
        }
    }

    /// Ends the update with a barrier, if the update has content or a barrier is needed by itself.
    fn finish_update(
        &mut self,
        state: &PublishState,
        draft: &UpdateDraft,
        has_content: bool,
        commands: &mut impl CommandSink,
    ) {
        let mut cleared_slices = Vec::new();
        if state.config.single_owner {
            cleared_slices =
                single_owner::unconfirmed_cleared_slices(state.slices, &self.backlog.cleared_slices());
        }
        let is_ack_missed = self.barrier_due && !self.backlog.is_empty();
        self.barrier_due = is_ack_missed || !cleared_slices.is_empty();
        let sends_barrier_alone = self.barrier_due && draft.fits(0.0, 1.0);
        if !has_content && !sends_barrier_alone {
            return;
        }
        self.barrier_due = false;
        self.last_barrier = self.last_barrier.wrapping_add(1);
        let barrier = BarrierId(self.last_barrier);
        commands.set_barrier(barrier);
        self.sent_at.push(state.now);
        let update = Update::new(state.now, barrier, draft.lines, state.proxies.clone());
        self.backlog.send(Update { cleared_slices, has_exclusions: draft.has_exclusions, ..update });
    }
}

/// The tables that differ from the published ones and may be published now, the most urgent first.
fn pending_writes(state: &PublishState) -> Vec<PendingWrite> {
    let is_usable = |host: HostId| state.hosts.get(&host).is_some_and(Host::is_usable);
    let mut pending = Vec::new();
    for (id, slice) in state.slices.iter() {
        let table = desired_table(slice.owner, slice.standby, state.config.single_owner);
        let may_publish =
            !state.config.single_owner || single_owner::may_publish(state.now, state.is_observing, slice);
        if table != slice.published && may_publish {
            let urgency = urgency(&slice.published, slice.owner, is_usable);
            pending.push(PendingWrite { slice: *id, urgency, table });
        }
    }
    pending.sort_by_key(|write| (write.urgency, write.slice));
    pending
}

/// Writes the exclusions and readmissions that fit; returns whether there are any.
fn write_exclusions(
    due: Vec<ExclusionChange>,
    state: &mut PublishState,
    draft: &mut UpdateDraft,
    commands: &mut impl CommandSink,
) -> bool {
    let mut is_any_written = false;
    let mut repeated = 0;
    for change in due {
        if !draft.try_add(1.0, MAX_BACKLOG_FRACTION) {
            continue;
        }
        match change.is_excluded {
            true => commands.exclude_host(change.host),
            false => commands.readmit_host(change.host),
        }
        match (change.is_repeated, change.is_excluded) {
            (true, _) => repeated += 1,
            (false, true) => commands.report(DecisionEvent::HostExcluded(change.host)),
            (false, false) => commands.report(DecisionEvent::HostReadmitted(change.host)),
        }
        state.exclusions.apply(change);
        is_any_written = true;
    }
    if repeated > 0 {
        commands.report(DecisionEvent::ExclusionsRepeated(repeated));
    }
    is_any_written
}

/// Writes tables until one does not fit.
fn write_tables(
    pending: Vec<PendingWrite>,
    state: &mut PublishState,
    draft: &mut UpdateDraft,
    commands: &mut impl CommandSink,
) {
    for write in pending {
        let slice = state.slices.get_mut(&write.slice).expect("pending writes are of assigned slices");
        let mut lines = changes(&slice.published, &write.table);
        // The table of a single owner is cleared first; a later update adds the next owner.
        let is_clearing = state.config.single_owner && lines.iter().any(|line| line.weight == 0.0);
        lines.retain(|line| !is_clearing || line.weight == 0.0);
        let max_fraction = match write.urgency {
            Urgency::NoUsableHost => MAX_BACKLOG_FRACTION,
            Urgency::OwnerChanged | Urgency::Other => MAX_ORDINARY_BACKLOG_FRACTION,
        };
        if !draft.try_add(lines.len() as f64, max_fraction) {
            return;
        }
        for line in lines {
            commands.set_weight(write.slice, line.host, line.weight);
        }
        slice.published = if is_clearing { Vec::new() } else { write.table };
        if is_clearing {
            slice.writes_end_at = None;
        }
    }
}
