//! The recorder: takes events from any coroutine or thread, and passes them through a bounded queue to the thread that
//! owns the file.
use crate::error::RecordError;
use crate::events::{Event, EventKind};
use crate::format::{sort_by_time, write_event, MAGIC};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Events that may wait for the writer thread. Further ones are dropped, and [`Recorder::finish`] fails.
pub(crate) const MAX_QUEUED_EVENTS: usize = 1 << 20;
/// Time without events after which the written ones are flushed, for readers that follow the file.
const IDLE_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

type WriterThread = JoinHandle<Result<Vec<Event>, RecordError>>;

/// Takes events from any coroutine or thread. Clones record into the same recording.
#[derive(Clone)]
pub struct Recorder {
    /// `None` ends the recording.
    sender: Sender<Option<Event>>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
    writer: Arc<Mutex<Option<WriterThread>>>,
}

impl Recorder {
    /// Starts a recording into a file, or into memory without a path.
    ///
    /// # Errors
    /// [`RecordError::Io`] if the file cannot be created.
    pub fn start(path: Option<&Path>) -> Result<Recorder, RecordError> {
        let sink = match path {
            None => Sink::Memory(Vec::new()),
            Some(path) => Sink::create(path)?,
        };
        let (sender, receiver) = channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let counter = queued.clone();
        let writer = std::thread::spawn(move || write_queue(&receiver, &counter, sink));
        let writer = Arc::new(Mutex::new(Some(writer)));
        Ok(Recorder { sender, queued, dropped: Arc::default(), writer })
    }

    /// Records an event; drops it if the queue is full.
    pub fn record(&self, at: f64, kind: EventKind) {
        if self.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_EVENTS {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else if self.sender.send(Some(Event { at, kind: Some(kind) })).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Ends the recording. Returns the events of a recording in memory, in the order of their times.
    ///
    /// # Errors
    /// [`RecordError::Io`] if the file could not be written, [`RecordError::QueueOverflow`] if events were dropped.
    ///
    /// # Panics
    /// If another clone panicked in this function.
    pub fn finish(&self) -> Result<Vec<Event>, RecordError> {
        let writer = self.writer.lock().expect("no holder panics").take();
        let _ = self.sender.send(None);
        let mut events = match writer.map(JoinHandle::join) {
            Some(Ok(written)) => written?,
            _ => Vec::new(),
        };
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > 0 {
            return Err(RecordError::QueueOverflow { events: dropped });
        }
        sort_by_time(&mut events);
        Ok(events)
    }
}

/// Where the writer thread puts events.
enum Sink {
    File { path: PathBuf, file: Box<BufWriter<File>> },
    Memory(Vec<Event>),
}

impl Sink {
    fn create(path: &Path) -> Result<Sink, RecordError> {
        let create = || -> io::Result<_> {
            let mut file = Box::new(BufWriter::new(File::create(path)?));
            file.write_all(MAGIC)?;
            Ok(file)
        };
        let file = create().map_err(|source| RecordError::io(path, source))?;
        Ok(Sink::File { path: path.to_owned(), file })
    }

    fn write(&mut self, event: Event) -> Result<(), RecordError> {
        match self {
            Sink::Memory(events) => events.push(event),
            Sink::File { path, file } => {
                write_event(file, &event).map_err(|source| RecordError::io(path, source))?;
            }
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), RecordError> {
        match self {
            Sink::Memory(_) => Ok(()),
            Sink::File { path, file } => file.flush().map_err(|source| RecordError::io(path, source)),
        }
    }

    /// The events that were kept in memory.
    fn into_events(self) -> Vec<Event> {
        match self {
            Sink::Memory(events) => events,
            Sink::File { .. } => Vec::new(),
        }
    }
}

/// The writer thread: writes events until the recording ends, and flushes them when none arrive.
fn write_queue(
    receiver: &Receiver<Option<Event>>,
    queued: &AtomicUsize,
    mut sink: Sink,
) -> Result<Vec<Event>, RecordError> {
    loop {
        match receiver.recv_timeout(IDLE_FLUSH_TIMEOUT) {
            Ok(Some(event)) => {
                queued.fetch_sub(1, Ordering::Relaxed);
                sink.write(event)?;
            }
            Err(RecvTimeoutError::Timeout) => sink.flush()?,
            Ok(None) | Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    sink.flush()?;
    Ok(sink.into_events())
}
