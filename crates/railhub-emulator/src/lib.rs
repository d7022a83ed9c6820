//! Small stand-ins, many to a process, all on loopback: [`host`]s that do timed work, [`proxy`] stand-ins that obey
//! tables, levels, shut-outs and second tries and nothing else, [`client`]s, a [`roster`] that can be late, lie
//! or break, and a [`store`] that outlives the steward.
//!
//! The way of one operation: a client hands it to its proxy; the proxy looks up the slice's table, draws
//! whether it is let in, picks a host and sends; the host queues it, works for a time and answers; the proxy
//! counts the try and, as its level says, tries once more; the client comes again if its class allows. Each
//! step that crosses a socket is recorded.
pub mod channel;
pub mod client;
pub mod held;
pub mod host;
mod lane;
pub mod links;
pub mod proxy;
pub mod roster;
pub mod store;
pub mod sums;

pub use lane::CallEnd;
use railhub_record::Repeats;

/// What all stand-ins of a fleet know of a class of operations. Times in seconds.
#[derive(Clone, Debug)]
pub struct ClassFacts {
    pub name: String,
    pub contract_time: f64,
    pub hard_stop: f64,
    pub gain: f64,
    pub repeats: Repeats,
    pub key_window: f64,
    pub writes: bool,
}
