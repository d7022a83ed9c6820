//! JSON-RPC 2.0 with the relay, one object per line: events of a subscription, calls that carry commands, responses.
use super::json::decode_fields;
use crate::command::Command;
use crate::error::DecodeError;
use crate::relay::{Call, CallResponse, RelayEvent};
use railhub::{BarrierAck, BarrierId, HostId, ProxyId, RetryPolicy, SliceId, WeightedHost};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum length of a line from the relay.
pub const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum length of a call: the relay accepts 60,000 bytes of commands, and the call's other fields take some.
const MAX_CALL_BYTES: usize = 58_000;

#[derive(Deserialize)]
struct Header {
    method: Option<String>,
    #[serde(default)]
    result: Option<bool>,
}

#[derive(Deserialize)]
struct Notification<T> {
    params: T,
}

#[derive(Deserialize)]
struct JoinedParams {
    proxy: u16,
    fresh: bool,
}

#[derive(Deserialize)]
struct LeftParams {
    proxy: u16,
}

#[derive(Deserialize)]
struct AppliedParams {
    proxy: u16,
    mark: u16,
}

#[derive(Deserialize)]
struct GivenParams {
    slice: u16,
    on: bool,
}

#[derive(Deserialize)]
struct HeldParams {
    slice: u16,
    server: String,
    weight: f64,
}

/// Decodes a line of a subscription.
///
/// # Errors
/// The line is invalid. Later lines of the stream cannot be trusted either.
pub fn decode_event(line: &[u8]) -> Result<RelayEvent, DecodeError> {
    let header: Header = serde_json::from_slice(line).map_err(|_| DecodeError::Unreadable)?;
    let Some(method) = header.method else {
        return if header.result == Some(true) {
            Ok(RelayEvent::Subscribed)
        } else {
            Err(DecodeError::UnexpectedType)
        };
    };
    Ok(match method.as_str() {
        "ping" => RelayEvent::Heartbeat,
        "joined" => {
            let joined: JoinedParams = params(line)?;
            RelayEvent::ProxyJoined { proxy: ProxyId(joined.proxy), first: joined.fresh }
        }
        "left" => {
            let left: LeftParams = params(line)?;
            RelayEvent::ProxyLeft(ProxyId(left.proxy))
        }
        "applied" => {
            let applied: AppliedParams = params(line)?;
            let ack = BarrierAck { proxy: ProxyId(applied.proxy), barrier: BarrierId(applied.mark) };
            RelayEvent::BarrierAcked(ack)
        }
        "given" => {
            let given: GivenParams = params(line)?;
            RelayEvent::SliceAssigned { slice: SliceId(given.slice), assigned: given.on }
        }
        "held" => params::<HeldParams>(line)?.convert()?,
        _ => return Err(DecodeError::UnexpectedType),
    })
}

fn params<T: DeserializeOwned>(line: &[u8]) -> Result<T, DecodeError> {
    decode_fields::<Notification<T>>(line).map(|notification| notification.params)
}

impl HeldParams {
    fn convert(&self) -> Result<RelayEvent, DecodeError> {
        let host = HostId::new(&self.server).ok_or(DecodeError::UnknownName)?;
        if !(self.weight.is_finite() && self.weight >= 0.0) {
            return Err(DecodeError::OutOfRange);
        }
        let line = WeightedHost { host, weight: self.weight };
        Ok(RelayEvent::StoredEntry { slice: SliceId(self.slice), line })
    }
}

#[derive(Deserialize)]
struct ResponseMessage {
    id: u64,
    #[serde(default)]
    result: Option<CommitResult>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct CommitResult {
    taken: usize,
}

/// Decodes the response to the call with this id and number of commands.
///
/// # Errors
/// The line is invalid or not a response to this call: the outcome of the call is unknown.
pub fn decode_response(line: &[u8], id: u64, commands: usize) -> Result<CallResponse, DecodeError> {
    let response: ResponseMessage = decode_fields(line)?;
    if response.id != id {
        return Err(DecodeError::UnknownName);
    }
    match (response.result, response.error) {
        (Some(CommitResult { taken }), None) if taken <= commands => Ok(CallResponse::Accepted(taken)),
        (Some(_), None) => Err(DecodeError::OutOfRange),
        (None, Some(_)) => decode_error(line),
        _ => Err(DecodeError::InvalidField),
    }
}

/// Finds the cause of an error. The protocol does not specify the format of errors, so the whole line is searched.
fn decode_error(line: &[u8]) -> Result<CallResponse, DecodeError> {
    let contains = |cause: &[u8]| line.windows(cause.len()).any(|part| part == cause);
    match (contains(b"limit"), contains(b"malformed")) {
        (true, false) => Ok(CallResponse::Rejected),
        (false, true) => Ok(CallResponse::Malformed),
        _ => Err(DecodeError::InvalidField),
    }
}

/// Encodes the request that starts a subscription.
pub fn encode_subscribe(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"subscribe\"}}\n").into_bytes()
}

#[derive(Serialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum CommandMessage<'a> {
    Share { table: u16, server: &'a str, weight: f64 },
    Withdraw { server: &'a str },
    Restore { server: &'a str },
    Admit { classes: [&'a str; 1], level: f64, retry: u8 },
    Mark { ticket: u16, on: u8 },
}

/// The value of `on` in a mark: all proxies acknowledge it.
const ALL_PROXIES: u8 = 1;

/// Encodes one command.
///
/// # Panics
/// If the class of an admission rate has no name: [`crate::PendingCommands`] drops such commands.
pub(crate) fn encode_command(command: &Command, class_names: &[String]) -> String {
    let message = match command {
        Command::SetWeight { slice, entry } => {
            CommandMessage::Share { table: slice.0, server: entry.host.name(), weight: entry.weight }
        }
        Command::Exclude(host) => CommandMessage::Withdraw { server: host.name() },
        Command::Readmit(host) => CommandMessage::Restore { server: host.name() },
        Command::SetAdmissionRate { class, rate, retry } => CommandMessage::Admit {
            classes: [&class_names[usize::from(class.0)]],
            level: *rate,
            retry: retry_policy_code(*retry),
        },
        Command::Barrier(barrier) => CommandMessage::Mark { ticket: barrier.0, on: ALL_PROXIES },
    };
    serde_json::to_string(&message).expect("names and finite numbers have a JSON form")
}

fn retry_policy_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::AfterFailure => 2,
    }
}

/// Builds a call from encoded commands.
pub(crate) struct CallEncoder {
    id: u64,
    commands: usize,
    bytes: Vec<u8>,
}

impl CallEncoder {
    pub(crate) fn new(id: u64) -> CallEncoder {
        let head =
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"commit\",\"params\":{{\"orders\":[");
        CallEncoder { id, commands: 0, bytes: head.into_bytes() }
    }

    /// Whether one more command keeps the call within [`MAX_CALL_BYTES`]. The first one always fits.
    pub(crate) fn fits(&self, command: &str) -> bool {
        self.commands == 0 || self.bytes.len() + command.len() < MAX_CALL_BYTES
    }

    pub(crate) fn push(&mut self, command: &str) {
        if self.commands > 0 {
            self.bytes.push(b',');
        }
        self.bytes.extend_from_slice(command.as_bytes());
        self.commands += 1;
    }

    pub(crate) fn finish(mut self) -> Call {
        self.bytes.extend_from_slice(b"]}}\n");
        Call { id: self.id, commands: self.commands, bytes: self.bytes }
    }
}
