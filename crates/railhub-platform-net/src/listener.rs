//! The controller's own address: collectors that report, pings, and unidentified peers, who cost little and go soon.
//!
//! A connection: [`connection_table`] gives it a place, or rejects it; [`session`] reads its messages until it ends.
//!
//! A load report: read in the collector's session, checked, and put into the inbox of the controller thread; if the
//! inbox is full it is dropped and counted.
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

/// Descriptors kept from inbound connections: the process's own (logs, event queue, listener), the relay's and
/// discovery's connections, twice over during a reload.
const RESERVED_DESCRIPTORS: usize = 40;
/// Inbound connections allowed, however few descriptors there are.
const MIN_CONNECTIONS: usize = 8;
/// Inbound connections allowed, however many descriptors there are: each costs some pages of stack.
const MAX_CONNECTIONS: usize = 400;

/// Listens on the controller's address until the listener is dropped.
///
/// # Errors
/// [`RunError::Listen`] if the address cannot be opened.
pub fn open(config: &NodeConfig, shared: &Arc<SharedState>) -> Result<Listener, RunError> {
    let table = Arc::new(ConnectionTable::new(max_connections(config.descriptor_limit)));
    let shared = shared.clone();
    let on_connection = move |stream: TcpStream| {
        let (shared, table) = (shared.clone(), table.clone());
        let Some(place) = table.admit(&stream, &shared.rejections) else { return };
        spawn(move || session::serve(&shared, stream, place));
    };
    Listener::open(config.listen, move |stream, _| on_connection(stream))
        .map_err(|source| RunError::Listen { address: config.listen, source })
}

fn max_connections(descriptor_limit: usize) -> usize {
    let reserved = RESERVED_DESCRIPTORS + health_checks::MAX_CONCURRENT;
    descriptor_limit.saturating_sub(reserved).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}
