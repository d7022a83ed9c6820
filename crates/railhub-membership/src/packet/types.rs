//! The packets that datagrams contain.
use crate::messages::Message;
use crate::view::ViewEntry;
use crate::NodeId;

/// The contents of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// A message between members.
    Message(Box<Message>),
    /// An observer's request for a page of the receiver's view. Observers are not members.
    ViewRequest {
        /// Returned in the response.
        nonce: u64,
        /// First id of the page.
        from: NodeId,
    },
    /// One page of a view.
    View(Box<View>),
    /// An operator's request that a controller hand its slices over.
    Drain {
        /// The controller to drain.
        node: NodeId,
        /// Its process number, so that a late or repeated datagram does not drain a later process.
        process: u64,
    },
}

/// One page of a node's view.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The request's nonce.
    pub nonce: u64,
    /// The node whose view this is.
    pub viewer: NodeId,
    /// The viewer's process number.
    pub process: u64,
    /// Digest of the complete view.
    pub digest: u64,
    /// Members in the order of ids, at most [`super::limits::MAX_VIEW_ENTRIES`].
    pub entries: Vec<ViewEntry>,
    /// First id of the next page, if there is one.
    pub next: Option<NodeId>,
    /// Number of datagrams that the viewer has dropped.
    pub dropped: u64,
    /// Whether a newer process runs under the viewer's id, so that the viewer no longer takes part in membership.
    pub superseded: bool,
}
