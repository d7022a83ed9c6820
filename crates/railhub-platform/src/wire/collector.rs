//! Messages at the controller's own address: a length of four bytes, then one JSON object whose `t` is the type.
use super::json::{decode_fields, decode_message};
use crate::collector::CollectorMessage;
use crate::config::Names;
use crate::error::DecodeError;
use railhub::{HostId, HostLoadReport, Seconds, SliceId, SliceLoadReport};
use serde::Deserialize;

/// Maximum length of a message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum length of a message from a peer that has not joined as a collector.
pub const MAX_FIRST_MESSAGE_BYTES: usize = 1 << 10;
/// Maximum time that one report may cover.
const MAX_REPORT_SPAN: Seconds = 60.0;
/// Maximum number of attempts in one report.
const MAX_ATTEMPTS_PER_REPORT: f64 = 1e6;
/// Values of a report may be noisy: they are accepted up to this multiple of their natural maximum, which is the
/// longest client time-out for latencies and 1 for utilization.
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

/// The protocol's documentation and the settings (`telemetry.names`) use different names for the same fields.
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

/// Decodes one message, given without its length prefix. `slice_count` is the number of slices.
///
/// # Errors
/// [`DecodeError::Unreadable`] if the stream cannot be continued. Any other error concerns this message alone.
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

/// Encodes the response to a ping.
pub fn encode_pong() -> Vec<u8> {
    frame("{\"t\":\"pong\"}")
}

/// Encodes the message that a client receives before its connection is closed.
pub fn encode_refusal(cause: DecodeError) -> Vec<u8> {
    frame(&format!("{{\"t\":\"refused\",\"why\":\"{cause}\"}}"))
}

/// Prepends the length of the body.
fn frame(body: &str) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// Returns the number if it is between 0 and `max`.
fn bounded(number: f64, max: f64) -> Result<f64, DecodeError> {
    if (0.0..=max).contains(&number) {
        Ok(number)
    } else {
        Err(DecodeError::OutOfRange)
    }
}

/// The time that a report covers, in seconds; must be above 0.
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
            cpu_utilization: utilization
                .map(|fraction| bounded(fraction, REPORT_NOISE_FACTOR))
                .transpose()?,
        })
    }
}

impl SliceReportMessage {
    fn convert(&self, names: &Names, slice_count: u16) -> Result<SliceLoadReport, DecodeError> {
        let operations = bounded(self.tries, MAX_ATTEMPTS_PER_REPORT)?;
        // Not bounded by `tries`: an operation may fail in a later reporting period than the one that counts it.
        bounded(self.failed, MAX_ATTEMPTS_PER_REPORT)?;
        if self.slice >= slice_count {
            return Err(DecodeError::UnknownName);
        }
        let class = names.class(&self.class).ok_or(DecodeError::UnknownName)?;
        let span = report_span(self.span_ms)?;
        Ok(SliceLoadReport { slice: SliceId(self.slice), class, operations, span })
    }
}
