//! Executes the commands of the decision engine: publishes versions to proxies, writes tables to the store, starts
//! health checks and sets timers.
use super::controller_core::ControllerCore;
use super::environment::Environment;
use super::proxy_channel::ProxyChannel;
use super::sessions::SessionState;
use super::shared_slices::SharedSlices;
use crate::change::Change;
use crate::delta_builder::DeltaBuilder;
use crate::publication::Publication;
use crate::tables::Tables;
use railhub::{BarrierId, ProxyId, Seconds, SliceId};
use std::collections::BTreeSet;
use std::sync::Arc;

impl<C: ProxyChannel> ControllerCore<C> {
    /// Executes the commands of one batch.
    pub(super) fn execute(
        &mut self,
        mut commands: DeltaBuilder,
        decided_at: Seconds,
        environment: &mut impl Environment,
    ) {
        if let Some(shared) = &mut self.shared {
            let delisted_must_not_serve = !self.settings.config.delisted_may_serve;
            commands.change = shared_change(shared, &self.tables, &commands.change, delisted_must_not_serve);
        }
        for (after, timer) in &commands.timers {
            self.timers.set(decided_at + after, *timer);
        }
        for host in &commands.health_checks {
            environment.check_health(*host);
        }
        if !commands.change.is_empty() || commands.barrier.is_some() {
            self.publish(Arc::new(commands.change), commands.barrier, decided_at, environment);
        }
        for note in &commands.decision_log {
            environment.decided(note);
        }
        for (table, proxy) in commands.assigned_tables {
            self.assign_table(table, proxy, decided_at);
        }
    }

    /// Publishes a change as a new version and queues it for each joined session that it concerns.
    fn publish(
        &mut self,
        change: Arc<Change>,
        barrier: Option<BarrierId>,
        decided_at: Seconds,
        environment: &mut impl Environment,
    ) {
        let version = self.tables.apply(change.clone());
        let encode = |change: Arc<Change>| {
            Arc::new(Publication::new(change, self.incarnation, version, decided_at, barrier))
        };
        let has_no_slices = self.settings.config.slice_count == 0;
        let without_tables = has_no_slices.then(|| encode(Arc::new(change.without_tables())));
        let complete = encode(change.clone());
        self.propagation.begin(decided_at);
        for (proxy, session) in self.sessions.joined() {
            let for_session = match &without_tables {
                Some(publication) if !session.has_table() => publication,
                _ => &complete,
            };
            if barrier.is_some() || !for_session.change.is_empty() {
                session.channel.push(for_session.clone());
                self.propagation.await_proxy(proxy);
            }
        }
        self.store_touched_tables(&change, environment);
        environment.published(&change, version);
    }

    fn store_touched_tables(&self, change: &Change, environment: &mut impl Environment) {
        let touched: BTreeSet<SliceId> = change.lines.keys().map(|key| key.0).collect();
        for slice in touched {
            let epoch = self.tables.epoch(slice).unwrap_or(0);
            environment.store_table(slice, epoch, self.tables.table_entries(slice));
        }
    }

    /// Sends a joined proxy the table that it is assigned. Used only if there are no slices.
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId, decided_at: Seconds) {
        let Some(session) = self.sessions.joined_mut(proxy) else { return };
        session.state = SessionState::Joined { table: Some(table) };
        let (change, version) = (self.tables.table_assignment(table), self.tables.version);
        let publication = Publication::new(change, self.incarnation, version, decided_at, None);
        session.channel.push(Arc::new(publication));
        self.propagation.begin(decided_at);
        self.propagation.await_proxy(proxy);
    }
}

/// The change to publish if several controllers share the slices. It consists of the tables of newly acquired slices,
/// then the decided change, both restricted to slices under lease, and the exclusions of hosts that proxies must stop
/// using in tables whose leases have expired.
fn shared_change(
    shared: &mut SharedSlices,
    tables: &Tables,
    decided: &Change,
    delisted_must_not_serve: bool,
) -> Change {
    let mut change = tables.takeover_change(&std::mem::take(&mut shared.unpublished));
    change.merge(decided);
    tables.stamp_epochs(&mut change);
    for (host, excluded) in &change.exclusions {
        if *excluded {
            shared.excluded.insert(*host);
        } else {
            shared.excluded.remove(host);
        }
    }
    let exclusions = shared.expired.update_exclusions(delisted_must_not_serve, &shared.excluded);
    change.exclusions.retain(|host, excluded| *excluded || !shared.expired.excludes(host));
    change.exclusions.extend(exclusions);
    change
}
