//! Sockets on `may` coroutines: framed streams, a little HTTP, tasks that end with their owner, time-outs and the
//! clock.
//!
//! Owns no state of the program. Every queue and message is bounded; a peer that sends what is not a message ends its
//! own connection and nothing else.
//!
//! The way of one message:
//! 1. [`Listener`] accepts a connection and hands it to a coroutine of its own;
//! 2. [`split_framed`] gives its two halves; [`FrameReader`] gives complete messages under a size limit and an
//!    [`IdleTimeout`];
//! 3. the message goes through an [`Inbox`] to the thread that owns the state;
//! 4. [`FrameWriter`] writes the answer under a time-out.
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
