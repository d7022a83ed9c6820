//! This controller among the others: a thread and a socket around the lease manager of `railhub-membership`, which
//! decides all of it. Without a `[fleet]` section there is none of it.
//!
//! What it owns: the UDP socket, the lease manager with its view of the other controllers, the rate limit of view
//! requests, and the figures of all that.
//!
//! The way of one datagram:
//! 1. The socket gives it; [`railhub_membership::packet`] drops and counts what is invalid, of another installation, of
//!    another version or too long.
//! 2. The lease manager handles the message and returns its effects.
//! 3. Each outgoing message goes to the address in its receiver's metadata; each change of the view is logged.
//!
//! The way of one lease:
//! 1. The lease manager requests it; the store writer sends the request, after the tables that wait.
//! 2. The store's response comes with the tables of what it granted.
//! 3. The lease table is updated first, then the owner of the core learns what was acquired, lost or has expired.
//!
//! The way of one failure: a datagram that cannot be sent is lost, a request to a store that does not respond is repeated, a lease
//! that is not renewed expires. Whatever goes wrong here, the controller serves on: nothing else waits for this thread.
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
