//! Writes down the operations that sums tell of. The owner of the decisions hands reports over and never waits
//! for the disk: what does not fit the queue is counted and left out.
use crate::installation::Installation;
use railhub::{ProxyId, Seconds, ZoneId};
use railhub_proto::LoadReport;
use railhub_traffic::file::{TrafficFault, Writer};
use railhub_traffic::{Facts, Row};
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Reports that may wait for the disk: some seconds of 300 proxies.
const WAITING: usize = 2048;
/// A steward that is killed loses at most the rows of such a span.
const FLUSH_EVERY: Duration = Duration::from_secs(1);
/// Zones that a file can tell apart: a proxy names its own, whatever it is.
const ZONES: usize = 256;

/// Earlier files that are kept beside the present one.
const KEPT: u32 = 1000;

type Rows = Vec<Row>;

/// Ends its file when it is dropped.
pub struct TrafficWriter {
    to: Option<SyncSender<Rows>>,
    writing: Option<JoinHandle<()>>,
    began: Seconds,
    classes: usize,
    slices: u32,
    pub dropped: u64,
}

impl TrafficWriter {
    /// If the installation names a file; it is made at once, so that one that cannot be is told of at the start.
    pub fn start(installation: &Installation, now: Seconds) -> Result<Option<TrafficWriter>, TrafficFault> {
        let Some(path) = &installation.traffic else { return Ok(None) };
        let slices = u32::from(installation.terms.slice_count);
        let facts = Facts {
            classes: installation.class_names.clone(),
            zones: (0..ZONES).map(|zone| format!("zone-{zone}")).collect(),
            slices,
            // Who joins is not known yet.
            proxies: 0,
            length: 0.0,
        };
        let fault = |e| TrafficFault::File(path.display().to_string(), e);
        put_by(path).map_err(fault)?;
        let file = File::create(path).map_err(fault)?;
        let writer = Writer::start(BufWriter::new(file), &facts).map_err(fault)?;
        let (to, from) = sync_channel(WAITING);
        let writing = std::thread::spawn(move || write(writer, &from));
        let classes = facts.classes.len();
        let (to, writing) = (Some(to), Some(writing));
        Ok(Some(TrafficWriter { to, writing, began: now, classes, slices, dropped: 0 }))
    }

    pub fn take(&mut self, now: Seconds, proxy: ProxyId, zone: ZoneId, sums: &LoadReport) {
        if usize::from(zone.0) >= ZONES {
            self.dropped += 1;
            return;
        }
        let at = (now - self.began).max(0.0);
        let known = sums.slices.iter().filter(|sum| {
            (sum.class as usize) < self.classes && sum.slice < self.slices.max(1) && sum.operations > 0
        });
        let row = |sum: &railhub_proto::SliceLoad| Row {
            at,
            class: sum.class,
            slice: sum.slice,
            zone: u32::from(zone.0),
            proxy: u32::from(proxy.0),
            key: None,
            work: None,
            count: sum.operations,
            span: sums.span.clamp(0.0, at),
        };
        let rows: Rows = known.map(row).collect();
        match self.to.as_ref().map(|to| to.try_send(rows)) {
            Some(Ok(())) | None => {}
            Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) => self.dropped += 1,
        }
    }
}

/// What an earlier process wrote stays, under the first free number.
fn put_by(path: &Path) -> std::io::Result<()> {
    if !path.exists() {
        return Ok(());
    }
    let numbered = |n: u32| {
        let mut name = path.as_os_str().to_owned();
        name.push(format!(".{n}"));
        PathBuf::from(name)
    };
    match (1..KEPT).map(numbered).find(|other| !other.exists()) {
        Some(other) => std::fs::rename(path, other),
        None => {
            Err(std::io::Error::other(format!("{KEPT} earlier files are kept beside it: move some away")))
        }
    }
}

impl Drop for TrafficWriter {
    fn drop(&mut self) {
        self.to = None;
        if let Some(writing) = self.writing.take() {
            let _ = writing.join();
        }
    }
}

fn write(mut writer: Writer<BufWriter<File>>, from: &Receiver<Rows>) {
    let (began, mut flushed) = (Instant::now(), Instant::now());
    let written = loop {
        let rows = match from.recv_timeout(FLUSH_EVERY) {
            Ok(rows) => rows,
            Err(RecvTimeoutError::Timeout) => Rows::new(),
            Err(RecvTimeoutError::Disconnected) => {
                break writer.finish(began.elapsed().as_secs_f64()).map(|_| ());
            }
        };
        let mut put = rows.iter().try_for_each(|row| writer.put(row));
        if flushed.elapsed() >= FLUSH_EVERY {
            flushed = Instant::now();
            put = put.and_then(|()| writer.flush());
        }
        if put.is_err() {
            break put;
        }
    };
    if let Err(error) = written {
        tracing::error!(%error, "traffic is written no more");
    }
}

#[cfg(test)]
mod tests;
