//! The counters of the membership thread.
use railhub_membership::packet::DroppedDatagrams;
use serde::Serialize;

/// The membership thread's counters and gauges, for the log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MembershipFigures {
    /// Controllers that are alive in this controller's view.
    pub alive: usize,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams dropped, by cause.
    pub dropped: DroppedDatagrams,
    /// Requests for the membership view that the rate limit dropped.
    #[serde(rename = "looks_dropped")]
    pub view_requests_dropped: u64,
    /// Whether a newer process with the same controller id is known.
    #[serde(rename = "yielded")]
    pub superseded: bool,
    /// Slices under lease; 0 if slices are not shared.
    #[serde(rename = "charges")]
    pub leases: usize,
    /// Tables that the store rejected; 0 if slices are not shared.
    #[serde(rename = "tables_refused")]
    pub tables_rejected: u64,
}
