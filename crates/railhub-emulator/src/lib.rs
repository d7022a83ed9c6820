//! Emulates the systems around the controllers, all on loopback and many of them in one process: hosts that take a
//! certain time for each operation, proxies that apply the deltas that they receive and make no decisions of their own,
//! clients, an endpoint list that can be late, wrong or unavailable, and a slice store that outlives the controllers.
//!
//! A scenario injects faults into the emulated systems. Each step that crosses a socket is recorded. The path of one
//! operation:
//!
//! 1. [`client::run`] sends a request to its proxy, with a timeout derived from the hard stop of the operation's class.
//! 2. [`proxy::Proxy::handle`] counts the request, applies the admission rate that the slice's owner has set, and picks
//!    a host from the slice's table ([`fenced_routing`], [`routing`]); it waits briefly if no host is usable.
//! 3. The proxy applies the delay and loss of the link between the zones ([`zone_links`]) and sends the attempt on its
//!    connection to the host ([`AttemptResult`]).
//! 4. [`host::Host`] rejects the attempt if its cores and its queue are full. Otherwise the attempt waits for a free
//!    core, occupies it for the duration of its work, and is answered with a response.
//! 5. The proxy counts the attempt for its next load report ([`load_totals`]), and retries once if the retry condition
//!    of the class's admission allows it.
//! 6. The client retries if the class allows it, and records how the operation ended.
//!
//! The path of one update from a controller: the proxy's stream receives a delta, which passes the rate-limited update
//! channel ([`update_channel`]); the routing state applies the complete delta or rejects it; the proxy sends an
//! acknowledgement.
#![warn(missing_docs)]
pub mod client;
pub mod endpoint_list;
pub mod fenced_routing;
pub mod host;
mod host_connection;
pub mod load_totals;
mod operation;
pub mod proxy;
pub mod routing;
mod sabotage;
pub mod store;
pub mod update_channel;
pub mod zone_links;

pub use host_connection::AttemptResult;
pub use operation::{OperationClass, PlannedOperation};
pub use sabotage::Sabotage;
