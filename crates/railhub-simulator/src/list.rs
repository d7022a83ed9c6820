//! The host list of the model: the truth as it has been noticed, lies on top, and what the steward was told.
use railhub::{EndpointEntry, EndpointList, HostId, HostKindId, Phase};
use railhub_record::{EndpointStatus, EndpointsReceived};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub phase: Phase,
    pub started: Option<f64>,
    pub weight: f64,
    pub kind: u16,
}

#[derive(Default)]
pub struct List {
    truth: BTreeMap<SocketAddr, Line>,
    lies: BTreeMap<usize, Vec<(SocketAddr, Line)>>,
    told: BTreeMap<SocketAddr, Line>,
    pub broken: bool,
}

impl List {
    pub fn learn(&mut self, host: SocketAddr, line: Line) {
        if line.phase == Phase::Gone {
            self.truth.remove(&host);
        } else {
            self.truth.insert(host, line);
        }
    }

    pub fn lie(&mut self, lie: usize, lines: Option<Vec<(SocketAddr, Line)>>) {
        match lines {
            Some(lines) => _ = self.lies.insert(lie, lines),
            None => _ = self.lies.remove(&lie),
        }
    }

    fn shown(&self) -> BTreeMap<SocketAddr, Line> {
        let mut shown = self.truth.clone();
        for (host, line) in self.lies.values().flatten() {
            if line.phase != Phase::Gone || shown.contains_key(host) {
                shown.insert(*host, *line);
            }
        }
        shown
    }

    /// What is new to the steward, if anything.
    pub fn news(&mut self) -> Option<Vec<(SocketAddr, Line)>> {
        if self.broken {
            return None;
        }
        let shown = self.shown();
        let gone = self.told.iter().filter(|(host, _)| !shown.contains_key(*host));
        let gone: Vec<_> = gone.map(|(host, line)| (*host, Line { phase: Phase::Gone, ..*line })).collect();
        let changed = shown.iter().filter(|(host, line)| self.told.get(*host) != Some(line));
        let news: Vec<_> = changed.map(|(host, line)| (*host, *line)).chain(gone).collect();
        self.told = shown;
        (!news.is_empty()).then_some(news)
    }

    /// All of it, to a steward that has just started.
    pub fn whole(&mut self) -> Option<Vec<(SocketAddr, Line)>> {
        if self.broken {
            return None;
        }
        self.told = self.shown();
        Some(self.told.iter().filter(|(_, l)| l.phase != Phase::Gone).map(|(host, l)| (*host, *l)).collect())
    }
}

pub fn to_list(whole: bool, lines: &[(SocketAddr, Line)]) -> EndpointList {
    let entries = lines.iter().map(|(host, line)| EndpointEntry {
        host: HostId::from(*host),
        phase: line.phase,
        started_at: line.started,
        weight: line.weight,
        kind: HostKindId(line.kind),
    });
    EndpointList { complete: whole, entries: entries.collect() }
}

pub fn to_record(whole: bool, lines: &[(SocketAddr, Line)]) -> EndpointsReceived {
    let entries = lines.iter().map(|(host, line)| EndpointStatus {
        host: host.to_string(),
        phase: match line.phase {
            Phase::Ready => railhub_record::EndpointPhase::Ready,
            Phase::Draining => railhub_record::EndpointPhase::Draining,
            Phase::Gone => railhub_record::EndpointPhase::Gone,
        }
        .into(),
        started_at: line.started,
    });
    EndpointsReceived { complete: whole, entries: entries.collect(), controller: 0 }
}
