//! Inbound connections to the controller's listen address: from collectors, which send load reports, and from
//! unidentified peers, which may ping. The latter are limited in memory and time.
//!
//! Flow of a connection: [`connection_table`] assigns it a slot or rejects it; [`session`] reads its messages until it
//! ends.
//!
//! Flow of a load report: the session of the collector reads and validates it and puts it into the inbox of the
//! controller thread; if the inbox is full, the report is dropped and counted.
mod connection_table;
mod session;

use crate::error::RunError;
use crate::health_checks;
use crate::shared_state::SharedState;
use connection_table::ConnectionTable;
use may::net::TcpStream;
use railhub_net::{spawn, Listener};
use railhub_platform::NodeConfig;
use std::sync::Arc;

/// Descriptors that are not available to inbound connections: those of the process (logs, event queue, listener) and of
/// the connections to the relay and to discovery, which are doubled during a reload.
const RESERVED_DESCRIPTORS: usize = 40;
/// Lower bound of the connection limit, however low the descriptor limit is.
const MIN_CONNECTIONS: usize = 8;
/// Upper bound of the connection limit, however high the descriptor limit is: each connection uses some pages of stack.
const MAX_CONNECTIONS: usize = 400;

/// Listens on the controller's address until the listener is dropped.
///
/// # Errors
/// [`RunError::Listen`] if the controller cannot listen on the address.
pub fn open(config: &NodeConfig, shared: &Arc<SharedState>) -> Result<Listener, RunError> {
    let table = Arc::new(ConnectionTable::new(max_connections(config.descriptor_limit)));
    let shared = shared.clone();
    let on_connection = move |stream: TcpStream| {
        let (shared, table) = (shared.clone(), table.clone());
        let Some(slot) = table.admit(&stream, &shared.rejections) else { return };
        spawn(move || session::serve(&shared, stream, slot));
    };
    Listener::open(config.listen, move |stream, _| on_connection(stream))
        .map_err(|source| RunError::Listen { address: config.listen, source })
}

fn max_connections(descriptor_limit: usize) -> usize {
    let reserved = RESERVED_DESCRIPTORS + health_checks::MAX_CONCURRENT;
    descriptor_limit.saturating_sub(reserved).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}
