//! The connections to the relay: one for the subscription to its events, one for calls, which are made one at a time
//! and in order.
//!
//! Flow of a subscription: [`subscription`] announces itself to the controller thread, connects, subscribes and
//! forwards each event, until the connection ends, a line is invalid or the subscription of a newer configuration
//! replaces it.
//!
//! Flow of a call: the controller thread passes it to the [`CallSender`]; [`calls`] writes it to the idle connection,
//! or to a new one, reads the answer, which is one line, and sends the outcome to the controller thread. Without a
//! valid answer in time, the outcome is unknown and the connection is closed.
mod calls;
mod error;
mod line_reader;
mod subscription;

pub use calls::CallSender;
pub use subscription::start_subscription;
