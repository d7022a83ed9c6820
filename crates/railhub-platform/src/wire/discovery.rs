//! Discovery's pages: the complete endpoint list or changes to it, one JSON object per line of a watch.
use super::json::decode_message;
use crate::config::Names;
use crate::endpoints::{EndpointPage, PageEntry};
use crate::error::DecodeError;
use railhub::{EndpointEntry, HostId, Phase};
use serde::Deserialize;

/// The request path of a watch that starts after this generation.
pub fn watch_path(generation: u64) -> String {
    format!("/discovery/hosts?watch=1&after={generation}")
}

/// Decodes one page.
///
/// # Errors
/// The page is invalid. An invalid entry is not an error: it is left out and recorded in [`EndpointPage::invalid`].
pub fn decode_page(line: &[u8], names: &Names) -> Result<EndpointPage, DecodeError> {
    let page: PageMessage = decode_message(line)?;
    Ok(page.convert(names))
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct PageMessage {
    generation: u64,
    reset: bool,
    instances: Vec<InstanceOrInvalid>,
}

/// An entry with a field that is missing or has the wrong type is invalid alone; the page remains valid.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum InstanceOrInvalid {
    Instance(Instance),
    Invalid(serde::de::IgnoredAny),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    machine_type: String,
    lifecycle: String,
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

impl PageMessage {
    /// Converts a page. A complete list with an invalid entry is treated as changes, so that the host of that entry is
    /// not removed.
    pub(super) fn convert(&self, names: &Names) -> EndpointPage {
        let mut page = EndpointPage { generation: self.generation, ..EndpointPage::default() };
        for entry in &self.instances {
            let converted = match entry {
                InstanceOrInvalid::Instance(instance) => instance.convert(names),
                InstanceOrInvalid::Invalid(_) => Err(DecodeError::InvalidField),
            };
            match converted {
                Ok(entry) => page.entries.push(entry),
                Err(cause) => page.invalid.push(cause),
            }
        }
        page.complete = self.reset && page.invalid.is_empty();
        page
    }
}

impl Instance {
    fn convert(&self, names: &Names) -> Result<PageEntry, DecodeError> {
        let phase = match self.lifecycle.as_str() {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return Err(DecodeError::UnknownName),
        };
        if !is_non_negative(self.weight) || !is_non_negative(self.started_at_ms) {
            return Err(DecodeError::OutOfRange);
        }
        let host = HostId::new(&self.instance_id).ok_or(DecodeError::InvalidField)?;
        let address = self.host_port.parse().map_err(|_| DecodeError::InvalidField)?;
        let started_at = (self.started_at_ms > 0.0).then_some(self.started_at_ms / 1e3);
        let kind = names.kind(&self.machine_type);
        Ok(PageEntry {
            endpoint: EndpointEntry { host, phase, started_at, weight: self.weight, kind },
            address,
        })
    }
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
