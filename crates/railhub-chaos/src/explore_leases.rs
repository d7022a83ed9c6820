//! A small explorer of leases: two stewards, one slice, a store and a proxy, and every order in which questions, answers
//! and orders are sent, heard, held up and lost, stewards killed and started again, and the store started again from an
//! older copy; time goes on by whole steps at any moment. Breadth first, so that the first counterexample is a shortest
//! one. It drives the very code that stewards, store and proxies run: [`Leases`], [`Grants`], [`Fence`].
//!
//! A steward that stands still is one whose moves come late; an order decided before and written after is one under way.
//! Checked in each state: never may both order; an epoch is ordered by one process; the proxy never goes back to an
//! earlier epoch, nor obeys an epoch of another process than the one that it obeyed under it.
use crate::explore::{Counterexample, Explored};
use railhub_membership::fence::Fence;
use railhub_membership::lease::HeldLeases;
use railhub_membership::lease_messages::LeaseRequest;
use railhub_membership::lease_store::{LeaseStore, StoreFaults};
use railhub_membership::Epoch;
use std::collections::{BTreeMap, HashSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Steps of a lease, and steps that a run has: a grant, its end, and another's grant and end fit in.
const SPAN: f64 = 3.0;
const STEPS: u8 = 8;
/// Commands in flight at once, and in a run; crashes; copies of the store and starts from one.
const UNDER_WAY: usize = 2;
const ORDERS: u8 = 3;
const CRASHES: u8 = 1;
const COPIES: u8 = 1;
const SLICE: u16 = 1;

/// What is left out, for the explorer to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// The proxy obeys whatever comes.
    Fence,
    /// The store grants under an epoch that it has used.
    NewEpochs,
    /// Stewards order on when their leases are over.
    LeaseEnd,
    /// The store grants at once after it started from an older copy.
    Quiet,
}

#[derive(Clone, Debug)]
enum Question {
    Asked(LeaseRequest),
    Answered(Vec<(u16, Epoch)>, Vec<u16>),
}

#[derive(Clone, Debug)]
struct Steward {
    process: u64,
    leases: HeldLeases,
    /// The question that is out, and when it was asked.
    question: Option<(u8, Question)>,
    /// The last epoch that it had: what one orders under that overruns its lease.
    had: Option<Epoch>,
}

#[derive(Clone, Debug)]
struct State {
    now: u8,
    store: LeaseStore,
    copy: Option<LeaseStore>,
    stewards: [Steward; 2],
    /// Commands in flight: epoch and process.
    orders: Vec<(Epoch, u64)>,
    fence: Fence,
    obeyed: Option<(Epoch, u64)>,
    owners: BTreeMap<Epoch, u64>,
    last_process: u64,
    orders_left: u8,
    crashes_left: u8,
    copies_left: u8,
}

impl State {
    fn first(without: Without) -> State {
        let broken = StoreFaults {
            reuses_epochs: without == Without::NewEpochs,
            skips_grace_period: without == Without::Quiet,
            ..StoreFaults::default()
        };
        let steward = |process| Steward { process, leases: HeldLeases::new(SPAN), question: None, had: None };
        State {
            now: 0,
            store: LeaseStore::new(SPAN, broken),
            copy: None,
            stewards: [steward(1), steward(2)],
            orders: Vec::new(),
            fence: Fence::default(),
            obeyed: None,
            owners: BTreeMap::new(),
            last_process: 2,
            orders_left: ORDERS,
            crashes_left: CRASHES,
            copies_left: COPIES,
        }
    }

    fn at(&self) -> f64 {
        f64::from(self.now)
    }

    fn may(&self, place: usize) -> Option<Epoch> {
        self.stewards[place].leases.valid_epoch(self.at(), SLICE)
    }

    /// What is wrong in this state, if anything is.
    fn wrong(&self) -> Option<String> {
        match (self.may(0), self.may(1)) {
            (Some(a), Some(b)) => Some(format!("both may order, under epochs {} and {}", a.0, b.0)),
            _ => None,
        }
    }

    /// Everything that can happen next; an error: it breaks a rule.
    fn next(&self, without: Without) -> Vec<(String, Result<State, String>)> {
        let mut all = Vec::new();
        if self.now < STEPS {
            let mut state = self.clone();
            state.now += 1;
            all.push(("time goes on".to_owned(), Ok(state)));
        }
        (0..2).for_each(|place| self.moves_of(place, without, &mut all));
        self.store_moves(&mut all);
        for number in 0..self.orders.len() {
            all.push(self.arrives(number, without));
        }
        all
    }

    fn moves_of(&self, place: usize, without: Without, all: &mut Vec<(String, Result<State, String>)>) {
        let steward = &self.stewards[place];
        let may = self.may(place);
        match &steward.question {
            None => {
                let mut state = self.clone();
                let renew = may.map(|epoch| (SLICE, epoch)).into_iter().collect::<Vec<_>>();
                let acquire = if renew.is_empty() { vec![SLICE] } else { Vec::new() };
                let told = if renew.is_empty() { "asks for the slice" } else { "asks to renew" };
                let (process, release) = (steward.process, Vec::new());
                let request = LeaseRequest { number: 1, process, duration: SPAN, acquire, renew, release };
                state.stewards[place].question = Some((self.now, Question::Asked(request)));
                all.push((format!("{place} {told}"), Ok(state)));
            }
            Some((asked, Question::Asked(request))) => {
                let mut state = self.clone();
                let response = state.store.handle_request(self.at(), request).response;
                let told = format!("the store hears {place}: grants {:?}", response.granted);
                let answer = Question::Answered(response.granted, response.refused);
                state.stewards[place].question = Some((*asked, answer));
                all.push((told, Ok(state)));
                all.push((format!("the question of {place} is lost"), Ok(self.forgets(place))));
            }
            Some((asked, Question::Answered(granted, refused))) => {
                let mut state = self.forgets(place);
                let leases = &mut state.stewards[place].leases;
                leases.on_granted(self.at(), f64::from(*asked), granted);
                leases.on_refused(refused);
                state.stewards[place].had = state.may(place).or(steward.had);
                all.push((format!("{place} hears the store"), Ok(state)));
                all.push((format!("the answer to {place} is lost"), Ok(self.forgets(place))));
            }
        }
        let overrun = steward.had.filter(|_| without == Without::LeaseEnd);
        if let Some(epoch) = may.or(overrun).filter(|_| self.orders.len() < UNDER_WAY && self.orders_left > 0)
        {
            all.push((format!("{place} orders under epoch {}", epoch.0), self.orders(place, epoch)));
        }
        if self.crashes_left > 0 {
            let mut state = self.clone();
            (state.last_process, state.crashes_left) = (self.last_process + 1, self.crashes_left - 1);
            let process = state.last_process;
            state.stewards[place] =
                Steward { process, leases: HeldLeases::new(SPAN), question: None, had: None };
            all.push((format!("{place} starts again as process {process}"), Ok(state)));
        }
    }

    fn forgets(&self, place: usize) -> State {
        let mut state = self.clone();
        state.stewards[place].question = None;
        state
    }

    fn orders(&self, place: usize, epoch: Epoch) -> Result<State, String> {
        let mut state = self.clone();
        let process = self.stewards[place].process;
        let owner = *state.owners.entry(epoch).or_insert(process);
        if owner != process {
            return Err(format!("epoch {} is ordered by processes {owner} and {process}", epoch.0));
        }
        let newer = self.may(1 - place).filter(|newer| *newer > epoch);
        if let Some(newer) = newer {
            return Err(format!("epoch {} is ordered while another may order under {}", epoch.0, newer.0));
        }
        state.orders.push((epoch, process));
        state.orders_left -= 1;
        Ok(state)
    }

    fn arrives(&self, number: usize, without: Without) -> (String, Result<State, String>) {
        let mut state = self.clone();
        let (epoch, process) = state.orders.remove(number);
        let told = format!("the order of process {process} under epoch {} arrives", epoch.0);
        let passes = state.fence.admits(u32::from(SLICE), epoch) || without == Without::Fence;
        if !passes {
            return (told, Ok(state));
        }
        if let Some((before, by)) = self.obeyed {
            if epoch < before || epoch == before && by != process {
                let what =
                    format!("the proxy obeys epoch {} of {process} after {} of {by}", epoch.0, before.0);
                return (told, Err(what));
            }
        }
        state.obeyed = Some((epoch, process));
        (told, Ok(state))
    }

    fn store_moves(&self, all: &mut Vec<(String, Result<State, String>)>) {
        if self.copies_left == 0 {
            return;
        }
        let mut state = self.clone();
        match &self.copy {
            None => {
                state.copy = Some(self.store.clone());
                all.push(("the store is copied".to_owned(), Ok(state)));
            }
            Some(copy) => {
                state.store = copy.restart(self.at(), u64::from(self.now) + 1);
                state.copies_left -= 1;
                all.push(("the store starts again from the copy".to_owned(), Ok(state)));
            }
        }
    }
}

/// Looks at so many states at the most.
pub fn explore(without: Without, most: usize) -> Explored {
    let mut seen: HashSet<u64> = HashSet::new();
    // Each state with how it was reached: the place of the one before it, and what was done.
    let mut reached: Vec<(usize, String)> = vec![(0, String::new())];
    let mut waiting = VecDeque::from([(0, State::first(without))]);
    seen.insert(key(&waiting[0].1));
    while let Some((place, state)) = waiting.pop_front() {
        for (told, next) in state.next(without) {
            let broken = match &next {
                Err(what) => Some(what.clone()),
                Ok(next) => next.wrong(),
            };
            if let Some(broken) = broken {
                let steps = steps(&reached, place, told);
                let counterexample = Some(Counterexample { broken, steps });
                return Explored { states: seen.len(), whole: false, counterexample };
            }
            let Ok(next) = next else { continue };
            if seen.len() >= most {
                return Explored { states: seen.len(), whole: false, counterexample: None };
            }
            if seen.insert(key(&next)) {
                reached.push((place, told));
                waiting.push_back((reached.len() - 1, next));
            }
        }
    }
    Explored { states: seen.len(), whole: true, counterexample: None }
}

fn key(state: &State) -> u64 {
    xxh3_64(format!("{state:?}").as_bytes())
}

fn steps(reached: &[(usize, String)], mut place: usize, last: String) -> Vec<String> {
    let mut steps = vec![last];
    while place > 0 {
        steps.push(reached[place].1.clone());
        place = reached[place].0;
    }
    steps.reverse();
    steps
}
