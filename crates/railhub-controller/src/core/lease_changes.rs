//! Slices that this controller acquires and releases, where controllers share them.
use super::controller_core::ControllerCore;
use super::environment::Environment;
use super::proxy_channel::ProxyChannel;
use super::shared_slices::{LeaseChanges, ReceivedHandoff, SliceAcquired};
use railhub::{Seconds, SliceAssignment, SliceId};

impl<C: ProxyChannel> ControllerCore<C> {
    /// Takes leases that were acquired and lost. Nothing more is published of a slice that is gone; proxies keep what
    /// they hold of it until its next holder publishes.
    pub fn on_lease_changes(
        &mut self,
        now: Seconds,
        changes: LeaseChanges,
        environment: &mut impl Environment,
    ) {
        let LeaseChanges { acquired, lost, expired } = changes;
        for slice in &expired {
            self.on_lease_expired(*slice);
        }
        for slice in &lost {
            self.hand_over(now, *slice, environment);
        }
        environment.allow_release(&lost);
        for slice in lost.iter().chain(&expired) {
            self.release(*slice);
        }
        for slice in acquired {
            self.acquire(now, slice);
        }
    }

    /// Nobody is known to hold the slice now: its table stands as it is.
    fn on_lease_expired(&mut self, slice: SliceId) {
        let hosts = self.tables.table_entries(slice).into_iter().map(|entry| entry.host).collect();
        if let Some(shared) = &mut self.shared {
            shared.expired.add(slice, hosts);
        }
    }

    fn hand_over(&mut self, now: Seconds, slice: SliceId, environment: &mut impl Environment) {
        if let Some(shared) = &mut self.shared {
            shared.expired.remove(slice);
        }
        let Some(epoch) = self.tables.epoch(slice) else { return };
        if let Some(handoff) = self.engine.export_handoff(now, slice) {
            environment.hand_over(slice, epoch, self.tables.table_entries(slice), handoff);
        }
    }

    fn release(&mut self, slice: SliceId) {
        self.tables.release(slice);
        if let Some(shared) = &mut self.shared {
            shared.remove(slice);
        }
        self.batch.assignments.push(SliceAssignment::Revoked { slice });
    }

    fn acquire(&mut self, now: Seconds, acquired: SliceAcquired) {
        let SliceAcquired { slice, entries, epoch, handoff } = acquired;
        self.tables.acquire(slice, epoch, &entries);
        if let Some(shared) = &mut self.shared {
            shared.expired.remove(slice);
            shared.opening.insert(slice);
            if let Some((handoff, age)) = handoff {
                shared.handoffs.insert(slice, ReceivedHandoff { handoff, written_at: now - age });
            }
        }
        self.batch.assignments.push(SliceAssignment::Assigned { slice, entries });
    }
}
