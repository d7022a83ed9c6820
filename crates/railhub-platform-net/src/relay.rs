//! The relay: its events on one connection, our calls on another, one call at a time and in order.
//!
//! A subscription: [`subscription`] announces itself to the controller thread, connects, subscribes and sends each
//! event on, until the connection ends, a line is invalid or a newer configuration's subscription takes its place.
//!
//! A call: the controller thread gives it to the [`CallSender`]; [`calls`] writes it on the kept connection, or on a
//! new one, reads the one line that answers it and sends the outcome back. Without a readable answer in time the
//! outcome is unknown and the connection is closed.
mod calls;
mod error;
mod line_reader;
mod subscription;

pub use calls::CallSender;
pub use subscription::start_subscription;
