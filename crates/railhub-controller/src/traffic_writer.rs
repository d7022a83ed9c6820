//! Records the operations of load reports in a traffic file. The owner of the core queues reports and never waits for
//! the disk: a report that does not fit the queue is dropped and counted.
use crate::settings::ControllerSettings;
use railhub::{ProxyId, Seconds, ZoneId};
use railhub_proto::{LoadReport, SliceLoad};
use railhub_trace::file::{TraceError, TraceWriter};
use railhub_trace::{TraceHeader, TraceRow};
use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Reports that may wait for the disk: those of some seconds from 300 proxies.
const MAX_PENDING_REPORTS: usize = 2048;
/// Time between flushes, and thus the time whose rows are lost if the controller is killed.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Zones that a file can represent. Reports from higher zone numbers, which proxies choose freely, are dropped.
const MAX_ZONES: usize = 256;
/// Limit for the numbers of the earlier files that are kept beside the current one.
const MAX_EARLIER_FILES: u32 = 1000;

type Rows = Vec<TraceRow>;

/// Records traffic in a file; dropping it finishes the file.
pub struct TrafficWriter {
    rows: Option<SyncSender<Rows>>,
    thread: Option<JoinHandle<()>>,
    started_at: Seconds,
    classes: usize,
    slices: u32,
    /// Reports that were not recorded.
    pub dropped: u64,
}

impl TrafficWriter {
    /// Starts recording if the settings name a file. The file is created at once, so that a failure is reported at the
    /// start.
    ///
    /// # Errors
    /// The file cannot be created, or an earlier one cannot be renamed.
    pub fn start(settings: &ControllerSettings, now: Seconds) -> Result<Option<TrafficWriter>, TraceError> {
        let Some(path) = &settings.traffic else { return Ok(None) };
        let slices = u32::from(settings.config.slice_count);
        let header = TraceHeader {
            classes: settings.class_names.clone(),
            zones: (0..MAX_ZONES).map(|zone| format!("zone-{zone}")).collect(),
            slices,
            // The number of proxies is not known yet.
            proxies: 0,
            length: 0.0,
        };
        let classes = header.classes.len();
        let file_error = |error| TraceError::Io { file: path.display().to_string(), error };
        let writer = create_file(path, &header).map_err(file_error)?;
        let (sender, receiver) = sync_channel(MAX_PENDING_REPORTS);
        let thread = std::thread::spawn(move || {
            if let Err(error) = write_rows(writer, &receiver) {
                tracing::error!(%error, "traffic recording stopped");
            }
        });
        let (rows, thread) = (Some(sender), Some(thread));
        Ok(Some(TrafficWriter { rows, thread, started_at: now, classes, slices, dropped: 0 }))
    }

    /// Records a report.
    pub fn record(&mut self, now: Seconds, proxy: ProxyId, zone: ZoneId, report: &LoadReport) {
        if usize::from(zone.0) >= MAX_ZONES {
            self.dropped += 1;
            return;
        }
        let at = (now - self.started_at).max(0.0);
        let span = report.span.clamp(0.0, at);
        let mut rows = Rows::new();
        for load in report.slices.iter().filter(|load| self.is_recorded(load)) {
            rows.push(TraceRow {
                at,
                class: load.class,
                slice: load.slice,
                zone: u32::from(zone.0),
                proxy: u32::from(proxy.0),
                key: None,
                work: None,
                count: load.operations,
                span,
            });
        }
        let is_dropped = self.rows.as_ref().is_some_and(|sender| sender.try_send(rows).is_err());
        self.dropped += u64::from(is_dropped);
    }

    /// Whether the class and slice are known and there is something to record.
    fn is_recorded(&self, load: &SliceLoad) -> bool {
        (load.class as usize) < self.classes && load.slice < self.slices.max(1) && load.operations > 0
    }
}

impl Drop for TrafficWriter {
    fn drop(&mut self) {
        self.rows = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn create_file(path: &Path, header: &TraceHeader) -> std::io::Result<TraceWriter<BufWriter<File>>> {
    move_earlier_file(path)?;
    let file = File::create(path)?;
    TraceWriter::start(BufWriter::new(file), header)
}

/// Renames the file of an earlier process, with the first free number appended to its name.
fn move_earlier_file(path: &Path) -> std::io::Result<()> {
    if !path.exists() {
        return Ok(());
    }
    let free = (1..MAX_EARLIER_FILES).map(|number| numbered_path(path, number)).find(|name| !name.exists());
    let too_many = format!("{MAX_EARLIER_FILES} earlier files are kept beside it: move some away");
    std::fs::rename(path, free.ok_or(std::io::Error::other(too_many))?)
}

fn numbered_path(path: &Path, number: u32) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{number}"));
    PathBuf::from(name)
}

/// Writes rows until their sender is dropped, then finishes the file.
fn write_rows(mut writer: TraceWriter<BufWriter<File>>, rows: &Receiver<Rows>) -> std::io::Result<()> {
    let started_at = Instant::now();
    let mut flushed_at = started_at;
    loop {
        match rows.recv_timeout(FLUSH_INTERVAL) {
            Ok(rows) => {
                for row in &rows {
                    writer.write_row(row)?;
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => {
                writer.finish(started_at.elapsed().as_secs_f64())?;
                return Ok(());
            }
        }
        if flushed_at.elapsed() >= FLUSH_INTERVAL {
            flushed_at = Instant::now();
            writer.flush()?;
        }
    }
}

#[cfg(test)]
mod tests;
