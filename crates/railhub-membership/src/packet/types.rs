//! The packets as values.
use crate::messages::Message;
use crate::view::ViewEntry;
use crate::NodeId;

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// A message between members.
    Message(Box<Message>),
    /// An observer requests a page of the receiver's view. Observers are no members.
    ViewRequest {
        /// Returned in the response.
        nonce: u64,
        /// First id of the page.
        from: NodeId,
    },
    /// One page of a view.
    View(Box<View>),
    /// An operator tells a controller to hand its slices over.
    Drain {
        /// The controller that is meant.
        node: NodeId,
        /// Its process: a late or repeated datagram must not drain the next one.
        process: u64,
    },
}

/// One page of a node's view.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The request's nonce.
    pub nonce: u64,
    /// The node whose view it is.
    pub viewer: NodeId,
    /// The viewer's process.
    pub process: u64,
    /// Digest of the complete view.
    pub digest: u64,
    /// Members in the order of ids, [`super::limits::MAX_VIEW_ENTRIES`] at most.
    pub entries: Vec<ViewEntry>,
    /// First id of the next page, if there is one.
    pub next: Option<NodeId>,
    /// Datagrams that the viewer has dropped.
    pub dropped: u64,
    /// The viewer takes no part any more: a newer process runs under its id.
    pub superseded: bool,
}
