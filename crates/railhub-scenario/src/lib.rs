//! Scripted days: a fleet of stand-ins, a steward, clients, and the troubles that a script names.
//!
//! The way of one day: [`script`] reads the file and checks it; [`draw`] draws the fleet and every operation
//! ahead, from the seed; [`world`] starts hosts, roster, store, steward and proxies; [`play`] lets the
//! operations come and the [`troubles`] happen; all that crossed the sockets goes into a record, from which
//! [`report`] works out service and the rule checker its verdicts. Several stewards ([`stewards`]) share the day's
//! slices, with links between them, list, store and proxies that troubles break.
pub mod draw;
pub mod import;
pub mod play;
pub mod replay;
pub mod report;
pub mod script;
pub mod stewards;
pub mod troubles;
pub mod world;

pub use play::{play, Launch, Launched, Played};
pub use script::Day;
