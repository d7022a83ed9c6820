//! The thread that owns a steward's kernel: takes in words, runs rounds, and passes on what they ask for.
use crate::inbox::{Inbox, OwnerEvent};
use crate::installation::Installation;
use crate::kernel::{ControllerCore, Environment, Figures};
use crate::probes::Probes;
use crate::store::StoreWriter;
use crate::streams::StreamHandle;
use crate::tables::Change;
use crate::traffic::TrafficWriter;
use railhub::{HostId, Phase, ProxyId, Seconds, SliceHandoff, SliceId};
use railhub_net::{now, seconds};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// Seconds the owner sleeps at most, so that joins that wait for room and stuck proxies are seen.
const LONGEST_SLEEP: Seconds = 0.01;
/// Seconds for words on deltas to gather before the owner looks again: they come by the hundred at once, and
/// nothing hangs on one of them.
const GATHER: Seconds = 0.0001;
/// Words taken in for one round: a round must end.
const WORDS_A_ROUND: usize = 4096;

pub struct Owner {
    kernel: ControllerCore<Arc<StreamHandle>>,
    around: Around,
    inbox: Arc<Inbox>,
    /// The last look brought nothing but words on deltas.
    only_acks: bool,
    shown: Arc<Mutex<Figures>>,
}

/// Where an owner's orders go besides the proxies.
pub struct CommandTargets {
    pub probes: Probes,
    pub store: Option<Arc<StoreWriter>>,
    pub traffic: Option<TrafficWriter>,
}

/// What the kernel asks of the rest of the process.
struct Around {
    class_names: Vec<String>,
    outlets: CommandTargets,
}

impl Environment for Around {
    fn probe(&mut self, host: HostId) {
        self.outlets.probes.submit(host);
    }

    fn store(&mut self, slice: SliceId, epoch: u64, lines: Vec<(HostId, f64)>) {
        if let Some(store) = &self.outlets.store {
            store.put(slice, epoch, lines);
        }
    }

    fn hand_on(&mut self, slice: SliceId, epoch: u64, lines: Vec<(HostId, f64)>, state: SliceHandoff) {
        if let Some(store) = &self.outlets.store {
            store.hand_on(slice, epoch, lines, state);
        }
    }

    fn given_up(&mut self, slices: &[SliceId]) {
        if let Some(store) = &self.outlets.store {
            store.given_up(slices);
        }
    }

    fn decided(&mut self, cause: &str) {
        tracing::info!(cause, "decision");
    }

    /// Levels and shut-outs have no note of their own.
    fn published(&mut self, change: &Change, version: u64) {
        for (class, (share, again)) in &change.levels {
            let name = self.class_names.get(usize::from(class.0)).map_or("", String::as_str);
            tracing::info!(class = name, share, again = ?again, cause = "a level changes", "decision");
        }
        for (host, out) in &change.shut {
            let cause = if *out { "host is shut out of all tables" } else { "host is let in again" };
            tracing::info!(host = %host, cause, "decision");
        }
        tracing::debug!(version, lines = change.cost(), "a delta leaves");
    }

    fn proxy(&mut self, proxy: ProxyId, what: &str, why: &str) {
        tracing::info!(proxy = proxy.0, why, "{what}");
    }
}

impl Owner {
    pub fn new(
        installation: Installation,
        incarnation: Option<u64>,
        inbox: Arc<Inbox>,
        outlets: CommandTargets,
        shown: Arc<Mutex<Figures>>,
    ) -> Owner {
        let now = now();
        let around = Around { class_names: installation.class_names.clone(), outlets };
        let kernel = ControllerCore::new(installation, incarnation.unwrap_or((now * 1e9) as u64), now);
        Owner { kernel, around, inbox, only_acks: false, shown }
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) {
        self.inbox.bind_owner();
        loop {
            self.sleep();
            let (mut acks, mut others) = (0, 0);
            for _ in 0..WORDS_A_ROUND {
                match self.inbox.next_event() {
                    Some(OwnerEvent::Stop) => return,
                    Some(word) => {
                        *(if matches!(word, OwnerEvent::Ack { .. }) { &mut acks } else { &mut others }) += 1;
                        self.hear(word);
                    }
                    None => break,
                }
            }
            self.only_acks = acks > 0 && others == 0;
            if self.kernel.is_ready() {
                self.kernel.let_in(now());
                if self.kernel.ring(now()) {
                    self.take_sums();
                }
                self.kernel.act(now(), now, &mut self.around);
                self.kernel.look_for_stuck(now(), &mut self.around);
            }
        }
    }

    fn sleep(&self) {
        let now = now();
        let due = self.kernel.next_due().unwrap_or(f64::INFINITY).min(now + LONGEST_SLEEP);
        if self.kernel.is_owed() && self.only_acks && due > now {
            std::thread::sleep(seconds(GATHER.min(due - now)));
        } else if self.inbox.has_no_events() && due > now {
            std::thread::park_timeout(seconds(due - now));
        }
    }

    fn hear(&mut self, word: OwnerEvent) {
        let Owner { kernel, around, .. } = self;
        match word {
            OwnerEvent::List(list) => {
                let of = |phase| list.entries.iter().filter(|entry| entry.phase == phase).count();
                let (draining, gone) = (of(Phase::Draining), of(Phase::Gone));
                let (hosts, whole) = (list.entries.len(), list.complete);
                tracing::info!(hosts, whole, draining, gone, "the host list has news");
                kernel.hear_list(list);
            }
            OwnerEvent::Charges(charges) => {
                tracing::info!(slices = charges.len(), "slices are in charge, with their tables");
                kernel.hear_charges(charges);
            }
            OwnerEvent::Grants { gained, lost, lapsed } => {
                let slices = |ids: &mut dyn Iterator<Item = u16>| {
                    ids.map(|id| id.to_string()).collect::<Vec<_>>().join(" ")
                };
                let come = slices(&mut gained.iter().map(|gained| gained.charge.slice().0));
                let gone = slices(&mut lost.iter().map(|slice| slice.0));
                let over = slices(&mut lapsed.iter().map(|slice| slice.0));
                tracing::info!(come, gone, over, "slices come into charge and go");
                kernel.hear_grants(now(), gained, &lost, &lapsed, around);
            }
            OwnerEvent::Probe(result) => kernel.hear_probe(result),
            OwnerEvent::Joins { stream, subscribe, door } => {
                kernel.join(now(), stream, subscribe, door, around)
            }
            OwnerEvent::Leaves { stream, proxy, why } => kernel.leave(now(), stream, proxy, &why, around),
            OwnerEvent::Ack { stream, proxy, nonce } => _ = kernel.settle(now(), proxy, stream, nonce, false),
            OwnerEvent::Nack { stream, proxy, nonce, reason } => {
                if kernel.settle(now(), proxy, stream, nonce, true) {
                    tracing::error!(proxy = proxy.0, version = nonce, reason, "a version is refused");
                }
            }
            OwnerEvent::Stop => {}
        }
    }

    fn take_sums(&mut self) {
        while let Some(report) = self.inbox.next_report() {
            if let Some(traffic) = &mut self.around.outlets.traffic {
                traffic.take(now(), report.proxy, report.zone, &report.sums);
            }
            self.kernel.take_sums(report.stream, report.proxy, report.zone, &report.sums);
        }
        self.kernel.flush_sums(now());
        let mut figures = self.kernel.figures();
        figures.sums_dropped += self.inbox.reports_dropped.load(Ordering::Relaxed);
        figures.probes_dropped = self.around.outlets.probes.dropped();
        let traffic = self.around.outlets.traffic.as_ref();
        figures.traffic_dropped = traffic.map_or(0, |traffic| traffic.dropped);
        *self.shown.lock().expect("no holder panics") = figures;
    }
}
