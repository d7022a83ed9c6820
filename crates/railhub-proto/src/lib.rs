//! The messages between controllers and proxies, and between proxies and hosts, and their framing.
//!
//! A frame is the length of a message as four bytes in network byte order, then the message in protobuf encoding. This
//! package owns no socket and no clock: a [`Deframer`] takes bytes, returns messages, and limits the memory that a peer
//! can make it use.
//!
//! Flow of a delta:
//! 1. A proxy opens its stream with a [`Subscribe`], which names the version that it holds.
//! 2. The controller sends a [`Delta`] with a version and a nonce: each endpoint weight, admission rate and exclusion
//!    in it is a separately named resource, as in the delta variant of xDS, and the latest value of a resource is
//!    valid.
//! 3. The proxy applies the whole delta or none of it, and answers with an [`Ack`] or a [`Nack`] of that nonce.
//!
//! Flow of a load report: a proxy adds up the results of its attempts and sends the totals each second as a
//! [`LoadReport`] on the same stream.
//!
//! Flow of a failure: a frame that is too long, is empty or cannot be decoded gives a [`FrameError`]. The reader closes
//! the stream; a controller sends a [`Goodbye`] with the reason first.
#![warn(missing_docs)]
mod controller_messages;
mod error;
mod frame;
mod host_messages;
mod lines;

pub use controller_messages::{
    from_controller, from_proxy, Ack, AdmissionRate, Delta, FromController, FromProxy, Goodbye,
    HostExclusion, HostLoad, LoadReport, Nack, RetryCondition, SliceEpoch, SliceLoad, Subscribe, TableLine,
    MAX_FROM_CONTROLLER_BYTES, MAX_FROM_PROXY_BYTES,
};
pub use error::FrameError;
pub use frame::{frame, Deframer};
pub use host_messages::{
    from_host, to_host, AttemptOutcome, Cancel, FromHost, HostHello, Operation, ProxyHello, Response, ToHost,
    MAX_HOST_MESSAGE_BYTES,
};
pub use lines::LineSplitter;
