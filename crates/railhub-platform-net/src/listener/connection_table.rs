//! The open inbound connections. Their number is limited in total and per zone of a collector.
//!
//! States of a connection: unidentified (closed after a time-out, or to make room) and joined as the collector of a
//! zone (closed after a long silence, or when too many newer connections of its zone have joined).
use crate::rejections::{RejectionCause, Rejections};
use may::net::TcpStream;
use railhub::{Seconds, ZoneId};
use railhub_net::{Closer, IdleTimeout};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Seconds within which a connection must join.
const JOIN_TIMEOUT: Seconds = 1.0;
/// Seconds that a collector may be silent: it reports about once a second, and reconnects after its connection is
/// closed.
const COLLECTOR_SILENCE_TIMEOUT: Seconds = 20.0;
/// Maximum number of connections per zone of a collector. Older ones are closed, on the assumption that they were lost
/// without notice.
const MAX_COLLECTORS_PER_ZONE: usize = 4;

struct Connection {
    closer: Closer,
    /// The zone of the collector; `None` until it has joined.
    zone: Option<ZoneId>,
}

#[derive(Default)]
struct OpenConnections {
    next_id: u64,
    /// By id, which is the order in which they were opened.
    by_id: BTreeMap<u64, Connection>,
}

/// The table of open connections.
pub struct ConnectionTable {
    max_connections: usize,
    open: Mutex<OpenConnections>,
}

/// The slot of a connection in the table, which is released when this is dropped.
pub struct ConnectionSlot {
    id: u64,
    table: Arc<ConnectionTable>,
    idle_timeout: IdleTimeout,
}

impl ConnectionTable {
    /// An empty table with `max_connections` slots.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable { max_connections, open: Mutex::default() }
    }

    /// Assigns a connection a slot. If none is free, the oldest connection that has not joined is closed; returns
    /// `None` if all have joined.
    pub fn admit(
        self: &Arc<ConnectionTable>,
        stream: &TcpStream,
        rejections: &Rejections,
    ) -> Option<ConnectionSlot> {
        // Not restarted by anything that the peer sends before it has joined.
        let idle_timeout = IdleTimeout::both_halves(stream, JOIN_TIMEOUT);
        let mut open = self.open.lock().expect("no holder panics");
        if open.by_id.len() >= self.max_connections {
            rejections.record(RejectionCause::ConnectionLimit);
            open.close_oldest_unidentified()?;
        }
        let id = open.next_id;
        open.next_id += 1;
        open.by_id.insert(id, Connection { closer: idle_timeout.closer(), zone: None });
        drop(open);
        Some(ConnectionSlot { id, table: self.clone(), idle_timeout })
    }
}

impl OpenConnections {
    /// Returns `None` if all connections have joined.
    fn close_oldest_unidentified(&mut self) -> Option<()> {
        let (&id, _) = self.by_id.iter().find(|(_, connection)| connection.zone.is_none())?;
        self.by_id.remove(&id)?.closer.close();
        Some(())
    }

    fn close_oldest_collectors_beyond(&self, limit: usize, zone: ZoneId) {
        let of_zone: Vec<&Connection> =
            self.by_id.values().filter(|connection| connection.zone == Some(zone)).collect();
        let excess = of_zone.len().saturating_sub(limit);
        for connection in &of_zone[..excess] {
            connection.closer.close();
        }
    }
}

impl ConnectionSlot {
    /// Marks the connection as that of the zone's collector. Closes the oldest connections of the zone beyond the
    /// limit.
    pub fn join(&mut self, zone: ZoneId, stream: &TcpStream) {
        self.idle_timeout = IdleTimeout::both_halves(stream, COLLECTOR_SILENCE_TIMEOUT);
        let mut open = self.table.open.lock().expect("no holder panics");
        // Absent if the connection has just been closed to make room.
        if let Some(connection) = open.by_id.get_mut(&self.id) {
            *connection = Connection { closer: self.idle_timeout.closer(), zone: Some(zone) };
        }
        open.close_oldest_collectors_beyond(MAX_COLLECTORS_PER_ZONE, zone);
    }

    /// Restarts the idle time-out, as the collector has sent something.
    pub fn on_bytes(&self) {
        self.idle_timeout.restart();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.open.lock().expect("no holder panics").by_id.remove(&self.id);
    }
}
