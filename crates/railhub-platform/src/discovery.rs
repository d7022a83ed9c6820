//! Discovery's pages: the list of hosts, whole or what changed.
use crate::assignment::Names;
use crate::InvalidEntry;
use railhub::{EndpointEntry, EndpointList, HostId, Phase};
use serde::Deserialize;
use std::net::SocketAddr;

/// A checked entry: what the module is told, and where the host can be probed from here.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub listed: EndpointEntry,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Default)]
pub struct EndpointPage {
    pub generation: u64,
    /// The whole list, so that what it lacks is gone.
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// Why entries were left out.
    pub invalid: Vec<InvalidEntry>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct RawEndpointPage {
    generation: u64,
    reset: bool,
    instances: Vec<Entered>,
}

/// An entry of which a field lacks or has another type costs itself, not the page.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Entered {
    Whole(Instance),
    InvalidEntry(serde::de::IgnoredAny),
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

pub fn read(line: &[u8], names: &Names) -> Result<EndpointPage, InvalidEntry> {
    let raw: RawEndpointPage =
        serde_json::from_slice(line).map_err(|fault| crate::collector::unreadable(&fault))?;
    Ok(raw.check(names))
}

impl RawEndpointPage {
    /// A whole list that lacks an entry for being invalid must not make that host gone: it counts as changes.
    pub fn check(&self, names: &Names) -> EndpointPage {
        let mut page = EndpointPage {
            generation: self.generation,
            whole: self.reset,
            entries: Vec::new(),
            invalid: Vec::new(),
        };
        for instance in &self.instances {
            let checked = match instance {
                Entered::Whole(instance) => instance.check(names),
                Entered::InvalidEntry(_) => Err(InvalidEntry::Fields),
            };
            match checked {
                Ok(entry) => page.entries.push(entry),
                Err(fault) => page.invalid.push(fault),
            }
        }
        page.whole &= page.invalid.is_empty();
        page
    }
}

impl EndpointPage {
    pub fn list(&self) -> EndpointList {
        EndpointList {
            complete: self.whole,
            entries: self.entries.iter().map(|entry| entry.listed).collect(),
        }
    }
}

impl Instance {
    fn check(&self, names: &Names) -> Result<Entry, InvalidEntry> {
        let phase = match self.lifecycle.as_str() {
            "ready" => Phase::Ready,
            "draining" => Phase::Draining,
            "gone" => Phase::Gone,
            _ => return Err(InvalidEntry::Unknown),
        };
        let sane = |figure: f64| figure.is_finite() && figure >= 0.0;
        if !sane(self.weight) || !sane(self.started_at_ms) {
            return Err(InvalidEntry::Range);
        }
        let host = HostId::new(&self.instance_id).ok_or(InvalidEntry::Fields)?;
        let address = self.host_port.parse().map_err(|_| InvalidEntry::Fields)?;
        let started_at = (self.started_at_ms > 0.0).then_some(self.started_at_ms / 1e3);
        let kind = names.kind(&self.machine_type);
        Ok(Entry { listed: EndpointEntry { host, phase, started_at, weight: self.weight, kind }, address })
    }
}
