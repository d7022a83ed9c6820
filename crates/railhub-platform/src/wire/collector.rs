//! Messages at the controller's own address: four bytes of length, then one JSON object whose `t` names its type.
use super::json::{decode_fields, decode_message};
use crate::collector::CollectorMessage;
use crate::config::Names;
use crate::error::DecodeError;
use railhub::{HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport};
use serde::Deserialize;

/// Most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Most bytes of a message of a peer that has not joined as a collector.
pub const MAX_FIRST_MESSAGE_BYTES: usize = 1 << 10;
/// Longest time that one report may cover, in seconds.
const MAX_REPORT_SPAN: Seconds = 60.0;
/// Most attempts that one report may count.
const MAX_ATTEMPTS_PER_REPORT: f64 = 1e6;
/// Multiple of its natural bound (a client's time-out, full use) that a noisy report may give.
const REPORT_NOISE_FACTOR: f64 = 2.0;

#[derive(Deserialize)]
struct MessageType {
    t: String,
}

#[derive(Deserialize)]
struct JoinMessage {
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
    load: Option<HostLoadMessage>,
}

/// The protocol's page and the settings (`telemetry.names`) give the same fields different names.
#[derive(Deserialize)]
struct HostLoadMessage {
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

/// Decodes one message, without its length. `slice_count`: how many there are.
///
/// # Errors
/// [`DecodeError::Unreadable`] if the stream cannot go on; any other one invalidates this message alone.
pub fn decode(body: &[u8], names: &Names, slice_count: u16) -> Result<CollectorMessage, DecodeError> {
    let message: MessageType = decode_message(body)?;
    match message.t.as_str() {
        "ping" => Ok(CollectorMessage::Ping),
        "collector" => {
            let join: JoinMessage = decode_fields(body)?;
            let zone = names.zone(&join.zone).ok_or(DecodeError::UnknownName)?;
            Ok(CollectorMessage::Join(zone))
        }
        "heard" => {
            let report: HostReportMessage = decode_fields(body)?;
            report.convert(names).map(CollectorMessage::HostLoad)
        }
        "heat" => {
            let report: SliceReportMessage = decode_fields(body)?;
            report.convert(names, slice_count).map(CollectorMessage::SliceLoad)
        }
        _ => Err(DecodeError::UnexpectedType),
    }
}

/// The answer to a ping.
pub fn encode_pong() -> Vec<u8> {
    framed("{\"t\":\"pong\"}")
}

/// What a visitor is sent before its connection is closed.
pub fn encode_refusal(cause: DecodeError) -> Vec<u8> {
    framed(&format!("{{\"t\":\"refused\",\"why\":\"{cause}\"}}"))
}

fn framed(body: &str) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// A number from 0 to `max`.
fn bounded(number: f64, max: f64) -> Result<f64, DecodeError> {
    if (0.0..=max).contains(&number) {
        Ok(number)
    } else {
        Err(DecodeError::OutOfRange)
    }
}

/// The time that a report covers, in seconds.
fn report_span(span_ms: f64) -> Result<Seconds, DecodeError> {
    let span = bounded(span_ms / 1e3, MAX_REPORT_SPAN)?;
    if span > 0.0 {
        Ok(span)
    } else {
        Err(DecodeError::OutOfRange)
    }
}

impl HostReportMessage {
    fn convert(&self, names: &Names) -> Result<HostLoadReport, DecodeError> {
        let attempts = bounded(self.tries, MAX_ATTEMPTS_PER_REPORT)?;
        let in_flight = self.load.as_ref().and_then(|load| load.inflight);
        bounded(in_flight.unwrap_or(0.0), MAX_ATTEMPTS_PER_REPORT)?;
        let utilization = self.load.as_ref().and_then(|load| load.util);
        Ok(HostLoadReport {
            zone: names.zone(&self.zone).ok_or(DecodeError::UnknownName)?,
            host: HostId::new(&self.server).ok_or(DecodeError::UnknownName)?,
            attempts,
            failed: bounded(self.failed, attempts)?,
            mean_latency: bounded(self.mean_ms / 1e3, REPORT_NOISE_FACTOR * names.max_client_timeout)?,
            span: report_span(self.span_ms)?,
            cpu_utilization: utilization.map(|share| bounded(share, REPORT_NOISE_FACTOR)).transpose()?,
        })
    }
}

impl SliceReportMessage {
    fn convert(&self, names: &Names, slice_count: u16) -> Result<SliceLoadReport, DecodeError> {
        let operations = bounded(self.tries, MAX_ATTEMPTS_PER_REPORT)?;
        // Not bounded by `tries`: an operation may fail in a later report than the one that counts it.
        bounded(self.failed, MAX_ATTEMPTS_PER_REPORT)?;
        if self.slice >= slice_count {
            return Err(DecodeError::UnknownName);
        }
        let class = names.class(&self.class).ok_or(DecodeError::UnknownName)?;
        let span = report_span(self.span_ms)?;
        Ok(SliceLoadReport { slice: SliceId(self.slice), class, operations, span })
    }
}
