//! Acquisition and release of slices, if several controllers share them.
use super::controller_core::ControllerCore;
use super::environment::Environment;
use super::proxy_channel::ProxyChannel;
use super::shared_slices::{AcquiredSlice, LeaseChanges, ReceivedHandoff};
use railhub::{Seconds, SliceAssignment, SliceId};

impl<C: ProxyChannel> ControllerCore<C> {
    /// Handles leases that were acquired, lost or have expired. After a slice is lost or its lease has expired, nothing
    /// more is published for it; proxies keep its last table until the next holder publishes one.
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

    /// Keeps the hosts of a slice whose lease has expired. The next holder is not known yet, so proxies go on using the
    /// slice's table, and hosts in it may have to be excluded.
    fn on_lease_expired(&mut self, slice: SliceId) {
        let hosts = self.tables.table_entries(slice).into_iter().map(|entry| entry.host).collect();
        if let Some(shared) = &mut self.shared {
            shared.expired.add(slice, hosts);
        }
    }

    /// Stores the handoff of a lost slice for its next holder.
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

    fn acquire(&mut self, now: Seconds, acquired: AcquiredSlice) {
        let AcquiredSlice { slice, entries, epoch, handoff } = acquired;
        self.tables.acquire(slice, epoch, &entries);
        if let Some(shared) = &mut self.shared {
            shared.expired.remove(slice);
            shared.unpublished.insert(slice);
            if let Some((handoff, age)) = handoff {
                shared.handoffs.insert(slice, ReceivedHandoff { handoff, written_at: now - age });
            }
        }
        self.batch.assignments.push(SliceAssignment::Assigned { slice, entries });
    }
}
