//! Rules 8 and 9: the deltas of controllers and the writes of the store, checked against the store's grants.
use crate::verdict::Verdict;
use railhub_record::{DeltaReceived, Event, EventKind, SliceGranted, TableWrite};
use std::collections::{BTreeMap, BTreeSet};

/// Time for a grant's response to travel over loopback and for a busy process to handle a batch: until then a
/// controller cannot know that its lease has expired.
const EXPIRY_TOLERANCE_SECONDS: f64 = 0.05;

/// Rule 8: nothing is published for a slice once the store has granted it to another process under a newer epoch,
/// except by a controller whose clock is set back.
pub fn check_lease_expiry(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(8, "nothing decided past the lease");
    let grants = grants_by_slice(events);
    let mut clock_set_back: BTreeSet<u32> = BTreeSet::new();
    for event in events {
        match &event.kind {
            Some(EventKind::ControllerLifecycle(lifecycle)) if lifecycle.clock_set_back => {
                _ = clock_set_back.insert(lifecycle.controller)
            }
            Some(EventKind::DeltaReceived(received)) if !clock_set_back.contains(&received.controller) => {
                check_delta(&mut verdict, event.at, received, &grants);
            }
            _ => {}
        }
    }
    verdict
}

struct Grant {
    at: f64,
    epoch: u64,
}

fn grants_by_slice(events: &[Event]) -> BTreeMap<u32, Vec<Grant>> {
    let mut grants: BTreeMap<u32, Vec<Grant>> = BTreeMap::new();
    for event in events {
        if let Some(EventKind::SliceGranted(granted)) = &event.kind {
            let grant = Grant { at: event.at, epoch: granted.epoch };
            grants.entry(granted.slice).or_default().push(grant);
        }
    }
    grants
}

fn check_delta(verdict: &mut Verdict, at: f64, received: &DeltaReceived, grants: &BTreeMap<u32, Vec<Grant>>) {
    for assignment in &received.delta.epochs {
        let (slice, epoch) = (assignment.slice, assignment.epoch);
        let mut slice_grants = grants.get(&slice).into_iter().flatten();
        let newer_grant = slice_grants.find(|grant| grant.epoch > epoch);
        let seconds_late = newer_grant.map_or(0.0, |grant| received.delta.published_at - grant.at);
        verdict.check(at, (seconds_late / EXPIRY_TOLERANCE_SECONDS).max(0.0), || {
            format!("slice {slice}: decided under epoch {epoch} {seconds_late:.2} s after a newer one was granted")
        });
    }
}

/// Rule 9: each published epoch was granted to the publishing process; granted epochs rise; tables are written only
/// under the newest epoch.
pub fn check_grants(events: &[Event]) -> Verdict {
    let mut state = GrantCheck {
        verdict: Verdict::new(9, "the store's grants are kept to"),
        holders: BTreeMap::new(),
        newest: BTreeMap::new(),
    };
    for event in events {
        match &event.kind {
            Some(EventKind::SliceGranted(granted)) => state.on_grant(event.at, granted),
            Some(EventKind::TableWrite(write)) if write.written => state.on_write(event.at, write),
            Some(EventKind::DeltaReceived(received)) => state.on_delta(event.at, received),
            _ => {}
        }
    }
    state.verdict
}

struct GrantCheck {
    verdict: Verdict,
    /// The process that holds a grant, by slice and epoch.
    holders: BTreeMap<(u32, u64), u64>,
    /// The newest granted epoch, by slice.
    newest: BTreeMap<u32, u64>,
}

impl GrantCheck {
    fn on_grant(&mut self, at: f64, granted: &SliceGranted) {
        let (slice, epoch) = (granted.slice, granted.epoch);
        let previous = self.newest.insert(slice, epoch).unwrap_or(0);
        self.verdict.check_condition(at, epoch <= previous, || {
            format!("slice {slice}: epoch {epoch} after {previous}")
        });
        self.holders.insert((slice, epoch), granted.process);
    }

    fn on_write(&mut self, at: f64, write: &TableWrite) {
        let (slice, epoch) = (write.slice, write.epoch);
        let newest = self.newest.get(&slice).copied().unwrap_or(0);
        self.verdict.check_condition(at, epoch < newest, || {
            format!("slice {slice}: a table of epoch {epoch} is written after {newest}")
        });
    }

    fn on_delta(&mut self, at: f64, received: &DeltaReceived) {
        let process = received.delta.incarnation;
        for assignment in &received.delta.epochs {
            let (slice, epoch) = (assignment.slice, assignment.epoch);
            let holder = self.holders.get(&(slice, epoch)).copied();
            self.verdict.check_condition(at, holder != Some(process), || {
                format!("slice {slice}: process {process} orders under {epoch}, not its own")
            });
        }
    }
}
