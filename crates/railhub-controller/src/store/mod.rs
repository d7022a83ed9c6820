//! The slice store: gives slices with their tables, and takes tables that change. A controller alone is given all slices
//! at its start; controllers that share request leases of some, again and again.
//!
//! What it owns: the connection to the store, the tables that wait to be written, the request for leases that waits, and
//! the store's latest response.
//!
//! The way of one table: it waits, at most one a slice, until the writer's coroutine puts it; a table that could not be
//! written waits on, unless a later one of its slice has come. The store rejects a table whose lease another holds.
//!
//! The way of one request for leases: it is sent after the tables that wait, so that what a controller releases is
//! written before another can be granted it.
//!
//! The way of one failure: a store that does not respond is tried again after a pause. Nothing is lost meanwhile and
//! nothing is held up.
mod bodies;
mod client;
mod writer;

pub use bodies::StoredTable;
pub use writer::StoreWriter;
