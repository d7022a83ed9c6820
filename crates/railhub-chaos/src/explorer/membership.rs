//! Explores the member tables of three members. The search covers every order in which entries are sent, delivered, lost
//! and delivered again, and members are suspected, declared dead, killed and started again. It runs the merging and
//! refutation code of the controllers ([`railhub_membership::table`]) without clocks: a suspicion may end at any moment.
//!
//! Invariants of each state:
//! - No member's table contains an incarnation of another member that the other never had.
//! - A table that contains a process of a member never goes back to an older process of that member.
//! - If every entry arrives from now on, all tables converge on the actual state of the members.
use super::search::{Paths, SearchResult};
use railhub_membership::member::{Incarnation, Member, NodeMetadata, Status};
use railhub_membership::safeguard::Safeguard;
use railhub_membership::table::MemberTable;
use railhub_membership::NodeId;
use std::collections::{BTreeSet, VecDeque};

/// Number of members.
const MEMBERS: usize = 3;
/// Maximum number of entries in flight at once.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of suspicions in a run.
const MAX_SUSPICIONS: u8 = 2;
/// Maximum number of crashes in a run.
const MAX_CRASHES: u8 = 2;
/// Number of times that each member sends all its entries to all others, after which all tables must have converged.
const SETTLING_EXCHANGES: usize = 4;

/// An entry on its way to a member.
#[derive(Clone, Debug)]
struct InFlight {
    to: usize,
    entry: Member,
}

#[derive(Clone)]
struct State {
    /// The table of each member; `None` while the member is down.
    tables: Vec<Option<MemberTable>>,
    processes: [u64; MEMBERS],
    in_flight: Vec<InFlight>,
    suspicions_left: u8,
    crashes_left: u8,
}

/// The parts of a state that distinguish it from other states.
#[derive(Debug)]
#[allow(dead_code, reason = "read through Debug, whose output is hashed")]
struct StateKey<'a> {
    tables: Vec<Option<Vec<&'a Member>>>,
    in_flight: &'a [InFlight],
    suspicions_left: u8,
    crashes_left: u8,
    processes: [u64; MEMBERS],
}

/// A possible step in a state, and the resulting state.
struct Transition {
    step: String,
    next: State,
}

fn node_id(member: usize) -> NodeId {
    NodeId(member as u16)
}

/// The table of a member that starts. It contains the first process of every other member.
fn initial_table(member: usize, process: u64, disabled: Option<Safeguard>) -> MemberTable {
    let local = Member::alive(node_id(member), process, NodeMetadata::default());
    let mut table = MemberTable::new(local, disabled);
    for other in others(member) {
        table.merge(&Member::alive(node_id(other), 1, NodeMetadata::default()), false);
    }
    table
}

fn others(member: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |other| *other != member)
}

impl State {
    fn initial(disabled: Option<Safeguard>) -> State {
        State {
            tables: (0..MEMBERS).map(|member| Some(initial_table(member, 1, disabled))).collect(),
            processes: [1; MEMBERS],
            in_flight: Vec::new(),
            suspicions_left: MAX_SUSPICIONS,
            crashes_left: MAX_CRASHES,
        }
    }

    fn key(&self) -> StateKey<'_> {
        let mut tables = Vec::with_capacity(MEMBERS);
        for table in &self.tables {
            tables.push(table.as_ref().map(|table| table.others().chain([table.local()]).collect()));
        }
        StateKey {
            tables,
            in_flight: &self.in_flight,
            suspicions_left: self.suspicions_left,
            crashes_left: self.crashes_left,
            processes: self.processes,
        }
    }

    /// A hash of 128 bits. Among a million states, the probability that any two share a hash is about 1e-27.
    fn hash(&self) -> u128 {
        xxhash_rust::xxh3::xxh3_128(format!("{:?}", self.key()).as_bytes())
    }

    fn merge(&mut self, member: usize, entry: &Member) {
        if let Some(table) = &mut self.tables[member] {
            table.merge(entry, false);
        }
    }

    /// All possible next steps.
    fn transitions(&self, disabled: Option<Safeguard>) -> Vec<Transition> {
        let mut transitions = Vec::new();
        self.deliveries(&mut transitions);
        for member in 0..MEMBERS {
            match &self.tables[member] {
                Some(table) => {
                    self.crash(member, &mut transitions);
                    self.status_changes(member, table, &mut transitions);
                    self.sends(member, table, &mut transitions);
                }
                None => transitions.push(self.restart(member, disabled)),
            }
        }
        transitions
    }

    fn restart(&self, member: usize, disabled: Option<Safeguard>) -> Transition {
        let mut next = self.clone();
        next.processes[member] += 1;
        let process = next.processes[member];
        next.tables[member] = Some(initial_table(member, process, disabled));
        Transition { step: format!("{member} starts as process {process}"), next }
    }

    fn deliveries(&self, transitions: &mut Vec<Transition>) {
        for (index, InFlight { to, entry }) in self.in_flight.iter().enumerate() {
            let Incarnation { process, count } = entry.incarnation;
            let description = format!("{} {:?} {process}.{count}", entry.id.0, entry.status);
            let mut lost = self.clone();
            lost.in_flight.remove(index);
            transitions
                .push(Transition { step: format!("the entry to {to} is lost: {description}"), next: lost });
            let mut repeated = self.clone();
            repeated.merge(*to, entry);
            let mut delivered = repeated.clone();
            delivered.in_flight.remove(index);
            transitions.push(Transition { step: format!("{to} receives: {description}"), next: delivered });
            let step = format!("{to} receives, and will again: {description}");
            transitions.push(Transition { step, next: repeated });
        }
    }

    fn crash(&self, member: usize, transitions: &mut Vec<Transition>) {
        if self.crashes_left == 0 {
            return;
        }
        let mut next = self.clone();
        next.tables[member] = None;
        next.crashes_left -= 1;
        transitions.push(Transition { step: format!("{member} crashes"), next });
    }

    fn status_changes(&self, member: usize, table: &MemberTable, transitions: &mut Vec<Transition>) {
        for subject in others(member) {
            let Some(held) = table.get(node_id(subject)) else { continue };
            let status = match held.status {
                Status::Alive if self.suspicions_left > 0 => Status::Suspect,
                Status::Suspect => Status::Dead,
                _ => continue,
            };
            let entry = Member { status, reported_by: None, ..held.clone() };
            let mut next = self.clone();
            next.suspicions_left -= u8::from(status == Status::Suspect);
            next.merge(member, &entry);
            transitions.push(Transition { step: format!("{member} declares {subject} {status:?}"), next });
        }
    }

    fn sends(&self, member: usize, table: &MemberTable, transitions: &mut Vec<Transition>) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        for to in others(member) {
            for subject in 0..MEMBERS {
                let Some(entry) = table.get(node_id(subject)).cloned() else { continue };
                let mut next = self.clone();
                next.in_flight.push(InFlight { to, entry });
                next.in_flight
                    .sort_by_key(|sent| (sent.to, sent.entry.id, sent.entry.incarnation, sent.entry.status));
                transitions.push(Transition { step: format!("{member} tells {to} about {subject}"), next });
            }
        }
    }

    /// The invariant that this state violates, if any.
    fn violation(&self, before: &State) -> Option<String> {
        for (member, table) in self.tables.iter().enumerate() {
            let Some(table) = table else { continue };
            for held in table.others() {
                let violation =
                    self.unknown_incarnation(member, held).or_else(|| self.regression(before, member, held));
                if violation.is_some() {
                    return violation;
                }
            }
        }
        self.settling_violation()
    }

    fn unknown_incarnation(&self, member: usize, held: &Member) -> Option<String> {
        let subject = usize::from(held.id.0);
        let highest = match &self.tables[subject] {
            Some(table) => table.local().incarnation,
            None => Incarnation { process: self.processes[subject], count: u64::MAX },
        };
        let is_unknown = held.incarnation > highest;
        is_unknown
            .then(|| format!("{member} holds {:?} of {subject}, which has {highest:?}", held.incarnation))
    }

    fn regression(&self, before: &State, member: usize, held: &Member) -> Option<String> {
        if before.processes[member] != self.processes[member] {
            return None;
        }
        let known = before.tables[member].as_ref()?.get(held.id)?;
        let goes_back = known.incarnation.process > held.incarnation.process;
        goes_back.then(|| {
            let subject = held.id.0;
            format!("{member} goes back from {:?} of {subject} to {:?}", known.incarnation, held.incarnation)
        })
    }

    /// How a table differs from the actual members after all members have repeatedly sent all their entries to all others.
    fn settling_violation(&self) -> Option<String> {
        let mut settled = self.clone();
        for _ in 0..SETTLING_EXCHANGES {
            settled.exchange_all();
        }
        for (member, table) in settled.tables.iter().enumerate() {
            let Some(table) = table else { continue };
            for (subject, other) in settled.tables.iter().enumerate() {
                let Some(other) = other else { continue };
                let incarnation = other.local().incarnation;
                let held = table.get(node_id(subject)).map(|held| (held.incarnation, held.status));
                if held != Some((incarnation, Status::Alive)) {
                    return Some(format!(
                        "when all has arrived, {member} holds {held:?} of {subject}, which lives as {incarnation:?}"
                    ));
                }
            }
        }
        None
    }

    fn exchange_all(&mut self) {
        for from in 0..MEMBERS {
            for to in others(from) {
                let Some(sender) = &self.tables[from] else { continue };
                let entries: Vec<Member> = sender.others().chain([sender.local()]).cloned().collect();
                for entry in &entries {
                    self.merge(to, entry);
                }
            }
        }
    }
}

/// Searches at most `max_states` states, with a safeguard disabled or with all in force.
pub fn explore(disabled: Option<Safeguard>, max_states: usize) -> SearchResult {
    let first = State::initial(disabled);
    let mut seen = BTreeSet::from([first.hash()]);
    let mut paths = Paths::new();
    let mut queue = VecDeque::from([(0, first)]);
    while let Some((state_number, state)) = queue.pop_front() {
        for Transition { step, next } in state.transitions(disabled) {
            if seen.len() >= max_states {
                return SearchResult::limited(seen.len());
            }
            if !seen.insert(next.hash()) {
                continue;
            }
            if let Some(violation) = next.violation(&state) {
                return SearchResult::violated(seen.len(), violation, paths.steps_with(state_number, step));
            }
            queue.push_back((paths.add(state_number, step), next));
        }
    }
    SearchResult::complete(seen.len())
}
