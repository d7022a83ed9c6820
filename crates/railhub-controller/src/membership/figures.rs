//! What the membership thread has seen.
use railhub_membership::packet::DroppedDatagrams;
use serde::Serialize;

/// Figures for the log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MembershipFigures {
    /// Controllers that are alive in this one's view.
    pub alive: usize,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams dropped, by cause.
    pub dropped: DroppedDatagrams,
    /// Requests for the view that were dropped by the rate limit.
    #[serde(rename = "looks_dropped")]
    pub view_requests_dropped: u64,
    /// Whether a newer process of the same controller is known.
    #[serde(rename = "yielded")]
    pub superseded: bool,
    /// Slices under lease, where slices are shared.
    #[serde(rename = "charges")]
    pub leases: usize,
    /// Tables that the store rejected, where slices are shared.
    #[serde(rename = "tables_refused")]
    pub tables_rejected: u64,
}
