//! A host list that can be late, lie or break. It is asked over HTTP and holds a question without news a while.
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_net::{http, now, seconds, spawn, Listener};
use railhub_record::{Entry, Listed, Recorder, What};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Seconds a question without news is held, and between looks.
const HELD: f64 = 1.0;
const LOOK: f64 = 0.01;
/// Changes kept; who is further behind gets the whole list.
const KEPT: usize = 1000;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RosterEntry {
    pub host: SocketAddr,
    pub phase: &'static str,
    pub started: Option<f64>,
    pub weight: f64,
    pub kind: u16,
}

pub const READY: &str = "ready";
pub const DRAINING: &str = "draining";
pub const GONE: &str = "gone";

#[derive(Serialize)]
struct Page {
    version: u64,
    whole: bool,
    hosts: Vec<RosterEntry>,
}

#[derive(Default)]
struct State {
    truth: BTreeMap<SocketAddr, RosterEntry>,
    /// What the list says instead of the truth, by lie: a host is gone, or is there.
    lies: BTreeMap<u64, Vec<RosterEntry>>,
    shown: BTreeMap<SocketAddr, RosterEntry>,
    changes: Vec<(u64, RosterEntry)>,
    version: u64,
    broken: bool,
}

impl State {
    fn publish(&mut self) {
        let mut shown = self.truth.clone();
        for entry in self.lies.values().flatten() {
            // A host that has really left is not called back by a lie about others.
            if entry.phase != GONE || shown.contains_key(&entry.host) {
                shown.insert(entry.host, entry.clone());
            }
        }
        let vanished = self.shown.values().filter(|entry| !shown.contains_key(&entry.host));
        let gone: Vec<_> = vanished.map(|entry| RosterEntry { phase: GONE, ..entry.clone() }).collect();
        let changed = shown.values().filter(|entry| self.shown.get(&entry.host) != Some(entry));
        let changed: Vec<RosterEntry> = changed.cloned().chain(gone).collect();
        if !changed.is_empty() {
            self.version += 1;
            self.changes.extend(changed.into_iter().map(|entry| (self.version, entry)));
            let surplus = self.changes.len().saturating_sub(KEPT);
            self.changes.drain(..surplus);
        }
        self.shown = shown;
    }

    fn page(&self, after: u64) -> Page {
        let known = self.changes.first().is_some_and(|(version, _)| *version <= after + 1) && after > 0;
        let hosts = if known {
            self.changes.iter().filter(|(version, _)| *version > after).map(|c| c.1.clone()).collect()
        } else {
            self.shown.values().filter(|entry| entry.phase != GONE).cloned().collect()
        };
        Page { version: self.version, whole: !known, hosts }
    }
}

pub struct Roster {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    doors: Mutex<Vec<Listener>>,
}

impl Roster {
    pub fn open(recorder: Recorder) -> io::Result<Roster> {
        let state = Arc::default();
        let mut roster = Roster {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            state,
            recorder,
            doors: Mutex::default(),
        };
        roster.address = roster.door(0)?;
        Ok(roster)
    }

    /// A door of its own for one of several stewards, so that the record knows who was told.
    pub fn door(&self, steward: u32) -> io::Result<SocketAddr> {
        let (state, recorder) = (self.state.clone(), self.recorder.clone());
        let door = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream, _| {
            let (state, recorder) = (state.clone(), recorder.clone());
            spawn(move || serve(stream, steward, &state, &recorder));
        })?;
        let address = door.address;
        self.doors.lock().expect("no holder panics").push(door);
        Ok(address)
    }

    fn change(&self, act: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().expect("no holder panics");
        act(&mut state);
        state.publish();
    }

    /// The list learns of a host so many seconds from now.
    pub fn tell_after(&self, late: f64, entries: Vec<RosterEntry>) {
        if late <= 0.0 {
            return self.tell(entries);
        }
        let state = self.state.clone();
        spawn(move || {
            may::coroutine::sleep(seconds(late));
            let mut state = state.lock().expect("no holder panics");
            learn(&mut state, entries);
            state.publish();
        });
    }

    pub fn tell(&self, entries: Vec<RosterEntry>) {
        self.change(|state| learn(state, entries));
    }

    /// The list says this besides the truth until the lie is taken back.
    pub fn lie(&self, lie: u64, entries: Option<Vec<RosterEntry>>) {
        self.change(|state| match entries {
            Some(entries) => _ = state.lies.insert(lie, entries),
            None => _ = state.lies.remove(&lie),
        });
    }

    pub fn break_down(&self, broken: bool) {
        self.change(|state| state.broken = broken);
    }

    pub fn truth(&self) -> Vec<RosterEntry> {
        self.state.lock().expect("no holder panics").truth.values().cloned().collect()
    }
}

fn learn(state: &mut State, entries: Vec<RosterEntry>) {
    for entry in entries {
        if entry.phase == GONE {
            state.truth.remove(&entry.host);
        } else {
            state.truth.insert(entry.host, entry);
        }
    }
}

fn serve(mut stream: TcpStream, steward: u32, state: &Mutex<State>, recorder: &Recorder) {
    let mut read = Vec::new();
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut read) {
        let after = http::query_number(&request.path, "after").unwrap_or(0);
        let until = now() + HELD;
        let page = loop {
            let state = state.lock().expect("no holder panics");
            if state.broken {
                return;
            }
            if state.version != after || now() >= until {
                break state.page(after);
            }
            drop(state);
            may::coroutine::sleep(seconds(LOOK));
        };
        if page.version != after {
            recorder.note(now(), What::Roster(recorded(&page, steward)));
        }
        if http::write_json_response(&mut stream, &page).is_err() {
            return;
        }
    }
}

fn recorded(page: &Page, steward: u32) -> railhub_record::Roster {
    let entries = page.hosts.iter().map(|entry| Entry {
        host: entry.host.to_string(),
        listed: match entry.phase {
            DRAINING => Listed::Draining,
            GONE => Listed::Gone,
            _ => Listed::Ready,
        }
        .into(),
        started: entry.started,
    });
    railhub_record::Roster { whole: page.whole, entries: entries.collect(), steward }
}
