//! Access to the slice store, which keeps the slices and their tables. A controller that does not share slices reads
//! all of them at its start; controllers that share slices request leases for some of them and renew these leases
//! periodically. Changed tables are written back.
//!
//! This module owns the connections to the store, the tables waiting to be written, the lease request waiting to be
//! sent, and the store's latest response.
//!
//! Life cycle of a table: it waits, at most one per slice, until the writer's coroutine sends it to the store. A table
//! that could not be written keeps waiting unless a later one of its slice has been queued. The store rejects a table
//! if another controller holds the lease of its slice.
//!
//! Life cycle of a lease request: it is sent after the tables that are waiting, so that the table of a released slice
//! is written before another controller can be granted the slice.
//!
//! Failure handling: if the store does not respond, the request is repeated after a pause. Waiting tables are kept
//! meanwhile, and no other part of the controller waits for the store.
mod bodies;
mod client;
mod writer;

pub use bodies::StoredTable;
pub use writer::StoreWriter;
