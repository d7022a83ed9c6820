//! Rules 8 and 9: what controllers publish and the store writes, against the leases that the store granted.
use crate::verdict::Verdict;
use railhub_record::{DeltaReceived, Event, EventKind, SliceGranted, TableWrite};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that a grant's answer may be under way on loopback, and a batch of a busy process take: until then a
/// controller cannot know that its lease has expired.
const EXPIRY_TOLERANCE: f64 = 0.05;

/// Rule 8: nothing is published for a slice once the store has granted it to another process, except by a controller
/// whose clock is set back.
pub fn check_lease_expiry(events: &[Event]) -> Verdict {
    let mut verdict = Verdict::new(8, "nothing decided past the lease");
    let grants = grants_by_slice(events);
    let mut clock_set_back: BTreeSet<u32> = BTreeSet::new();
    for event in events {
        match &event.kind {
            Some(EventKind::ControllerLifecycle(life)) if life.clock_set_back => {
                _ = clock_set_back.insert(life.controller)
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
        let mut of_slice = grants.get(&slice).into_iter().flatten();
        let newer = of_slice.find(|grant| grant.epoch > epoch);
        let late = newer.map_or(0.0, |grant| received.delta.published_at - grant.at);
        verdict.check(at, (late / EXPIRY_TOLERANCE).max(0.0), || {
            format!("slice {slice}: decided under epoch {epoch} {late:.2} s after a newer one was granted")
        });
    }
}

/// Rule 9: each epoch that is published was granted to that very process; granted epochs rise; tables are written
/// under the newest epoch alone.
pub fn check_grants(events: &[Event]) -> Verdict {
    let mut state = GrantCheck {
        verdict: Verdict::new(9, "the store's grants are kept to"),
        holders: BTreeMap::new(),
        newest: BTreeMap::new(),
    };
    for event in events {
        match &event.kind {
            Some(EventKind::SliceGranted(granted)) => state.on_grant(event.at, granted),
            Some(EventKind::TableWrite(stored)) if stored.written => state.on_write(event.at, stored),
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
        let before = self.newest.insert(slice, epoch).unwrap_or(0);
        self.verdict
            .check_condition(at, epoch <= before, || format!("slice {slice}: epoch {epoch} after {before}"));
        self.holders.insert((slice, epoch), granted.process);
    }

    fn on_write(&mut self, at: f64, stored: &TableWrite) {
        let (slice, epoch) = (stored.slice, stored.epoch);
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
