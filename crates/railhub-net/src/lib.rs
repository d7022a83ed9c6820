//! Sockets on `may` coroutines: framed streams, the part of HTTP/1.1 that the program needs, tasks that are cancelled
//! with their owner, time-outs and the clock.
//!
//! Owns no state of the program. Every queue and message is bounded; a peer that sends invalid bytes loses its own
//! connection and affects no other.
//!
//! Flow of a message:
//! 1. [`Listener`] accepts a connection, whose handler starts a coroutine for it;
//! 2. [`split_framed`] splits the connection; [`FrameReader`] returns complete messages and enforces a size limit and
//!    an [`IdleTimeout`];
//! 3. the message is sent through an [`Inbox`] to the thread that owns the state;
//! 4. [`FrameWriter`] writes the answer and enforces a time-out.
#![warn(missing_docs)]
mod clock;
mod dial;
mod framed;
pub mod http;
mod idle_timeout;
mod inbox;
mod listener;
mod runtime;
mod task;
mod timer;
mod worker_pool;

pub use clock::{now, seconds};
pub use dial::dial;
pub use framed::{connect, reset_on_close, split_framed, FrameReader, FrameWriter, StreamError};
pub use idle_timeout::{Closer, IdleTimeout};
pub use inbox::Inbox;
pub use listener::Listener;
pub use runtime::{start_runtime, start_runtime_single_worker};
pub use task::{spawn, Task};
pub use timer::run_after;
pub use worker_pool::WorkerPool;
