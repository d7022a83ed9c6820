//! The inbound connections that are open, bounded in all and for each zone's collector.
//!
//! States of a connection: unidentified (closed after a while, or for want of room) and joined as a zone's collector
//! (closed when silent for long, or when too many newer ones of its zone have joined).
use crate::rejections::{RejectionCause, Rejections};
use may::net::TcpStream;
use railhub::{Seconds, ZoneId};
use railhub_net::{Closer, IdleTimeout};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Seconds within which a connection must join.
const JOIN_TIMEOUT: Seconds = 1.0;
/// Seconds a collector may be silent: it reports each second or so, and comes back when it is cut off.
const COLLECTOR_SILENCE_TIMEOUT: Seconds = 20.0;
/// Connections of one zone's collector that may be open; older ones are closed, as cut off unnoticed.
const MAX_COLLECTORS_PER_ZONE: usize = 4;

struct Connection {
    closer: Closer,
    /// The zone of the collector, once joined.
    zone: Option<ZoneId>,
}

#[derive(Default)]
struct OpenConnections {
    next_id: u64,
    /// By id, so in the order in which they came.
    by_id: BTreeMap<u64, Connection>,
}

/// The open connections.
pub struct ConnectionTable {
    max_connections: usize,
    open: Mutex<OpenConnections>,
}

/// One connection's slot in the table, left when this is dropped.
pub struct ConnectionSlot {
    id: u64,
    table: Arc<ConnectionTable>,
    idle_timeout: IdleTimeout,
}

impl ConnectionTable {
    /// An empty table of `max_connections` places.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable { max_connections, open: Mutex::default() }
    }

    /// Gives a connection a slot. When there is none, the oldest that has not joined is closed for it; `None` if all
    /// have joined.
    pub fn admit(
        self: &Arc<ConnectionTable>,
        stream: &TcpStream,
        rejections: &Rejections,
    ) -> Option<ConnectionSlot> {
        // Nothing that it sends before it has joined puts this off.
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
    /// `None` if there is none.
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
    /// The connection is that of the zone's collector. Closes the zone's oldest ones beyond the limit.
    pub fn join(&mut self, zone: ZoneId, stream: &TcpStream) {
        self.idle_timeout = IdleTimeout::both_halves(stream, COLLECTOR_SILENCE_TIMEOUT);
        let mut open = self.table.open.lock().expect("no holder panics");
        // Absent if it was closed for want of room just before.
        if let Some(connection) = open.by_id.get_mut(&self.id) {
            *connection = Connection { closer: self.idle_timeout.closer(), zone: Some(zone) };
        }
        open.close_oldest_collectors_beyond(MAX_COLLECTORS_PER_ZONE, zone);
    }

    /// The collector sent something: its silence is counted from now.
    pub fn on_bytes(&self) {
        self.idle_timeout.restart();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.open.lock().expect("no holder panics").by_id.remove(&self.id);
    }
}
