//! A proxy's connection to one host: many tries at once, opened when needed.
use may::sync::{Mutex, SyncFlag};
use railhub_net::{connect, run_after, seconds, spawn, split_framed, FrameReader, FrameWriter};
use railhub_proto::{
    from_host, to_host, AttemptOutcome, Cancel, FromHost, Operation, ProxyHello, Response, ToHost,
    MAX_HOST_MESSAGE_BYTES,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// How a try ended for the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    Completed(Option<f64>),
    /// Turned away, or the host could not be reached: it never ran.
    Refused,
    Unreached,
    Failed,
    TimedOut,
}

impl CallEnd {
    pub fn never_ran(self) -> bool {
        matches!(self, CallEnd::Refused | CallEnd::Unreached)
    }
}

#[derive(Default)]
struct Pending {
    done: SyncFlag,
    end: Mutex<Option<CallEnd>>,
}

impl Pending {
    /// The first word holds.
    fn finish(&self, end: CallEnd) {
        self.end.lock().expect("no holder panics").get_or_insert(end);
        self.done.fire();
    }
}

type Open = Arc<Mutex<FrameWriter>>;

pub struct Lane {
    host: SocketAddr,
    proxy: u32,
    within: f64,
    /// The connection, and its number among those of this lane.
    open: Mutex<(u64, Option<Open>)>,
    pending: Mutex<BTreeMap<u64, (u64, Arc<Pending>)>>,
    last_try: AtomicU64,
    out: AtomicUsize,
}

impl Lane {
    pub fn new(host: SocketAddr, proxy: u32, within: f64) -> Lane {
        Lane {
            host,
            proxy,
            within,
            open: Mutex::new((0, None)),
            pending: Mutex::new(BTreeMap::new()),
            last_try: AtomicU64::new(0),
            out: AtomicUsize::new(0),
        }
    }

    /// Tries that are out.
    pub fn out(&self) -> usize {
        self.out.load(Ordering::Relaxed)
    }

    /// Sends an operation and waits for its end; `sent` is called when it crosses the socket.
    pub fn call(self: &Arc<Lane>, operation: Operation, wait: f64, sent: impl FnOnce()) -> CallEnd {
        self.out.fetch_add(1, Ordering::Relaxed);
        let end = self.try_once(operation, wait, sent);
        self.out.fetch_sub(1, Ordering::Relaxed);
        end
    }

    fn try_once(self: &Arc<Lane>, operation: Operation, wait: f64, sent: impl FnOnce()) -> CallEnd {
        let Some((connection, writer)) = self.opened() else { return CallEnd::Unreached };
        let try_id = self.last_try.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = Arc::new(Pending::default());
        self.pending.lock().expect("no holder panics").insert(try_id, (connection, pending.clone()));
        sent();
        let operation = Operation { attempt_id: try_id, ..operation };
        if say(&writer, to_host::Payload::Operation(operation)).is_err() {
            self.pending.lock().expect("no holder panics").remove(&try_id);
            return CallEnd::Failed;
        }
        let waiting = Arc::downgrade(&pending);
        run_after(wait, move || {
            waiting.upgrade().iter().for_each(|pending| pending.finish(CallEnd::TimedOut))
        });
        pending.done.wait();
        let end = pending.end.lock().expect("no holder panics").unwrap_or(CallEnd::Failed);
        if end != CallEnd::TimedOut {
            return end;
        }
        self.pending.lock().expect("no holder panics").remove(&try_id);
        let _ = say(&writer, to_host::Payload::Cancel(Cancel { attempt_id: try_id }));
        CallEnd::TimedOut
    }

    fn opened(self: &Arc<Lane>) -> Option<(u64, Open)> {
        let mut open = self.open.lock().expect("no holder panics");
        if let (connection, Some(writer)) = &*open {
            return Some((*connection, writer.clone()));
        }
        let stream = connect(self.host, seconds(self.within)).ok()?;
        let (mut reader, mut writer) = split_framed(stream, MAX_HOST_MESSAGE_BYTES).ok()?;
        reader.set_idle_timeout(Some(self.within));
        writer
            .send(&ToHost { payload: Some(to_host::Payload::ProxyHello(ProxyHello { proxy: self.proxy })) })
            .ok()?;
        let FromHost { payload: Some(from_host::Payload::Hello(_)) } = reader.receive().ok()? else {
            return None;
        };
        reader.set_idle_timeout(None);
        let writer = Arc::new(Mutex::new(writer));
        open.0 += 1;
        open.1 = Some(writer.clone());
        let (lane, connection) = (self.clone(), open.0);
        spawn(move || lane.follow(connection, reader));
        Some((connection, writer))
    }

    fn follow(&self, connection: u64, mut reader: FrameReader) {
        while let Ok(FromHost { payload: Some(word) }) = reader.receive() {
            if let from_host::Payload::Response(answer) = word {
                self.finish(&answer);
            }
        }
        let mut open = self.open.lock().expect("no holder panics");
        if open.0 == connection {
            open.1.take().into_iter().for_each(|writer| writer.lock().expect("no holder panics").close());
        }
        drop(open);
        let mut pending = self.pending.lock().expect("no holder panics");
        let broken: Vec<u64> =
            (pending.iter().filter(|(_, (at, _))| *at == connection)).map(|p| *p.0).collect();
        for try_id in broken {
            if let Some((_, pending)) = pending.remove(&try_id) {
                pending.finish(CallEnd::Failed);
            }
        }
    }

    fn finish(&self, answer: &Response) {
        let pending = self.pending.lock().expect("no holder panics").remove(&answer.attempt_id);
        if let Some((_, pending)) = pending {
            pending.finish(match answer.outcome() {
                AttemptOutcome::Completed => CallEnd::Completed(answer.utilization),
                AttemptOutcome::Refused => CallEnd::Refused,
                AttemptOutcome::Failed => CallEnd::Failed,
            });
        }
    }

    /// Ends the connection, as when the proxy ends.
    pub fn close(&self) {
        let open = self.open.lock().expect("no holder panics").1.take();
        open.into_iter().for_each(|writer| writer.lock().expect("no holder panics").close());
    }
}

fn say(writer: &Mutex<FrameWriter>, word: to_host::Payload) -> std::io::Result<()> {
    writer.lock().expect("no holder panics").send(&ToHost { payload: Some(word) })
}
