//! Sockets on `may` coroutines: framed streams, a little HTTP, tasks that end with their owner, and the clock.
//!
//! Owns no state of the program. The way of one stream: [`Listener`] accepts and hands each connection to a
//! coroutine; [`FrameReader`] gives whole messages under a limit; [`FrameWriter`] writes frames. A peer that
//! sends what is not a message ends its own stream and nothing else.
mod clock;
mod deadline;
mod dial;
pub mod http;
mod inbox;
mod listen;
mod pool;
mod stream;
mod task;

pub use clock::{now, seconds};
pub use deadline::{after, Closer, Guard};
pub use dial::dial;
pub use inbox::Inbox;
pub use listen::Listener;
pub use pool::Pool;
pub use stream::{connect, reset, split, FrameReader, FrameWriter, StreamEnd};
pub use task::{go, start, start_small, Task};
