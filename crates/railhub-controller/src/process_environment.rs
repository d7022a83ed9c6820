//! Carries out the core's commands in this process: health checks, writes to the store, log lines.
use crate::change::Change;
use crate::core::{Environment, SessionEvent};
use crate::health_checker::HealthChecker;
use crate::store::StoreWriter;
use crate::traffic_writer::TrafficWriter;
use railhub::{HostId, ProxyId, SliceHandoff, SliceId, WeightedHost};
use std::sync::Arc;

/// The components that carry out the core's commands, besides the streams of proxies.
pub(crate) struct CommandTargets {
    /// Runs health checks.
    pub(crate) health_checker: HealthChecker,
    /// Writes tables to the store; absent in a configuration without slices.
    pub(crate) store: Option<Arc<StoreWriter>>,
    /// Records traffic; absent if the settings name no file.
    pub(crate) traffic: Option<TrafficWriter>,
}

/// The core's environment in a running controller.
pub(crate) struct ProcessEnvironment {
    /// Names of the classes, indexed by class number.
    pub(crate) class_names: Vec<String>,
    /// The components that carry out commands.
    pub(crate) targets: CommandTargets,
}

impl Environment for ProcessEnvironment {
    fn check_health(&mut self, host: HostId) {
        self.targets.health_checker.submit(host);
    }

    fn store_table(&mut self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>) {
        if let Some(store) = &self.targets.store {
            store.write_table(slice, epoch, entries);
        }
    }

    fn hand_over(&mut self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>, handoff: SliceHandoff) {
        if let Some(store) = &self.targets.store {
            store.hand_over(slice, epoch, entries, &handoff);
        }
    }

    fn allow_release(&mut self, slices: &[SliceId]) {
        if let Some(store) = &self.targets.store {
            store.allow_release(slices);
        }
    }

    fn decided(&mut self, cause: &str) {
        tracing::info!(cause, "decision");
    }

    /// Logs admission rates and exclusions as decisions: the decision engine reports no events for them.
    fn published(&mut self, change: &Change, version: u64) {
        for (class, admission) in &change.admission_rates {
            let class = self.class_names.get(usize::from(class.0)).map_or("", String::as_str);
            let (rate, retry) = (admission.rate, admission.retry);
            tracing::info!(class, rate, ?retry, cause = "admission rate changed", "decision");
        }
        for (host, excluded) in &change.exclusions {
            let cause = if *excluded { "host excluded from all tables" } else { "host readmitted" };
            tracing::info!(%host, cause, "decision");
        }
        tracing::debug!(version, lines = change.cost(), "delta published");
    }

    fn session_event(&mut self, proxy: ProxyId, event: SessionEvent) {
        let proxy = proxy.0;
        match event {
            SessionEvent::DuplicateRejected => {
                tracing::info!(proxy, "stream rejected, another process is registered as this proxy");
            }
            SessionEvent::Disconnected { reason } => tracing::info!(proxy, reason, "proxy disconnected"),
            SessionEvent::ResponseTimeout => {
                tracing::info!(proxy, "proxy did not respond to a delta, stream closed");
            }
        }
    }
}
