//! Emulates everything around the controllers, many to a process and all on loopback: hosts that do timed work,
//! proxies that apply what they are sent and decide nothing, clients, an endpoint list that can be late, wrong or
//! unavailable, and a slice store that outlives the controllers.
//!
//! Owns the emulated processes and the faults that a scenario injects into them. Each step that crosses a socket is
//! recorded. One operation, from its client to its end:
//!
//! 1. [`client::run`] sends a request to its proxy, with a timeout from the class's hard stop.
//! 2. [`proxy::Proxy::handle`] counts it, applies the admission rate of the slice's owner, and picks a host from the
//!    slice's table ([`fenced_routing`], [`routing`]), waiting a little if none is usable.
//! 3. The proxy adds the delay and loss of the link between the zones ([`zone_links`]) and sends the attempt on its
//!    connection to the host ([`AttemptResult`]).
//! 4. [`host::Host`] rejects it if its cores and queue are full; otherwise it waits for a core, takes the time of its
//!    work, and gets its response.
//! 5. The proxy counts the attempt for its next load report ([`load_totals`]), and retries once as the admission has
//!    it.
//! 6. The client retries if the class allows, and records how the operation ended.
//!
//! One update, from a controller to a table: the proxy's stream receives a delta, which waits for the update channel
//! ([`update_channel`]); the routing state applies all of it or rejects it; the proxy acknowledges it.
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
