//! What the module has ordered and the relay has not taken: folded, bounded, and said in calls.
use railhub::{
    BarrierId, ClassId, CommandSink, ControllerConfig, DecisionEvent, HostId, ProxyId, RetryPolicy, Seconds,
    SliceId, TimerId,
};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of a call: the relay takes 60,000 of orders, and the frame round them needs some.
const MAX_CALL_BYTES: usize = 58_000;
/// Commands that wait while the relay is out of reach: whole tables of some hundred slices, many times over.
/// Past them all are dropped, and what the relay holds is asked for anew.
const MAX_PENDING_COMMANDS: usize = 20_000;

/// What an order is about: a later one about the same makes an earlier one that still waits needless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CommandKey {
    Line(SliceId, HostId),
    Host(HostId),
    Level(ClassId),
    Mark,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    Line(SliceId, HostId, f64),
    Shut(HostId, bool),
    Level(ClassId, f64, RetryPolicy),
    Mark(BarrierId),
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

impl Command {
    fn about(&self) -> CommandKey {
        match *self {
            Command::Line(slice, host, _) => CommandKey::Line(slice, host),
            Command::Shut(host, _) => CommandKey::Host(host),
            Command::Level(class, ..) => CommandKey::Level(class),
            Command::Mark(_) => CommandKey::Mark,
        }
    }

    fn say(&self, classes: &[String]) -> String {
        let said = match self {
            Command::Line(slice, host, weight) => {
                CommandMessage::Share { table: slice.0, server: host.name(), weight: *weight }
            }
            Command::Shut(host, true) => CommandMessage::Withdraw { server: host.name() },
            Command::Shut(host, false) => CommandMessage::Restore { server: host.name() },
            Command::Level(class, level, again) => CommandMessage::Admit {
                classes: [&classes[usize::from(class.0)]],
                level: *level,
                retry: retries(*again),
            },
            Command::Mark(mark) => CommandMessage::Mark { ticket: mark.0, on: 1 },
        };
        serde_json::to_string(&said).expect("names and numbers can be said")
    }
}

/// By how much two weights of a line may differ and be the same: the relay tells weights in few decimals, so that a
/// standby's comes back as 0.
pub(crate) const WEIGHT_TOLERANCE: f64 = 0.005;

/// Whether a table says of a host what a line orders.
fn stands(lines: &[(HostId, f64)], host: HostId, weight: f64) -> bool {
    let held = lines.iter().find(|line| line.0 == host);
    held.map_or(weight == 0.0, |line| weight > 0.0 && (line.1 - weight).abs() <= WEIGHT_TOLERANCE)
}

/// What a line makes of a table; where a slice has one owner, a new one takes the old one's place.
pub(crate) fn put(lines: &mut Vec<(HostId, f64)>, host: HostId, weight: f64, single_owner: bool) {
    lines.retain(|line| line.0 != host && !(single_owner && weight > 0.0));
    lines.extend((weight > 0.0).then_some((host, weight)));
}

fn retries(again: RetryPolicy) -> u8 {
    match again {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::AfterFailure => 2,
    }
}

/// A call that leaves: its bytes end the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub id: u64,
    pub count: usize,
    pub bytes: Vec<u8>,
}

/// Commands that wait, in their order, and those of the call that is out.
#[derive(Default)]
pub struct PendingCommands {
    queue: VecDeque<(u64, Command)>,
    /// Where the order about a thing waits.
    places: BTreeMap<CommandKey, u64>,
    next: u64,
    out: Vec<Command>,
    calls: u64,
    single_owner: bool,
    /// Commands were dropped for want of room: the relay's tables are not what the module believes.
    pub overflowed: bool,
    pub folded: u64,
    /// Levels of classes without a name.
    pub unnamed: u64,
}

impl PendingCommands {
    pub fn new(terms: &ControllerConfig) -> PendingCommands {
        PendingCommands { single_owner: terms.single_owner, ..PendingCommands::default() }
    }

    pub fn push(&mut self, order: Command) {
        let place = self.next;
        self.next += 1;
        if let Some(earlier) = self.places.insert(order.about(), place) {
            if let Ok(at) = self.queue.binary_search_by_key(&earlier, |(place, _)| *place) {
                self.queue.remove(at);
                self.folded += 1;
            }
        }
        self.queue.push_back((place, order));
        if self.queue.len() > MAX_PENDING_COMMANDS {
            self.queue.clear();
            self.places.clear();
            self.overflowed = true;
        }
    }

    /// Lines of a table that wait are not ordered any more. Whether some of it are out: they may be carried out on
    /// the table as it was or as it is now.
    pub fn forget(&mut self, slice: SliceId) -> bool {
        let kept = |order: &Command| !matches!(order, Command::Line(of, ..) if *of == slice);
        self.queue.retain(|(_, order)| kept(order));
        self.places.retain(|about, _| !matches!(about, CommandKey::Line(of, _) if *of == slice));
        !self.out.iter().all(kept)
    }

    /// Commands that wait or are out.
    pub fn count(&self) -> usize {
        self.queue.len() + self.out.len()
    }

    /// The call to make now: what is out and not settled, said again, or else what waits.
    pub fn call(&mut self, classes: &[String]) -> Option<Call> {
        // A class without a name cannot be said; said of all classes it would do harm.
        let named = |order: &Command| !matches!(order, Command::Level(class, ..) if usize::from(class.0) >= classes.len());
        let all = self.queue.len();
        self.queue.retain(|(_, order)| named(order));
        self.unnamed += (all - self.queue.len()) as u64;
        let again = !self.out.is_empty();
        if !again && self.queue.is_empty() {
            return None;
        }
        self.calls += 1;
        let head = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"commit\",\"params\":{{\"orders\":[",
            self.calls
        );
        let mut bytes = head.into_bytes();
        for place in 0.. {
            let next = if again { self.out.get(place) } else { self.queue.front().map(|(_, order)| order) };
            let Some(order) = next else { break };
            let said = order.say(classes);
            if !again && place > 0 && bytes.len() + said.len() + 1 > MAX_CALL_BYTES {
                break;
            }
            if place > 0 {
                bytes.push(b',');
            }
            bytes.extend_from_slice(said.as_bytes());
            if !again {
                self.take_front();
            }
        }
        bytes.extend_from_slice(b"]}}\n");
        Some(Call { id: self.calls, count: self.out.len(), bytes })
    }

    fn take_front(&mut self) {
        let Some((place, order)) = self.queue.pop_front() else { return };
        if self.places.get(&order.about()) == Some(&place) {
            self.places.remove(&order.about());
        }
        self.out.push(order);
    }

    /// The relay took so many of the call that is out, which are handed back with the one it stopped at: that is
    /// dropped, and those behind it are said again.
    pub fn taken(&mut self, count: usize) -> (Vec<Command>, Option<Command>) {
        let taken = self.out.drain(..count.min(self.out.len())).collect();
        (taken, (!self.out.is_empty()).then(|| self.out.remove(0)))
    }

    /// Whether all tables that the call which is out names are among these.
    pub fn is_out_about(&self, tables: &BTreeMap<SliceId, Vec<(HostId, f64)>>) -> bool {
        self.out.iter().all(|order| !matches!(order, Command::Line(slice, ..) if !tables.contains_key(slice)))
    }

    /// The call that is out has no known end, and this stands since: said again, what was carried out would wait in
    /// the channel twice. A table shows it by the last line that was ordered of it. Where all tables do, the whole
    /// call was carried out; else what they don't show is said again, but for tables that are held no more.
    pub fn settle(&mut self, standing: &BTreeMap<SliceId, Vec<(HostId, f64)>>) {
        let mut last = BTreeMap::new();
        for order in &self.out {
            if let Command::Line(slice, host, weight) = order {
                last.insert(*slice, (*host, *weight));
            }
        }
        let shown = |slice: &SliceId| {
            let (host, weight) = last[slice];
            standing.get(slice).is_none_or(|lines| stands(lines, host, weight))
        };
        let held = last.keys().any(|slice| standing.contains_key(slice));
        if held && last.keys().all(shown) {
            self.out.clear();
        } else {
            self.out.retain(|order| !matches!(order, Command::Line(slice, ..) if shown(slice)));
        }
    }

    /// The call that is out can't be carried out.
    pub fn drop_call(&mut self) -> usize {
        std::mem::take(&mut self.out).len()
    }

    /// What a table will hold once all that is out and waits has been taken.
    pub fn settled(&self, slice: SliceId, stored: &[(HostId, f64)]) -> Vec<(HostId, f64)> {
        let mut lines = stored.to_vec();
        for order in self.out.iter().chain(self.queue.iter().map(|(_, order)| order)) {
            match order {
                Command::Line(of, host, weight) if *of == slice => {
                    put(&mut lines, *host, *weight, self.single_owner);
                }
                _ => {}
            }
        }
        lines.sort_by_key(|line| line.0);
        lines
    }
}

/// Takes a round's decisions: orders to the relay, probes, timers and notes apart.
pub struct CommandBatch<'a> {
    pub waiting: &'a mut PendingCommands,
    pub probes: Vec<HostId>,
    pub wakes: Vec<(Seconds, TimerId)>,
    pub notes: Vec<String>,
}

impl CommandSink for CommandBatch<'_> {
    fn set_weight(&mut self, slice: SliceId, host: HostId, weight: f64) {
        self.waiting.push(Command::Line(slice, host, weight));
    }
    fn assign_table(&mut self, table: SliceId, proxy: ProxyId) {
        self.notes
            .push(format!("the platform hands no table: {} for proxy {} is left out", table.0, proxy.0));
    }
    fn set_admission_rate(&mut self, class: ClassId, rate: f64, retry_policy: RetryPolicy) {
        self.waiting.push(Command::Level(class, rate, retry_policy));
    }
    fn exclude_host(&mut self, host: HostId) {
        self.waiting.push(Command::Shut(host, true));
    }
    fn readmit_host(&mut self, host: HostId) {
        self.waiting.push(Command::Shut(host, false));
    }
    fn set_barrier(&mut self, barrier: BarrierId) {
        self.waiting.push(Command::Mark(barrier));
    }
    fn check_health(&mut self, host: HostId) {
        self.probes.push(host);
    }
    fn set_timer(&mut self, after: Seconds, timer: TimerId) {
        self.wakes.push((after, timer));
    }
    fn report(&mut self, event: DecisionEvent) {
        self.notes.push(event.to_string());
    }
}
