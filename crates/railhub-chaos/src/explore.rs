//! A small explorer: three stewards' tables, and every order in which words about them are sent, delivered, lost,
//! delivered again, and stewards suspected, buried, killed and started again; breadth first, so that the first
//! counterexample is a shortest one. It drives the very merge and refutation that stewards run
//! (`railhub_membership::table`), without clocks: a suspicion may end at any moment.
//!
//! Checked in each state: nobody holds an incarnation of another that this one never had; who has held a process
//! never goes back to an older one; and, if from now on all words arrive, everyone ends with the truth.
use railhub_membership::member::{Incarnation, Member, NodeMetadata, Status};
use railhub_membership::safeguard::Safeguard;
use railhub_membership::table::MemberTable;
use railhub_membership::NodeId;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

const STEWARDS: usize = 3;
/// What may happen in a run: words under way at once, suspicions, crashes. More makes more states, of the same kinds.
const UNDER_WAY: usize = 2;
const SUSPICIONS: u8 = 2;
const CRASHES: u8 = 2;
/// Rounds in which all words arrive, after which all must be true.
const ROUNDS: usize = 4;

#[derive(Clone, Debug, Serialize)]
pub struct Counterexample {
    pub broken: String,
    /// What was done, in order.
    pub steps: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Explored {
    pub states: usize,
    /// All that can be reached was looked at.
    pub whole: bool,
    pub counterexample: Option<Counterexample>,
}

#[derive(Clone)]
struct State {
    tables: Vec<Option<MemberTable>>,
    processes: [u64; STEWARDS],
    /// Words under way: to whom, about whom.
    mail: Vec<(usize, Member)>,
    suspicions: u8,
    crashes: u8,
}

type Key = (Vec<Option<Vec<Member>>>, Vec<(usize, Member)>, u8, u8, [u64; STEWARDS]);

fn id(place: usize) -> NodeId {
    NodeId(place as u16)
}

fn fresh(place: usize, process: u64, without: Option<Safeguard>) -> MemberTable {
    let mut table = MemberTable::new(Member::alive(id(place), process, NodeMetadata::default()), without);
    // All have met once.
    for other in (0..STEWARDS).filter(|other| *other != place) {
        table.merge(&Member::alive(id(other), 1, NodeMetadata::default()), false);
    }
    table
}

impl State {
    fn first(without: Option<Safeguard>) -> State {
        let tables = (0..STEWARDS).map(|place| Some(fresh(place, 1, without))).collect();
        State { tables, processes: [1; STEWARDS], mail: Vec::new(), suspicions: SUSPICIONS, crashes: CRASHES }
    }

    fn key(&self) -> Key {
        let of = |table: &MemberTable| {
            let mut all: Vec<Member> = table.others().cloned().collect();
            all.push(table.local().clone());
            all
        };
        let tables = self.tables.iter().map(|table| table.as_ref().map(of)).collect();
        (tables, self.mail.clone(), self.suspicions, self.crashes, self.processes)
    }

    /// Everything that can happen next.
    fn next(&self, without: Option<Safeguard>) -> Vec<(String, State)> {
        let mut all = Vec::new();
        self.mail_moves(&mut all);
        for place in 0..STEWARDS {
            match &self.tables[place] {
                Some(table) => self.moves_of(place, table, &mut all),
                None => {
                    let mut state = self.clone();
                    state.processes[place] += 1;
                    let process = state.processes[place];
                    state.tables[place] = Some(fresh(place, process, without));
                    all.push((format!("{place} starts as process {process}"), state));
                }
            }
        }
        all
    }

    fn mail_moves(&self, all: &mut Vec<(String, State)>) {
        for (number, (to, word)) in self.mail.iter().enumerate() {
            let told = format!(
                "{} {:?} {}.{}",
                word.id.0, word.status, word.incarnation.process, word.incarnation.count
            );
            let mut lost = self.clone();
            lost.mail.remove(number);
            all.push((format!("the word to {to} is lost: {told}"), lost));
            let mut kept = self.clone();
            kept.tables[*to].as_mut().into_iter().for_each(|table| _ = table.merge(word, false));
            let mut heard = kept.clone();
            heard.mail.remove(number);
            all.push((format!("{to} hears: {told}"), heard));
            all.push((format!("{to} hears, and it will come again: {told}"), kept));
        }
    }

    fn moves_of(&self, place: usize, table: &MemberTable, all: &mut Vec<(String, State)>) {
        if self.crashes > 0 {
            let mut state = self.clone();
            (state.tables[place], state.crashes) = (None, self.crashes - 1);
            all.push((format!("{place} crashes"), state));
        }
        for about in (0..STEWARDS).filter(|about| *about != place) {
            let Some(held) = table.get(id(about)) else { continue };
            let worse = match held.status {
                Status::Alive if self.suspicions > 0 => Status::Suspect,
                Status::Suspect => Status::Dead,
                _ => continue,
            };
            let word = Member { status: worse, reported_by: None, ..held.clone() };
            let mut state = self.clone();
            state.suspicions -= u8::from(worse == Status::Suspect);
            state.tables[place].as_mut().into_iter().for_each(|table| _ = table.merge(&word, false));
            all.push((format!("{place} holds {about} to be {worse:?}"), state));
        }
        if self.mail.len() < UNDER_WAY {
            for to in (0..STEWARDS).filter(|to| *to != place) {
                for about in 0..STEWARDS {
                    let Some(word) = table.get(id(about)).cloned() else { continue };
                    let mut state = self.clone();
                    state.mail.push((to, word));
                    state.mail.sort_by_key(|(to, word)| (*to, word.id, word.incarnation, word.status));
                    all.push((format!("{place} tells {to} of {about}"), state));
                }
            }
        }
    }

    fn broken(&self, before: Option<&State>) -> Option<String> {
        for (place, table) in self.tables.iter().enumerate() {
            let Some(table) = table else { continue };
            for held in table.others() {
                let about = usize::from(held.id.0);
                let own = self.tables[about].as_ref().map(|own| own.local().incarnation);
                let most = own.unwrap_or(Incarnation { process: self.processes[about], count: u64::MAX });
                if held.incarnation > most {
                    return Some(format!(
                        "{place} holds {:?} of {about}, which has {most:?}",
                        held.incarnation
                    ));
                }
                let known = before.and_then(|before| before.tables[place].as_ref()?.get(held.id));
                let same_process =
                    before.is_some_and(|before| before.processes[place] == self.processes[place]);
                if let Some(known) =
                    known.filter(|known| same_process && known.incarnation.process > held.incarnation.process)
                {
                    return Some(format!(
                        "{place} goes back from {:?} of {about} to {:?}",
                        known.incarnation, held.incarnation
                    ));
                }
            }
        }
        self.settled().err()
    }

    /// From here on everyone tells everyone all that it holds, and all of it arrives.
    fn settled(&self) -> Result<(), String> {
        let mut tables = self.tables.clone();
        for _ in 0..ROUNDS {
            for from in 0..STEWARDS {
                for to in (0..STEWARDS).filter(|to| *to != from) {
                    let Some(teller) = &tables[from] else { continue };
                    let words: Vec<Member> = teller.others().chain([teller.local()]).cloned().collect();
                    let Some(hearer) = &mut tables[to] else { continue };
                    words.iter().for_each(|word| _ = hearer.merge(word, false));
                }
            }
        }
        for (place, table) in tables.iter().enumerate() {
            let Some(table) = table else { continue };
            for (about, other) in tables.iter().enumerate() {
                let Some(other) = other else { continue };
                let held = table.get(id(about));
                let true_incarnation = other.local().incarnation;
                if held
                    .is_none_or(|held| held.incarnation != true_incarnation || held.status != Status::Alive)
                {
                    let held = held.map(|held| (held.incarnation, held.status));
                    return Err(format!("when all has arrived, {place} holds {held:?} of {about}, which lives as {true_incarnation:?}"));
                }
            }
        }
        Ok(())
    }
}

/// Looks at so many states at the most.
pub fn explore(without: Option<Safeguard>, most: usize) -> Explored {
    let first = State::first(without);
    let mut seen: BTreeMap<u128, ()> = BTreeMap::new();
    // Where each state came from, to tell the way.
    let mut ways: Vec<(usize, String)> = vec![(0, String::new())];
    let mut queue = VecDeque::from([(0, first.clone())]);
    seen.insert(hash(&first), ());
    while let Some((number, state)) = queue.pop_front() {
        for (step, next) in state.next(without) {
            if seen.len() >= most {
                return Explored { states: seen.len(), whole: false, counterexample: None };
            }
            if seen.insert(hash(&next), ()).is_some() {
                continue;
            }
            ways.push((number, step));
            if let Some(broken) = next.broken(Some(&state)) {
                let steps = way(&ways, ways.len() - 1);
                let counterexample = Some(Counterexample { broken, steps });
                return Explored { states: seen.len(), whole: false, counterexample };
            }
            queue.push_back((ways.len() - 1, next));
        }
    }
    Explored { states: seen.len(), whole: true, counterexample: None }
}

/// 128 bits: two states of a million share them with a chance of some 1e-27.
fn hash(state: &State) -> u128 {
    xxhash_rust::xxh3::xxh3_128(format!("{:?}", state.key()).as_bytes())
}

fn way(ways: &[(usize, String)], mut at: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while at > 0 {
        steps.push(ways[at].1.clone());
        at = ways[at].0;
    }
    steps.reverse();
    steps
}
