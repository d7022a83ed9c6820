//! Answers requests for this controller's view of the membership, at a limited rate.
use railhub_membership::packet::{View, MAX_VIEW_ENTRIES};
use railhub_membership::swim::Membership;
use railhub_membership::view::ViewEntry;
use railhub_membership::NodeId;

/// View requests that are answered per second. Further ones are dropped and counted.
const MAX_VIEWS_PER_SECOND: u32 = 400;
/// Length of the interval in which requests are counted.
const COUNTING_INTERVAL_SECONDS: f64 = 1.0;

/// Limits the rate of view requests that are answered.
#[derive(Default)]
pub(super) struct ViewRateLimiter {
    interval_start: f64,
    requests: u32,
}

impl ViewRateLimiter {
    /// Counts a request and returns whether it is within the limit.
    pub(super) fn allow(&mut self, now: f64) -> bool {
        if now - self.interval_start >= COUNTING_INTERVAL_SECONDS {
            (self.interval_start, self.requests) = (now, 0);
        }
        self.requests += 1;
        self.requests <= MAX_VIEWS_PER_SECOND
    }
}

/// One page of the view, with the entries from `first_id` on. `dropped` is the number of datagrams dropped so far.
pub(super) fn view_page(
    membership: &Membership,
    now: f64,
    nonce: u64,
    first_id: NodeId,
    dropped: u64,
) -> View {
    let from_first = membership.view(now).into_iter().filter(|entry| entry.member.id >= first_id);
    let mut entries: Vec<ViewEntry> = from_first.take(MAX_VIEW_ENTRIES + 1).collect();
    let next = (entries.len() > MAX_VIEW_ENTRIES).then(|| entries[MAX_VIEW_ENTRIES].member.id);
    entries.truncate(MAX_VIEW_ENTRIES);
    View {
        nonce,
        viewer: membership.local_id(),
        process: membership.incarnation().process,
        digest: membership.digest(),
        entries,
        next,
        dropped,
        superseded: membership.is_superseded(),
    }
}
