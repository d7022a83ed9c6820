//! The endpoint list as a controller has received it.
use railhub_record::{EndpointPhase, EndpointsReceived};
use std::collections::BTreeMap;

/// The latest state that a controller received for one host.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedEndpoint {
    pub phase: EndpointPhase,
    /// When its process started, in seconds, if the list states it.
    pub started_at: Option<f64>,
    /// When this phase was first received, in seconds.
    pub since: f64,
}

/// All hosts that a controller has received, by address.
#[derive(Default)]
pub struct EndpointView {
    pub hosts: BTreeMap<String, ReceivedEndpoint>,
}

impl EndpointView {
    /// Applies an update. A host that is missing from a complete list is gone.
    pub fn on_update(&mut self, at: f64, update: &EndpointsReceived) {
        if update.complete {
            self.mark_missing_as_gone(at, update);
        }
        for entry in &update.entries {
            let (phase, started_at) = (entry.phase(), entry.started_at);
            let unchanged = self.hosts.get(&entry.host).filter(|known| known.phase == phase);
            let since = unchanged.map_or(at, |known| known.since);
            self.hosts.insert(entry.host.clone(), ReceivedEndpoint { phase, started_at, since });
        }
    }

    fn mark_missing_as_gone(&mut self, at: f64, update: &EndpointsReceived) {
        for (host, known) in &mut self.hosts {
            let is_listed = update.entries.iter().any(|entry| entry.host == *host);
            if !is_listed && known.phase != EndpointPhase::Gone {
                *known = ReceivedEndpoint { phase: EndpointPhase::Gone, started_at: None, since: at };
            }
        }
    }

    /// Removes all hosts: the controller's process ended, and the next one receives the whole list again.
    pub fn clear(&mut self) {
        self.hosts.clear();
    }
}
