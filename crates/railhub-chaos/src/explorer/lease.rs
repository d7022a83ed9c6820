//! Explores leases with two controllers, one slice, a store and a proxy. The search covers every order in which requests,
//! responses and commands are sent, delivered, delayed and lost, controllers are killed and started again, and the store
//! restarts from an older copy. Time advances by whole steps at any moment. The search runs the code that controllers, the
//! store and proxies use: [`HeldLeases`], [`LeaseStore`], [`Fence`].
//!
//! Pauses need no step of their own: a paused controller is one whose next step comes late, and a command that is decided
//! before a pause and sent after it is the same as a command in flight.
//!
//! Invariants of each state:
//! - At most one controller may command the slice.
//! - Only one process issues commands under an epoch.
//! - The proxy never obeys an epoch lower than one that it has obeyed, and obeys only one process under an epoch.
use super::search::{Paths, SearchResult};
use railhub_membership::fence::Fence;
use railhub_membership::lease::HeldLeases;
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::lease_store::{LeaseStore, StoreFaults};
use railhub_membership::Epoch;
use std::collections::{BTreeMap, HashSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Duration of a lease in steps of time.
const LEASE_DURATION: f64 = 3.0;
/// Steps of time in a run: enough for a lease and its expiry, and for the lease of the other controller and its expiry.
const RUN_LENGTH: u8 = 8;
/// Maximum number of commands in flight at once.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of commands in a run.
const MAX_COMMANDS: u8 = 3;
/// Maximum number of crashes in a run.
const MAX_CRASHES: u8 = 1;
/// Maximum number of restarts of the store from a copy.
const MAX_STORE_RESTARTS: u8 = 1;
/// Number of controllers.
const CONTROLLERS: usize = 2;
/// The only slice.
const SLICE: u16 = 1;

/// A safeguard to omit from a search, to verify that the search finds the resulting violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OmittedSafeguard {
    /// Every safeguard is in force.
    Nothing,
    /// The proxy obeys commands of any epoch.
    Fence,
    /// The store grants the slice again under an epoch that it has used before.
    NewEpochs,
    /// Controllers issue commands after their leases have expired.
    LeaseExpiry,
    /// The store makes grants immediately after a restart from an older copy.
    GracePeriod,
}

/// A controller's request on its way to the store, or the response on its way back.
#[derive(Clone, Debug)]
enum Exchange {
    Requested(LeaseRequest),
    Responded(LeaseResponse),
}

#[derive(Clone, Debug)]
struct Controller {
    process: u64,
    leases: HeldLeases,
    /// The exchange in flight, and the time step at which it started.
    exchange: Option<(u8, Exchange)>,
    /// The last epoch that the controller held. It is used when [`OmittedSafeguard::LeaseExpiry`] lets controllers issue
    /// commands after their leases have expired.
    last_epoch: Option<Epoch>,
}

impl Controller {
    fn new(process: u64) -> Controller {
        Controller { process, leases: HeldLeases::new(LEASE_DURATION), exchange: None, last_epoch: None }
    }
}

#[derive(Clone, Copy, Debug)]
struct Command {
    epoch: Epoch,
    process: u64,
}

#[derive(Clone, Debug)]
struct State {
    now: u8,
    store: LeaseStore,
    store_copy: Option<LeaseStore>,
    controllers: [Controller; CONTROLLERS],
    in_flight: Vec<Command>,
    fence: Fence,
    /// The last command that the proxy obeyed.
    obeyed: Option<Command>,
    /// The process that issued commands under each epoch.
    issuers: BTreeMap<Epoch, u64>,
    last_process: u64,
    commands_left: u8,
    crashes_left: u8,
    store_restarts_left: u8,
}

/// A possible step in a state, with the resulting state or the invariant that it violates.
struct Transition {
    step: String,
    outcome: Result<State, String>,
}

impl Transition {
    fn to(step: String, next: State) -> Transition {
        Transition { step, outcome: Ok(next) }
    }
}

impl State {
    fn initial(omitted: OmittedSafeguard) -> State {
        let store_faults = StoreFaults {
            reuses_epochs: omitted == OmittedSafeguard::NewEpochs,
            skips_grace_period: omitted == OmittedSafeguard::GracePeriod,
            ..StoreFaults::default()
        };
        State {
            now: 0,
            store: LeaseStore::new(LEASE_DURATION, store_faults),
            store_copy: None,
            controllers: [Controller::new(1), Controller::new(2)],
            in_flight: Vec::new(),
            fence: Fence::default(),
            obeyed: None,
            issuers: BTreeMap::new(),
            last_process: CONTROLLERS as u64,
            commands_left: MAX_COMMANDS,
            crashes_left: MAX_CRASHES,
            store_restarts_left: MAX_STORE_RESTARTS,
        }
    }

    fn key(&self) -> u64 {
        xxh3_64(format!("{self:?}").as_bytes())
    }

    fn now_seconds(&self) -> f64 {
        f64::from(self.now)
    }

    fn valid_epoch(&self, controller: usize) -> Option<Epoch> {
        self.controllers[controller].leases.valid_epoch(self.now_seconds(), SLICE)
    }

    /// The invariant that this state violates, if any.
    fn violation(&self) -> Option<String> {
        match (self.valid_epoch(0), self.valid_epoch(1)) {
            (Some(a), Some(b)) => Some(format!("both may command, under epochs {} and {}", a.0, b.0)),
            _ => None,
        }
    }

    /// All possible next steps.
    fn transitions(&self, omitted: OmittedSafeguard) -> Vec<Transition> {
        let mut transitions = Vec::new();
        if self.now < RUN_LENGTH {
            let mut next = self.clone();
            next.now += 1;
            transitions.push(Transition::to("time advances".to_owned(), next));
        }
        for controller in 0..CONTROLLERS {
            self.exchange_steps(controller, &mut transitions);
            transitions.extend(self.command(controller, omitted));
            transitions.extend(self.restart(controller));
        }
        transitions.extend(self.store_step());
        for index in 0..self.in_flight.len() {
            transitions.push(self.delivery(index, omitted));
        }
        transitions
    }

    fn exchange_steps(&self, controller: usize, transitions: &mut Vec<Transition>) {
        match &self.controllers[controller].exchange {
            None => transitions.push(self.send_request(controller)),
            Some((started_at, Exchange::Requested(request))) => {
                transitions.push(self.handle_request(controller, *started_at, request));
                let step = format!("the request of {controller} is lost");
                transitions.push(Transition::to(step, self.without_exchange(controller)));
            }
            Some((started_at, Exchange::Responded(response))) => {
                transitions.push(self.handle_response(controller, *started_at, response));
                let step = format!("the response to {controller} is lost");
                transitions.push(Transition::to(step, self.without_exchange(controller)));
            }
        }
    }

    fn without_exchange(&self, controller: usize) -> State {
        let mut next = self.clone();
        next.controllers[controller].exchange = None;
        next
    }

    fn send_request(&self, controller: usize) -> Transition {
        let held = self.valid_epoch(controller);
        let action = if held.is_some() { "renewal" } else { "the slice" };
        let request = LeaseRequest {
            number: 1,
            process: self.controllers[controller].process,
            duration: LEASE_DURATION,
            acquire: if held.is_some() { Vec::new() } else { vec![SLICE] },
            renew: held.map(|epoch| (SLICE, epoch)).into_iter().collect(),
            release: Vec::new(),
        };
        let mut next = self.clone();
        next.controllers[controller].exchange = Some((self.now, Exchange::Requested(request)));
        Transition::to(format!("{controller} requests {action}"), next)
    }

    fn handle_request(&self, controller: usize, started_at: u8, request: &LeaseRequest) -> Transition {
        let mut next = self.clone();
        let response = next.store.handle_request(self.now_seconds(), request).response;
        let step = format!("the store handles the request of {controller}: grants {:?}", response.granted);
        next.controllers[controller].exchange = Some((started_at, Exchange::Responded(response)));
        Transition::to(step, next)
    }

    fn handle_response(&self, controller: usize, started_at: u8, response: &LeaseResponse) -> Transition {
        let mut next = self.without_exchange(controller);
        let leases = &mut next.controllers[controller].leases;
        leases.on_granted(self.now_seconds(), f64::from(started_at), &response.granted);
        leases.on_refused(&response.refused);
        let last_epoch = next.valid_epoch(controller).or(self.controllers[controller].last_epoch);
        next.controllers[controller].last_epoch = last_epoch;
        Transition::to(format!("{controller} receives the response"), next)
    }

    fn restart(&self, controller: usize) -> Option<Transition> {
        if self.crashes_left == 0 {
            return None;
        }
        let mut next = self.clone();
        next.crashes_left -= 1;
        next.last_process += 1;
        let process = next.last_process;
        next.controllers[controller] = Controller::new(process);
        Some(Transition::to(format!("{controller} starts again as process {process}"), next))
    }

    fn command(&self, controller: usize, omitted: OmittedSafeguard) -> Option<Transition> {
        if self.in_flight.len() >= MAX_IN_FLIGHT || self.commands_left == 0 {
            return None;
        }
        let mut epoch = self.valid_epoch(controller);
        if omitted == OmittedSafeguard::LeaseExpiry {
            epoch = epoch.or(self.controllers[controller].last_epoch);
        }
        let epoch = epoch?;
        let step = format!("{controller} commands under epoch {}", epoch.0);
        Some(Transition { step, outcome: self.issue_command(controller, epoch) })
    }

    fn issue_command(&self, controller: usize, epoch: Epoch) -> Result<State, String> {
        let mut next = self.clone();
        let process = self.controllers[controller].process;
        let issuer = *next.issuers.entry(epoch).or_insert(process);
        if issuer != process {
            return Err(format!("epoch {} is commanded by processes {issuer} and {process}", epoch.0));
        }
        let newer = self.valid_epoch(1 - controller).filter(|newer| *newer > epoch);
        if let Some(newer) = newer {
            return Err(format!(
                "epoch {} is commanded while another may command under {}",
                epoch.0, newer.0
            ));
        }
        next.in_flight.push(Command { epoch, process });
        next.commands_left -= 1;
        Ok(next)
    }

    fn delivery(&self, index: usize, omitted: OmittedSafeguard) -> Transition {
        let mut next = self.clone();
        let command = next.in_flight.remove(index);
        let Command { epoch, process } = command;
        let step = format!("the command of process {process} under epoch {} arrives", epoch.0);
        let is_admitted = next.fence.admits(u32::from(SLICE), epoch) || omitted == OmittedSafeguard::Fence;
        if !is_admitted {
            return Transition::to(step, next);
        }
        if let Some(previous) = self.obeyed {
            let other_process = epoch == previous.epoch && process != previous.process;
            if epoch < previous.epoch || other_process {
                let violation = format!(
                    "the proxy obeys epoch {} of {process} after {} of {}",
                    epoch.0, previous.epoch.0, previous.process
                );
                return Transition { step, outcome: Err(violation) };
            }
        }
        next.obeyed = Some(command);
        Transition::to(step, next)
    }

    fn store_step(&self) -> Option<Transition> {
        if self.store_restarts_left == 0 {
            return None;
        }
        let mut next = self.clone();
        let step = match &self.store_copy {
            None => {
                next.store_copy = Some(self.store.clone());
                "the store is copied"
            }
            Some(copy) => {
                next.store = copy.restart(self.now_seconds(), u64::from(self.now) + 1);
                next.store_restarts_left -= 1;
                "the store restarts from the copy"
            }
        };
        Some(Transition::to(step.to_owned(), next))
    }
}

/// Searches at most `max_states` states, with a safeguard omitted or with all in force.
pub fn explore(omitted: OmittedSafeguard, max_states: usize) -> SearchResult {
    let first = State::initial(omitted);
    let mut seen = HashSet::from([first.key()]);
    let mut paths = Paths::new();
    let mut queue = VecDeque::from([(0, first)]);
    while let Some((state_number, state)) = queue.pop_front() {
        for Transition { step, outcome } in state.transitions(omitted) {
            let next = match outcome.and_then(|next| next.violation().map_or(Ok(next), Err)) {
                Ok(next) => next,
                Err(violation) => {
                    return SearchResult::violated(
                        seen.len(),
                        violation,
                        paths.steps_with(state_number, step),
                    );
                }
            };
            if seen.len() >= max_states {
                return SearchResult::limited(seen.len());
            }
            if seen.insert(next.key()) {
                queue.push_back((paths.add(state_number, step), next));
            }
        }
    }
    SearchResult::complete(seen.len())
}
