//! The simulated endpoint list: the hosts as discovery has noticed them, entries that faults override, and the
//! state last delivered to the controller.
use railhub::{EndpointEntry, EndpointList, HostId, HostKindId, Phase};
use railhub_record::{EndpointStatus, EndpointsReceived};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entry of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    pub phase: Phase,
    pub started_at: Option<f64>,
    pub weight: f64,
    pub kind: u16,
}

#[derive(Default)]
pub struct SimulatedEndpointList {
    current: BTreeMap<SocketAddr, EndpointState>,
    /// Wrong entries, by the number of the fault that shows them.
    overrides: BTreeMap<usize, Vec<(SocketAddr, EndpointState)>>,
    /// What the controller received last.
    delivered: BTreeMap<SocketAddr, EndpointState>,
    /// Set while a fault makes the list unavailable: nothing is delivered.
    pub unavailable: bool,
}

impl SimulatedEndpointList {
    pub fn update(&mut self, host: SocketAddr, state: EndpointState) {
        if state.phase == Phase::Gone {
            self.current.remove(&host);
        } else {
            self.current.insert(host, state);
        }
    }

    /// Sets the entries that a fault overrides; `None` removes them.
    pub fn set_override(&mut self, fault: usize, states: Option<Vec<(SocketAddr, EndpointState)>>) {
        match states {
            Some(states) => _ = self.overrides.insert(fault, states),
            None => _ = self.overrides.remove(&fault),
        }
    }

    /// The list as the controller would read it now.
    fn visible(&self) -> BTreeMap<SocketAddr, EndpointState> {
        let mut visible = self.current.clone();
        for (host, state) in self.overrides.values().flatten() {
            if state.phase != Phase::Gone || visible.contains_key(host) {
                visible.insert(*host, *state);
            }
        }
        visible
    }

    /// The changes since the last delivery, if any; marks them as delivered.
    pub fn take_changes(&mut self) -> Option<Vec<(SocketAddr, EndpointState)>> {
        if self.unavailable {
            return None;
        }
        let visible = self.visible();
        let gone = self.delivered.iter().filter(|(host, _)| !visible.contains_key(*host));
        let gone: Vec<_> =
            gone.map(|(host, state)| (*host, EndpointState { phase: Phase::Gone, ..*state })).collect();
        let changed = visible.iter().filter(|(host, state)| self.delivered.get(*host) != Some(state));
        let changes: Vec<_> = changed.map(|(host, state)| (*host, *state)).chain(gone).collect();
        self.delivered = visible;
        (!changes.is_empty()).then_some(changes)
    }

    /// The complete list, for a controller that has just started; marks it as delivered.
    pub fn take_complete(&mut self) -> Option<Vec<(SocketAddr, EndpointState)>> {
        if self.unavailable {
            return None;
        }
        self.delivered = self.visible();
        Some(
            self.delivered
                .iter()
                .filter(|(_, state)| state.phase != Phase::Gone)
                .map(|(host, state)| (*host, *state))
                .collect(),
        )
    }
}

/// The list, or a change to it, as the controller core takes it.
pub fn endpoint_list_message(complete: bool, states: &[(SocketAddr, EndpointState)]) -> EndpointList {
    let entries = states.iter().map(|(host, state)| EndpointEntry {
        host: HostId::from(*host),
        phase: state.phase,
        started_at: state.started_at,
        weight: state.weight,
        kind: HostKindId(state.kind),
    });
    EndpointList { complete, entries: entries.collect() }
}

/// The list, or a change to it, as an event of the recording.
pub fn endpoints_received(complete: bool, states: &[(SocketAddr, EndpointState)]) -> EndpointsReceived {
    let entries = states.iter().map(|(host, state)| EndpointStatus {
        host: host.to_string(),
        phase: match state.phase {
            Phase::Ready => railhub_record::EndpointPhase::Ready,
            Phase::Draining => railhub_record::EndpointPhase::Draining,
            Phase::Gone => railhub_record::EndpointPhase::Gone,
        }
        .into(),
        started_at: state.started_at,
    });
    EndpointsReceived { complete, entries: entries.collect(), controller: 0 }
}
