//! The steward's own address: collectors that report, signs of life, and strangers, who cost little and go soon.
use crate::fairness::{ReadTurn, KNOWN_PEER_SPAN, STRANGER_SPAN};
use crate::probes;
use crate::shared::{cause, DescriptorGuard, LoadReport, Shared};
use crate::RunError;
use may::net::TcpStream;
use railhub::{Seconds, ZoneId};
use railhub_net::{go, Closer, Guard, Listener};
use railhub_platform::wire::collector;
use railhub_platform::{CollectorMessage, InvalidEntry, NodeConfig};
use railhub_proto::Deframer;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Seconds within which a connection must join.
const JOIN_WITHIN: Seconds = 1.0;
/// Seconds a collector may be silent: it reports each second or so, and comes back when it is cut off.
const SILENT: Seconds = 20.0;
/// Descriptors kept from visitors: the process's own (logs, event queue, listener), the relay's and discovery's
/// lines, twice over while a new file takes effect.
const OWN: usize = 40;
/// Connections at most, whatever descriptors there are: each costs some pages of stack.
const VISITORS_MOST: usize = 400;
/// Connections of one zone's collector that may stand; older ones are given up, as cut off unheard.
const COLLECTORS_A_ZONE: usize = 4;
const READ_AT_ONCE: usize = 2048;
/// Bytes of room for answers that a peer has not read: the kernel doubles it for its own bookkeeping. What the peer's
/// own kernel has taken does not count.
const SEND_BUFFER: usize = 32 << 10;
/// Bytes of a refused message that the log shows.
const SHOWN: usize = 160;

pub fn open(assignment: &NodeConfig, shared: &Arc<Shared>) -> Result<Listener, RunError> {
    let room = assignment.sockets.saturating_sub(OWN + probes::AT_ONCE).clamp(8, VISITORS_MOST);
    let visits = Arc::new(ConnectionTracker { room, next: AtomicU64::new(0), open: Mutex::default() });
    let shared = shared.clone();
    Listener::open(assignment.listen, move |stream, _| {
        let (shared, visits) = (shared.clone(), visits.clone());
        let Some(visit) = visits.enter(&stream, &shared) else { return };
        go(move || serve(&shared, stream, visit));
    })
    .map_err(|e| RunError::Listen(assignment.listen, e))
}

struct Connection {
    closer: Closer,
    zone: Option<ZoneId>,
}

/// The connections that stand, by when they came.
struct ConnectionTracker {
    room: usize,
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Connection>>,
}

/// One connection's place; left when this is dropped.
struct ConnectionGuard {
    number: u64,
    visits: Arc<ConnectionTracker>,
    guard: Guard,
}

impl ConnectionTracker {
    /// When there is no room, the oldest that has not joined must go; `None` if all have.
    fn enter(self: &Arc<ConnectionTracker>, stream: &TcpStream, shared: &Shared) -> Option<ConnectionGuard> {
        // Nothing that it says before it has joined puts this off.
        let guard = Guard::both_ways(stream, JOIN_WITHIN);
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut open = self.open.lock().expect("no holder panics");
        if open.len() >= self.room {
            shared.refuse("no room");
            let oldest = open.iter().find(|(_, visitor)| visitor.zone.is_none()).map(|(number, _)| *number);
            open.remove(&oldest?)?.closer.close();
        }
        open.insert(number, Connection { closer: guard.closer(), zone: None });
        drop(open);
        Some(ConnectionGuard { number, visits: self.clone(), guard })
    }
}

impl ConnectionGuard {
    /// It is the zone's collector; the oldest of too many of them is cut off.
    fn join(&mut self, zone: ZoneId, stream: &TcpStream) {
        self.guard = Guard::both_ways(stream, SILENT);
        let mut open = self.visits.open.lock().expect("no holder panics");
        if let Some(visitor) = open.get_mut(&self.number) {
            *visitor = Connection { closer: self.guard.closer(), zone: Some(zone) };
        }
        let alike: Vec<u64> = open
            .iter()
            .filter(|(_, visitor)| visitor.zone == Some(zone))
            .map(|(number, _)| *number)
            .collect();
        let spare = alike.len().saturating_sub(COLLECTORS_A_ZONE);
        alike.iter().take(spare).filter_map(|number| open.get(number)).for_each(|old| old.closer.close());
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.visits.open.lock().expect("no holder panics").remove(&self.number);
    }
}

/// The visit is the last parameter, so that its guard ends before the socket does.
fn serve(shared: &Shared, mut stream: TcpStream, mut visit: ConnectionGuard) {
    let _held = DescriptorGuard::one(&shared.held.visitors);
    // Where the system refuses, a write that does not fit ends the visit all the same, only later.
    let _ = SockRef::from(stream.inner()).set_send_buffer_size(SEND_BUFFER);
    let mut deframer = Deframer::new(collector::MAX_FIRST_MESSAGE_BYTES);
    let mut turn = ReadTurn::start(STRANGER_SPAN);
    let mut joined: Option<(ZoneId, DescriptorGuard)> = None;
    loop {
        let mut shown = String::new();
        let frame = deframer.body(|body| {
            let read = collector::decode(body, &shared.names, shared.slices);
            if read.is_err() {
                shown = String::from_utf8_lossy(&body[..body.len().min(SHOWN)]).into_owned();
            }
            read
        });
        let refused = match frame {
            Ok(None) if read(&mut stream, &mut deframer, &mut turn) => {
                if joined.is_some() {
                    visit.guard.heard();
                }
                continue;
            }
            Ok(None) => return,
            Ok(Some(Ok(CollectorMessage::Ping))) => {
                if !say(&stream, &collector::encode_pong()) {
                    return;
                }
                continue;
            }
            Ok(Some(Ok(CollectorMessage::Join(zone)))) if joined.is_none() => {
                visit.join(zone, &stream);
                deframer.set_limit(collector::MAX_MESSAGE_BYTES);
                turn = ReadTurn::start(KNOWN_PEER_SPAN);
                joined = Some((zone, DescriptorGuard::one(&shared.held.collectors)));
                continue;
            }
            Ok(Some(Ok(CollectorMessage::HostLoad(sum)))) if joined.is_some() => {
                shared.inbox.report(LoadReport::HostLoad(sum));
                continue;
            }
            Ok(Some(Ok(CollectorMessage::SliceLoad(sum)))) if joined.is_some() => {
                shared.inbox.report(LoadReport::SliceLoad(sum));
                continue;
            }
            Ok(Some(Ok(_))) => InvalidEntry::Kind,
            Ok(Some(Err(spoilt))) if joined.is_some() && spoilt != InvalidEntry::Unreadable => {
                shared.refuse_all(cause(spoilt), || shown);
                continue;
            }
            Ok(Some(Err(spoilt))) => spoilt,
            Err(_) => InvalidEntry::Unreadable,
        };
        let whose = if joined.is_some() { "collector's stream" } else { "stranger" };
        shared.refuse_all(whose, || format!("{refused}: {shown}"));
        say(&stream, &collector::encode_refusal(refused));
        return;
    }
}

/// Says a word without waiting: a peer that does not read what little is written must not hold a coroutine.
fn say(stream: &TcpStream, word: &[u8]) -> bool {
    stream.inner().write(word).is_ok_and(|written| written == word.len())
}

/// Whether the peer goes on.
fn read(stream: &mut TcpStream, deframer: &mut Deframer, turn: &mut ReadTurn) -> bool {
    let mut bytes = [0; READ_AT_ONCE];
    match stream.read(&mut bytes) {
        Ok(count) if count > 0 => {
            deframer.push(&bytes[..count]);
            turn.pause_if_long();
            true
        }
        _ => false,
    }
}
