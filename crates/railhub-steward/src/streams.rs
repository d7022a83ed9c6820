//! The proxies' streams: a reader and a writer coroutine each, and the door between them and the owner.
use crate::claims::Allowance;
use crate::inbox::{Inbox, OwnerEvent, Report, StreamId};
use crate::intake;
use crate::kernel::ProxyChannel;
use crate::leases::LeaseTable;
use crate::outbox::{MessageCap, Outbox, Publication, WriterAction};
use crate::tables::Change;
use may::net::TcpStream;
use may::sync::{Mutex, Semphore};
use railhub::{BarrierId, ProxyId, Seconds, ZoneId};
use railhub_net::{now, run_after, spawn, split_framed, FrameReader, FrameWriter, StreamError};
use railhub_proto::{
    from_controller, from_proxy, FromController, FromProxy, Goodbye, Subscribe, MAX_FROM_PROXY_BYTES,
};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// What streams are held to.
#[derive(Clone, Copy, Debug)]
pub struct StreamTerms {
    /// Seconds until the first message must have come, and until any later one.
    pub first_within: Seconds,
    pub silent_after: Seconds,
    pub streams_most: usize,
    pub cap: MessageCap,
}

/// Between the owner and a stream's writer.
pub struct StreamHandle {
    inner: Mutex<Inner>,
    wake: Semphore,
    /// What this steward may order, where it shares the slices with others.
    leases: Option<Arc<LeaseTable>>,
}

struct Inner {
    outbox: Outbox,
    goodbye: Option<String>,
}

impl StreamHandle {
    fn new(cap: MessageCap, leases: Option<Arc<LeaseTable>>) -> StreamHandle {
        let inner = Inner { outbox: Outbox::new(cap), goodbye: None };
        StreamHandle { inner: Mutex::new(inner), wake: Semphore::new(0), leases }
    }

    /// The bytes of a delta without what may not be ordered at this moment: it was decided under leases that are
    /// over by now, since the proxy read slowly or the process stood still. What is left out is the next one's to say.
    fn lawful(&self, publication: &Publication) -> Option<Vec<u8>> {
        let leases = self.leases.as_ref()?;
        let over = leases.over(&publication.change.epochs);
        (!over.is_empty()).then(|| {
            let mut change = Change::clone(&publication.change);
            change.keep_slices(|slice| !over.contains(&slice));
            let Publication { incarnation, version, ordered_at, mark, .. } = *publication;
            Publication::new(change, incarnation, version, ordered_at, mark).bytes
        })
    }

    fn with<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        act(&mut self.inner.lock().expect("no holder panics"))
    }
}

impl ProxyChannel for Arc<StreamHandle> {
    fn push(&self, publication: Arc<Publication>) {
        self.with(|inner| inner.outbox.push(publication));
        self.wake.post();
    }

    /// The proxy's word on a delta: the latest mark that it settles, if it settles anything.
    fn settle(&self, nonce: u64, refused: bool) -> Option<Option<BarrierId>> {
        let (settled, has_waiting) = self.with(|inner| {
            let settled = match refused {
                true => inner.outbox.refuse(nonce),
                false => inner.outbox.confirm(nonce),
            };
            (settled, inner.outbox.has_waiting())
        });
        if has_waiting {
            self.wake.post();
        }
        settled
    }

    /// The proxy has a word on all that it was sent, and nothing waits.
    fn is_idle(&self) -> bool {
        self.with(|inner| inner.outbox.is_idle())
    }

    fn lines(&self, message_cost: f64) -> f64 {
        self.with(|inner| inner.outbox.lines(message_cost))
    }

    fn owing_since(&self) -> Option<Seconds> {
        self.with(|inner| inner.outbox.owing_since())
    }

    fn folded(&self) -> u64 {
        self.with(|inner| inner.outbox.folded)
    }

    /// Ends the stream, with a reason if the proxy still reads.
    fn close(&self, reason: &str) {
        self.with(|inner| _ = inner.goodbye.get_or_insert_with(|| reason.to_owned()));
        self.wake.post();
    }
}

/// Counts streams and gives each its number.
#[derive(Default)]
pub struct StreamRegistry {
    last: AtomicU64,
    open: AtomicUsize,
}

/// Takes a new connection; the caller does not wait.
pub fn serve(
    stream: TcpStream,
    inbox: &Arc<Inbox>,
    doors: &Arc<StreamRegistry>,
    terms: StreamTerms,
    leases: Option<Arc<LeaseTable>>,
) {
    if doors.open.fetch_add(1, Ordering::Relaxed) >= terms.streams_most {
        doors.open.fetch_sub(1, Ordering::Relaxed);
        tracing::warn!(limit = terms.streams_most, "a stream is turned away: too many are open");
        return;
    }
    let (inbox, doors) = (inbox.clone(), doors.clone());
    spawn(move || {
        let id = StreamId(doors.last.fetch_add(1, Ordering::Relaxed) + 1);
        if let Ok((reader, writer)) = split_framed(stream, MAX_FROM_PROXY_BYTES) {
            follow(id, reader, writer, &inbox, terms, leases);
        }
        doors.open.fetch_sub(1, Ordering::Relaxed);
    });
}

/// A stream from its first message to its end.
fn follow(
    id: StreamId,
    mut reader: FrameReader,
    mut writer: FrameWriter,
    inbox: &Arc<Inbox>,
    terms: StreamTerms,
    leases: Option<Arc<LeaseTable>>,
) {
    reader.set_idle_timeout(Some(terms.first_within));
    writer.set_send_timeout(terms.silent_after);
    let subscribe = match first_word(&mut reader) {
        Ok(subscribe) => subscribe,
        Err(why) => {
            tracing::warn!(stream = id.0, why, "a stream ends before it subscribed");
            say_goodbye(&mut writer, &why);
            return;
        }
    };
    let (proxy, zone) = (ProxyId(subscribe.proxy as u16), ZoneId(subscribe.zone as u16));
    let door = Arc::new(StreamHandle::new(terms.cap, leases));
    let (_ending, behind) = (Ending(door.clone()), door.clone());
    spawn(move || write(writer, &behind));
    inbox.send(OwnerEvent::Joins { stream: id, subscribe, door: door.clone() });
    reader.set_idle_timeout(Some(terms.silent_after));
    let mut allowance = Allowance::new(now());
    let why = loop {
        if let Err(why) = read(&mut reader, id, proxy, zone, inbox) {
            break why;
        }
        if !allowance.spend(now()) {
            break "too many messages".into();
        }
    };
    door.close(&why);
    inbox.send(OwnerEvent::Leaves { stream: id, proxy, why });
}

/// Ends the writer however the reader ends.
struct Ending(Arc<StreamHandle>);

impl Drop for Ending {
    fn drop(&mut self) {
        self.0.close("the stream ends");
    }
}

fn first_word(reader: &mut FrameReader) -> Result<Subscribe, String> {
    let message: FromProxy = reader.receive().map_err(|end| end.to_string())?;
    match message.payload {
        Some(from_proxy::Payload::Subscribe(subscribe)) => {
            match u16::try_from(subscribe.proxy.max(subscribe.zone)) {
                Ok(_) => Ok(subscribe),
                Err(_) => {
                    Err(format!("proxy {} or zone {} is too large a number", subscribe.proxy, subscribe.zone))
                }
            }
        }
        _ => Err("the first message is no subscription".into()),
    }
}

/// One message. It lives in a frame of its own, so that an idle stream's stack stays small.
#[inline(never)]
fn read(
    reader: &mut FrameReader,
    stream: StreamId,
    proxy: ProxyId,
    zone: ZoneId,
    inbox: &Inbox,
) -> Result<(), String> {
    let message: FromProxy = reader.receive().map_err(|end: StreamError| end.to_string())?;
    match message.payload {
        Some(from_proxy::Payload::Ack(ack)) => {
            inbox.send(OwnerEvent::Ack { stream, proxy, nonce: ack.nonce })
        }
        Some(from_proxy::Payload::Nack(refusal)) => {
            inbox.send(OwnerEvent::Nack { stream, proxy, nonce: refusal.nonce, reason: refusal.reason });
        }
        Some(from_proxy::Payload::LoadReport(sums)) => {
            if let Some(fault) = intake::fault(&sums) {
                return Err(format!("sums with {fault}"));
            }
            inbox.push_report(Report { stream, proxy, zone, sums });
        }
        Some(from_proxy::Payload::Subscribe(_)) => return Err("a second subscription on one stream".into()),
        None => return Err("a message without a word".into()),
    }
    Ok(())
}

/// Writes what the outbox gives until the stream ends. It holds no lock while it writes.
fn write(mut writer: FrameWriter, door: &Arc<StreamHandle>) {
    loop {
        let next = door.with(|inner| match inner.goodbye.clone() {
            Some(reason) => Err(reason),
            None => Ok(inner.outbox.take(now())),
        });
        match next {
            Err(reason) => return say_goodbye(&mut writer, &reason),
            Ok(WriterAction::Nothing) => door.wake.wait(),
            Ok(WriterAction::WaitUntil(until)) => {
                let waking = door.clone();
                run_after(until - now(), move || waking.wake.post());
                door.wake.wait();
            }
            Ok(WriterAction::Write(publication)) => {
                let lawful = door.lawful(&publication);
                if writer.send_bytes(lawful.as_ref().unwrap_or(&publication.bytes)).is_err() {
                    return writer.close();
                }
            }
        }
    }
}

fn say_goodbye(writer: &mut FrameWriter, reason: &str) {
    writer.set_send_timeout(0.2);
    let goodbye = Goodbye { reason: reason.to_owned() };
    let _ = writer.send(&FromController { payload: Some(from_controller::Payload::Goodbye(goodbye)) });
    writer.close();
}
