//! What comes to the steward's own address: a zone's collector with its reports, signs of life, and strangers.
use crate::assignment::Names;
use crate::InvalidEntry;
use railhub::{HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport, ZoneId};
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// Seconds one report may cover, and tries it may tell of: what is past them is no report.
const MAX_REPORT_SPAN: Seconds = 60.0;
const MAX_ATTEMPTS_PER_REPORT: f64 = 1e6;
/// Times the longest wait of a client that a mean of good tries may seem to be: reports are noisy.
const REPORT_NOISE_FACTOR: f64 = 2.0;
/// Bytes a message may have, and one of a peer that has not joined: it has nothing long to say.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
pub const MAX_FIRST_MESSAGE_BYTES: usize = 1 << 10;

#[derive(Clone, Debug)]
pub enum CollectorMessage {
    Ping,
    Collector(ZoneId),
    HostLoad(HostLoadReport),
    SliceLoad(SliceLoadReport),
}

#[derive(Deserialize)]
struct Kind {
    t: String,
}

#[derive(Deserialize)]
struct Collector {
    zone: String,
}

#[derive(Deserialize)]
struct HostReportMessage {
    zone: String,
    server: String,
    tries: f64,
    failed: f64,
    mean_ms: f64,
    span_ms: f64,
    #[serde(default)]
    load: Option<Load>,
}

/// The protocol's page and the settings (`telemetry.names`) call the same figures by other names.
#[derive(Deserialize)]
struct Load {
    #[serde(default, alias = "rif")]
    inflight: Option<f64>,
    #[serde(default, alias = "busy")]
    util: Option<f64>,
}

#[derive(Deserialize)]
struct SliceReportMessage {
    slice: u16,
    class: String,
    tries: f64,
    failed: f64,
    span_ms: f64,
}

/// Fields into `T`; unknown ones are passed over without recursion.
fn fields<T: DeserializeOwned>(body: &[u8]) -> Result<T, InvalidEntry> {
    serde_json::from_slice(body).map_err(|_| InvalidEntry::Fields)
}

/// JSON that lacks its kind is invalid alone; what is no JSON spoils all that follows it.
pub(crate) fn unreadable(fault: &serde_json::Error) -> InvalidEntry {
    match fault.classify() {
        serde_json::error::Category::Data => InvalidEntry::Fields,
        _ => InvalidEntry::Unreadable,
    }
}

/// `slices`: how many there are.
pub fn read(body: &[u8], names: &Names, slices: u16) -> Result<CollectorMessage, InvalidEntry> {
    let kind: Kind = serde_json::from_slice(body).map_err(|fault| unreadable(&fault))?;
    match kind.t.as_str() {
        "ping" => Ok(CollectorMessage::Ping),
        "collector" => {
            let named: Collector = fields(body)?;
            names.zone(&named.zone).map(CollectorMessage::Collector).ok_or(InvalidEntry::Unknown)
        }
        "heard" => fields::<HostReportMessage>(body)?.check(names).map(CollectorMessage::HostLoad),
        "heat" => fields::<SliceReportMessage>(body)?.check(names, slices).map(CollectorMessage::SliceLoad),
        _ => Err(InvalidEntry::Kind),
    }
}

fn within(figure: f64, most: f64) -> Result<f64, InvalidEntry> {
    if (0.0..=most).contains(&figure) {
        Ok(figure)
    } else {
        Err(InvalidEntry::Range)
    }
}

fn span(span_ms: f64) -> Result<Seconds, InvalidEntry> {
    let span = within(span_ms / 1e3, MAX_REPORT_SPAN)?;
    if span > 0.0 {
        Ok(span)
    } else {
        Err(InvalidEntry::Range)
    }
}

impl HostReportMessage {
    fn check(&self, names: &Names) -> Result<HostLoadReport, InvalidEntry> {
        let tries = within(self.tries, MAX_ATTEMPTS_PER_REPORT)?;
        let load = self.load.as_ref();
        load.and_then(|load| load.inflight).map_or(Ok(0.0), |held| within(held, MAX_ATTEMPTS_PER_REPORT))?;
        Ok(HostLoadReport {
            zone: names.zone(&self.zone).ok_or(InvalidEntry::Unknown)?,
            host: HostId::new(&self.server).ok_or(InvalidEntry::Unknown)?,
            attempts: tries,
            failed: within(self.failed, tries)?,
            mean_latency: within(self.mean_ms / 1e3, REPORT_NOISE_FACTOR * names.max_client_timeout)?,
            span: span(self.span_ms)?,
            cpu_utilization: load
                .and_then(|load| load.util)
                .map(|util| within(util, REPORT_NOISE_FACTOR))
                .transpose()?,
        })
    }
}

impl SliceReportMessage {
    fn check(&self, names: &Names, slices: u16) -> Result<SliceLoadReport, InvalidEntry> {
        let operations = within(self.tries, MAX_ATTEMPTS_PER_REPORT)?;
        // An operation may fail in a later span than the one it came in.
        within(self.failed, MAX_ATTEMPTS_PER_REPORT)?;
        if self.slice >= slices {
            return Err(InvalidEntry::Unknown);
        }
        let class = names.class(&self.class).ok_or(InvalidEntry::Unknown)?;
        Ok(SliceLoadReport { slice: SliceId(self.slice), class, operations, span: span(self.span_ms)? })
    }
}

/// What a stranger is told before its connection ends.
pub fn refusal(why: InvalidEntry) -> Vec<u8> {
    framed(&format!("{{\"t\":\"refused\",\"why\":\"{why}\"}}"))
}

pub fn pong() -> Vec<u8> {
    framed("{\"t\":\"pong\"}")
}

fn framed(body: &str) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}
