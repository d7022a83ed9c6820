//! Membership of this controller among the others: a thread and a UDP socket around the lease manager of
//! `railhub-membership`, which makes all decisions. The thread runs only if the file has a `[fleet]` section.
//!
//! The thread owns the UDP socket, the lease manager with its view of the other controllers, the rate limit of view
//! requests, and the counters of all these.
//!
//! Life cycle of a datagram:
//! 1. It is read from the socket. [`railhub_membership::packet`] decodes it; datagrams that are invalid, too long, of
//!    another installation or of another version are dropped and counted.
//! 2. The lease manager handles the message and returns its effects.
//! 3. Each outgoing message is sent to the address in its receiver's metadata; each change of the view is logged.
//!
//! Life cycle of a lease:
//! 1. The lease manager requests it. The store writer sends the request after all tables that wait to be written.
//! 2. The store's response contains the tables of the granted slices.
//! 3. The lease table is updated first; then the owner of the core is sent the slices that were acquired, lost or have
//!    expired.
//!
//! Failure handling: a datagram that cannot be sent is lost, a request to a store that does not respond is repeated,
//! and a lease that is not renewed expires. The controller keeps serving its proxies whatever fails here, since nothing
//! else waits for this thread.
mod cpu_meter;
mod figures;
mod lease_coordinator;
mod service;
pub(crate) mod settings;
mod slice_sharing;
mod view_responder;

pub use figures::MembershipFigures;
pub use service::MembershipService;
pub use settings::MembershipSettings;
pub use slice_sharing::SliceSharing;
