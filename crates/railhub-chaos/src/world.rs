//! Plays a run: stewards with lease managers and clocks of their own, a store, proxies that fence, and messages that
//! take their time.
use crate::agenda::Agenda;
use crate::faults::{Chaos, Fault, What};
use railhub_membership::fence::Fence;
use railhub_membership::lease_manager::{Effects, LeaseManager, LeaseManagerOptions};
use railhub_membership::lease_messages::{LeaseRequest, LeaseResponse};
use railhub_membership::lease_store::{LeaseStore, StoreFaults};
use railhub_membership::messages::{Destination, Message, OutgoingMessage};
use railhub_membership::swim::MembershipConfig;
use railhub_membership::{Epoch, NodeId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Seconds a message takes, least and most.
const WAY: (f64, f64) = (0.0005, 0.004);
/// Seconds between two orders for a slice, so that there is always one under way, and until an order without a
/// word is sent again.
const ORDERS_EVERY: f64 = 0.5;
const AGAIN_AFTER: f64 = 0.8;
/// Share of orders whose acknowledgement is lost.
const WORDS_LOST: f64 = 0.02;
/// Parts the draws of a run from those of its faults.
const RUN_MIX: u64 = 0x000c_4a05;
/// Seconds between copies of the store's state, and copies kept.
const COPY_EVERY: f64 = 0.5;
const COPIES_MOST: usize = 64;
/// Seconds since 1970 at which the first store of a run started: any number.
const STORE_STARTS: u64 = 1000;
/// Seconds of a flapping steward's half turn.
pub(crate) const FLAP: f64 = 3.0;

/// What the checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Proxies obey whatever comes.
    NoFence,
    /// The store grants a slice anew under the epoch it had.
    EpochReused,
    /// Stewards order on when their leases are over.
    LeaseOverrun,
    /// Proxies take an order that is sent again once more.
    NoMemory,
    /// The store takes tables under any epoch; on processes alone, where tables are stored.
    UncheckedWrites,
}

/// What is seen of a run. Times are true seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A steward's process starts, or ends.
    Steward { at: f64, steward: u16, process: u64, up: bool },
    /// The store granted a slice anew, to another than before.
    Granted { at: f64, slice: u16, epoch: u64, process: u64 },
    /// A steward decided something for a slice, at a moment of its own clock which keeps within the bound or not.
    Ordered { at: f64, slice: u16, epoch: u64, process: u64, sane_clock: bool },
    /// A proxy obeyed an order.
    Obeyed { at: f64, proxy: u16, slice: u16, epoch: u64, process: u64, number: u64 },
}

#[derive(Clone, Debug)]
struct Order {
    slice: u16,
    epoch: u64,
    process: u64,
    number: u64,
}

enum Due {
    Tick { steward: u16, process: u64 },
    CommandSink { steward: u16, process: u64 },
    Mail { to: u16, message: Message },
    LeaseRequest { steward: u16, request: LeaseRequest },
    LeaseResponse { steward: u16, process: u64, response: LeaseResponse },
    Arrives { proxy: u16, order: Order, steward: u16 },
    Word { steward: u16, process: u64, proxy: u16, number: u64 },
    On(usize),
    Off(usize),
    Flap { number: usize, until: f64 },
}

struct Steward {
    lease_manager: LeaseManager,
    process: u64,
    /// Its clock: true seconds times speed, plus an offset.
    speed: f64,
    offset: f64,
    sane_clock: bool,
    paused_until: f64,
    slow_orders: f64,
    /// Slices it believes to order, for the one that overruns its leases.
    believes: BTreeMap<u16, Epoch>,
    /// Commands that a proxy owes a word on: when they were sent last.
    owed: BTreeMap<(u16, u64), (f64, Order)>,
}

pub struct World<'a> {
    chaos: &'a Chaos,
    faults: &'a [Fault],
    sabotage: Option<Sabotage>,
    now: f64,
    agenda: Agenda<Due>,
    stewards: BTreeMap<u16, Steward>,
    speeds: BTreeMap<u16, f64>,
    last_process: u64,
    last_order: u64,
    on: BTreeSet<usize>,
    store: LeaseStore,
    /// Copies of the store as it was, the oldest first.
    copies: VecDeque<(f64, LeaseStore)>,
    fences: Vec<Fence>,
    seen: Vec<BTreeSet<u64>>,
    chance: ChaCha8Rng,
    events: Vec<Event>,
}

/// Plays one run; what was seen of it.
pub fn run(chaos: &Chaos, seed: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> Vec<Event> {
    let mut world = World {
        chaos,
        faults,
        sabotage,
        now: 0.0,
        agenda: Agenda::new(),
        stewards: BTreeMap::new(),
        speeds: BTreeMap::new(),
        last_process: 0,
        last_order: 0,
        on: BTreeSet::new(),
        store: LeaseStore::new(
            chaos.span,
            StoreFaults { reuses_epochs: sabotage == Some(Sabotage::EpochReused), ..StoreFaults::default() },
        ),
        copies: VecDeque::new(),
        fences: vec![Fence::default(); chaos.proxies as usize],
        seen: vec![BTreeSet::new(); chaos.proxies as usize],
        chance: ChaCha8Rng::seed_from_u64(seed ^ RUN_MIX),
        events: Vec::new(),
    };
    for (number, fault) in faults.iter().enumerate() {
        // A clock is fast or slow from the start: nobody would notice it begin.
        if let What::Drift { steward, by } = fault.what {
            world.speeds.insert(steward, 1.0 + by);
        } else {
            world.due(fault.at, Due::On(number));
        }
    }
    (0..chaos.stewards).for_each(|steward| world.start(steward));
    world.play();
    world.events
}

impl World<'_> {
    fn due(&mut self, at: f64, due: Due) {
        self.agenda.put(at.max(self.now), due);
    }

    fn way(&mut self) -> f64 {
        WAY.0 + (WAY.1 - WAY.0) * self.chance.random::<f64>()
    }

    fn play(&mut self) {
        while let Some((at, due)) = self.agenda.next() {
            self.now = at;
            if self.now > self.chaos.length {
                return;
            }
            self.handle(due);
        }
    }

    fn start(&mut self, id: u16) {
        self.last_process += 1;
        let process = self.last_process;
        let weights = (0..self.chaos.stewards).map(|id| (NodeId(id), 1.0)).collect();
        let seed = self.chance.random();
        let (slices, span) = (self.chaos.slices, self.chaos.span);
        let (metadata, config) = (Default::default(), MembershipConfig::default());
        let options = LeaseManagerOptions {
            id: NodeId(id),
            process,
            weights: &weights,
            metadata,
            config,
            slices,
            lease_duration: span,
            settle_time: 0.0,
            seed,
        };
        let speed = self.speeds.get(&id).copied().unwrap_or(1.0);
        let offset = self.chance.random::<f64>() * 1000.0;
        let lease_manager = LeaseManager::new(&options, self.now * speed + offset);
        let steward = Steward {
            lease_manager,
            process,
            speed,
            offset,
            sane_clock: true,
            paused_until: 0.0,
            slow_orders: 0.0,
            believes: BTreeMap::new(),
            owed: BTreeMap::new(),
        };
        self.stewards.insert(id, steward);
        self.events.push(Event::Steward { at: self.now, steward: id, process, up: true });
        self.due(self.now, Due::Tick { steward: id, process });
        let phase = self.chance.random::<f64>() * ORDERS_EVERY;
        self.due(self.now + phase, Due::CommandSink { steward: id, process });
    }

    fn kill(&mut self, id: u16) {
        if let Some(steward) = self.stewards.remove(&id) {
            self.events.push(Event::Steward {
                at: self.now,
                steward: id,
                process: steward.process,
                up: false,
            });
        }
    }

    /// What falls due for a paused steward waits until it wakes; for one that is gone it is nothing.
    fn wakes(&self, id: u16, process: u64) -> Option<f64> {
        let steward = self.stewards.get(&id).filter(|steward| steward.process == process)?;
        Some(steward.paused_until)
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Tick { steward, process } => match self.wakes(steward, process) {
                Some(wakes) if wakes > self.now => self.due(wakes, Due::Tick { steward, process }),
                Some(_) => self.tick(steward),
                None => {}
            },
            Due::CommandSink { steward, process } => match self.wakes(steward, process) {
                Some(wakes) if wakes > self.now => self.due(wakes, Due::CommandSink { steward, process }),
                Some(_) => self.orders(steward),
                None => {}
            },
            Due::Mail { to, message } => {
                let Some(steward) = self.stewards.get(&to) else { return };
                if steward.paused_until > self.now {
                    let wakes = steward.paused_until;
                    return self.due(wakes, Due::Mail { to, message });
                }
                self.with_lease_manager(to, |lease_manager, now| lease_manager.on_message(now, &message));
            }
            Due::LeaseRequest { steward, request } => self.lease_requested(steward, &request),
            Due::LeaseResponse { steward, process, response } => match self.wakes(steward, process) {
                Some(wakes) if wakes > self.now => {
                    self.due(wakes, Due::LeaseResponse { steward, process, response })
                }
                Some(_) => self.with_lease_manager(steward, |lease_manager, now| {
                    lease_manager.on_response(now, &response)
                }),
                None => {}
            },
            Due::Arrives { proxy, order, steward } => self.arrives(proxy, &order, steward),
            Due::Word { steward, process, proxy, number } => {
                if self.wakes(steward, process).is_some() {
                    let steward = self.stewards.get_mut(&steward).expect("it has just been looked at");
                    steward.owed.remove(&(proxy, number));
                }
            }
            Due::On(number) => self.fault_on(number),
            Due::Off(number) => self.fault_off(number),
            Due::Flap { number, until } => self.flap(number, until),
        }
    }

    fn with_lease_manager(&mut self, id: u16, act: impl FnOnce(&mut LeaseManager, f64) -> Effects) {
        let now = self.now;
        let Some(steward) = self.stewards.get_mut(&id) else { return };
        let acts = act(&mut steward.lease_manager, now * steward.speed + steward.offset);
        self.carry_out(id, acts);
    }

    fn carry_out(&mut self, id: u16, acts: Effects) {
        for OutgoingMessage { to, message } in acts.messages {
            let Destination::Node(to) = to else { continue };
            let (lost, way) = (self.chance.random::<f64>() < self.chaos.lost, self.way());
            if !lost && !self.is_cut(id, to.0) {
                self.due(self.now + way, Due::Mail { to: to.0, message });
            }
        }
        if let Some(request) = acts.lease_request {
            let way = self.way();
            self.due(self.now + way, Due::LeaseRequest { steward: id, request });
        }
        let overruns = self.sabotage == Some(Sabotage::LeaseOverrun);
        if let Some(steward) = self.stewards.get_mut(&id) {
            steward.believes.extend(acts.acquired);
            if !overruns {
                let gone = acts.lost.iter().chain(&acts.expired);
                gone.for_each(|slice| _ = steward.believes.remove(slice));
            }
        }
    }

    fn is_cut(&self, from: u16, to: u16) -> bool {
        self.on.iter().any(|number| match self.faults[*number].what {
            What::Cut { from: a, to: b } => (from, to) == (a, b),
            What::Split { side } => (side >> from & 1) != (side >> to & 1),
            _ => false,
        })
    }

    fn tick(&mut self, id: u16) {
        self.with_lease_manager(id, LeaseManager::tick);
        let steward = &self.stewards[&id];
        let local = self.now * steward.speed + steward.offset;
        let (process, next) =
            (steward.process, (steward.lease_manager.next_tick_at(local) - local) / steward.speed);
        self.due(self.now + next.max(0.002), Due::Tick { steward: id, process });
    }

    /// A steward decides for all that it holds, and writes to the proxies one after the other; what a pause finds
    /// half written leaves when it wakes.
    fn orders(&mut self, id: u16) {
        let overruns = self.sabotage == Some(Sabotage::LeaseOverrun);
        let steward = &self.stewards[&id];
        let local = self.now * steward.speed + steward.offset;
        let (process, sane_clock, slow) = (steward.process, steward.sane_clock, steward.slow_orders);
        let may = |(slice, epoch): (&u16, &Epoch)| match overruns {
            true => Some((*slice, *epoch)),
            false => steward.lease_manager.valid_epoch(local, *slice).map(|epoch| (*slice, epoch)),
        };
        let slices: Vec<(u16, Epoch)> = steward.believes.iter().filter_map(may).collect();
        for (slice, epoch) in slices {
            self.last_order += 1;
            let order = Order { slice, epoch: epoch.0, process, number: self.last_order };
            self.events.push(Event::Ordered { at: self.now, slice, epoch: epoch.0, process, sane_clock });
            for proxy in 0..self.chaos.proxies {
                self.send(id, proxy, order.clone(), slow);
            }
        }
        self.send_again(id, slow);
        self.due(self.now + ORDERS_EVERY, Due::CommandSink { steward: id, process });
    }

    fn send(&mut self, id: u16, proxy: u16, order: Order, slow: f64) {
        let arrives = self.now + self.way() + slow * self.chance.random::<f64>();
        if let Some(steward) = self.stewards.get_mut(&id) {
            steward.owed.insert((proxy, order.number), (self.now, order.clone()));
        }
        self.due(arrives, Due::Arrives { proxy, order, steward: id });
    }

    fn send_again(&mut self, id: u16, slow: f64) {
        let now = self.now;
        let steward = &self.stewards[&id];
        let owed = steward.owed.iter().filter(|(_, (at, _))| now - at > AGAIN_AFTER + slow);
        let owed: Vec<(u16, Order)> = owed.map(|((proxy, _), (_, order))| (*proxy, order.clone())).collect();
        owed.into_iter().for_each(|(proxy, order)| self.send(id, proxy, order, slow));
    }

    fn arrives(&mut self, proxy: u16, order: &Order, steward: u16) {
        // What leaves a paused process is what was in its socket: it gets no further.
        if let Some(wakes) = self.wakes(steward, order.process).filter(|wakes| *wakes > self.now) {
            return self.due(wakes, Due::Arrives { proxy, order: order.clone(), steward });
        }
        let place = proxy as usize;
        let passes = self.fences[place].admits(u32::from(order.slice), Epoch(order.epoch));
        let fresh = self.seen[place].insert(order.number);
        let obeys = (passes || self.sabotage == Some(Sabotage::NoFence))
            && (fresh || self.sabotage == Some(Sabotage::NoMemory));
        if obeys {
            let Order { slice, epoch, process, number } = *order;
            self.events.push(Event::Obeyed { at: self.now, proxy, slice, epoch, process, number });
        }
        if self.chance.random::<f64>() >= WORDS_LOST {
            let way = self.way();
            let (process, number) = (order.process, order.number);
            self.due(self.now + way, Due::Word { steward, process, proxy, number });
        }
    }

    fn lease_requested(&mut self, id: u16, request: &LeaseRequest) {
        let is_on = |what: &What| self.on.iter().any(|number| self.faults[*number].what == *what);
        if is_on(&What::StoreAway) || is_on(&What::CutStore { steward: id }) {
            return;
        }
        let loses_answers = is_on(&What::StoreLosesAnswers);
        let slow = self.on.iter().map(|number| match self.faults[*number].what {
            What::StoreSlow { by } => by,
            _ => 0.0,
        });
        let (slow, now) = (slow.fold(0.0, f64::max), self.now);
        if self.copies.back().is_none_or(|(at, _)| now - at >= COPY_EVERY) {
            self.copies.push_back((now, self.store.clone()));
            if self.copies.len() > COPIES_MOST {
                self.copies.pop_front();
            }
        }
        let answer = self.store.handle_request(now, request);
        for (slice, epoch) in answer.acquired {
            self.events.push(Event::Granted { at: now, slice, epoch: epoch.0, process: request.process });
        }
        let response = answer.response;
        if loses_answers {
            return;
        }
        let arrives = now + self.way() + slow;
        self.due(arrives, Due::LeaseResponse { steward: id, process: request.process, response });
    }

    fn fault_on(&mut self, number: usize) {
        let Fault { long, what, .. } = self.faults[number].clone();
        self.on.insert(number);
        match what {
            What::Kill { steward } => self.kill(steward),
            What::Pause { steward } => {
                // To the microsecond that the agenda counts in: one that wakes between two would never wake.
                let until = ((self.now + long) * 1e6).ceil() / 1e6;
                self.stewards
                    .get_mut(&steward)
                    .into_iter()
                    .for_each(|s| s.paused_until = s.paused_until.max(until));
            }
            What::Jump { steward, by } => {
                if let Some(steward) = self.stewards.get_mut(&steward) {
                    (steward.offset, steward.sane_clock) = (steward.offset + by, false);
                }
            }
            What::SlowOrders { steward, by } => {
                self.stewards.get_mut(&steward).into_iter().for_each(|steward| steward.slow_orders = by);
            }
            What::Drain { steward } => {
                self.stewards
                    .get_mut(&steward)
                    .into_iter()
                    .for_each(|steward| steward.lease_manager.start_draining());
            }
            What::Flap { .. } => self.flap(number, self.now + long),
            What::StoreForgets { by } => self.store_forgets(by),
            _ => {}
        }
        self.due(self.now + long, Due::Off(number));
    }

    /// The store starts again from a copy that is so old.
    fn store_forgets(&mut self, by: f64) {
        let before = self.now - by;
        let copy = self.copies.iter().rev().find(|(at, _)| *at <= before).or(self.copies.front());
        let Some((_, copy)) = copy else { return };
        self.store = copy.restart(self.now, STORE_STARTS + self.now as u64);
    }

    fn fault_off(&mut self, number: usize) {
        self.on.remove(&number);
        match self.faults[number].what {
            What::Kill { steward } | What::Flap { steward } if !self.stewards.contains_key(&steward) => {
                self.start(steward);
            }
            What::SlowOrders { steward, .. } => {
                self.stewards.get_mut(&steward).into_iter().for_each(|steward| steward.slow_orders = 0.0);
            }
            _ => {}
        }
    }

    fn flap(&mut self, number: usize, until: f64) {
        let What::Flap { steward } = self.faults[number].what else { return };
        if self.now >= until {
            return;
        }
        if self.stewards.contains_key(&steward) {
            self.kill(steward);
        } else {
            self.start(steward);
        }
        self.due(self.now + FLAP, Due::Flap { number, until });
    }
}
