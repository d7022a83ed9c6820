//! Plays a plan's faults on real processes.
use crate::agenda::Agenda;
use crate::bed::looker::{Asked, Events, Looker};
use crate::bed::process::Process;
use crate::faults::{links_on, Chaos, Fault, LinkFaults, What};
use crate::view::sim::{How, FLAP, ROUND};
use crate::view::{ends, Node, Seen};
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::{Crossing, Faults, LinkController};
use railhub_membership::member::Status;
use railhub_membership::packet::{decode, Packet};
use railhub_membership::safeguard::Safeguard;
use railhub_net::{now, seconds};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Datagrams kept to be sent again, and between two that are.
const KEPT_MOST: usize = 20_000;
const REPLAY_GAP: f64 = 0.000_05;
/// How far back the clock is set that numbers processes, microseconds.
const BACK: u64 = 3_600_000_000;
/// Spoilt datagrams sent at once, and seconds between.
const FLOOD_PIECE: u32 = 50;
const FLOOD_GAP: f64 = 0.001;

/// A run on real processes.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    pub chaos: &'a Chaos,
    pub seed: u64,
    pub faults: &'a [Fault],
    pub how: How,
    /// The program that the stewards are.
    pub binary: &'a Path,
    /// Settings, logs, the links' record and what was seen are written here.
    pub folder: &'a Path,
    /// Stewards whose addresses each is given to join by; three of them suffice.
    pub join: Vec<u16>,
}

pub struct Played {
    pub events: Vec<Seen>,
}

/// What the tap on the links learns.
#[derive(Default)]
struct Heard {
    told_dead: BTreeSet<(u16, u64, u64)>,
    news: BTreeSet<u32>,
    datagrams: u64,
    bytes: u64,
    longest: usize,
    kept: Vec<(String, String, Vec<u8>)>,
}

#[derive(Clone, Copy)]
enum Due {
    On(usize),
    Off(usize),
    Flap { number: usize, until: f64 },
}

struct Running {
    process: Arc<Process>,
    steward: u16,
    /// Its name on the links.
    end: String,
}

struct Bed<'a> {
    plan: &'a Plan<'a>,
    installation: String,
    began: f64,
    links: UdpLinks,
    link_controller: Arc<LinkController>,
    nodes: BTreeMap<Node, Running>,
    current: BTreeMap<u16, Node>,
    /// Each steward's name on the links and public address; another one after it has moved.
    ends: BTreeMap<u16, (String, SocketAddr)>,
    last_node: usize,
    asked: Asked,
    events: Events,
    heard: Arc<Mutex<Heard>>,
    on: BTreeSet<usize>,
    apart: BTreeSet<(u16, u16)>,
    starving: BTreeMap<usize, Arc<AtomicBool>>,
    agenda: Agenda<Due>,
}

/// Plays one run; waits for its end.
///
/// # Errors
/// What could not be started, with the paths of logs.
pub fn play(plan: &Plan) -> Result<Played, String> {
    std::fs::create_dir_all(plan.folder).map_err(|e| format!("{}: {e}", plan.folder.display()))?;
    let mut bed = Bed::open(plan)?;
    bed.run()?;
    bed.finish()
}

fn file(path: &Path) -> Result<BufWriter<File>, String> {
    File::create(path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()))
}

impl<'a> Bed<'a> {
    fn open(plan: &'a Plan<'a>) -> Result<Bed<'a>, String> {
        let record = file(&plan.folder.join("links.jsonl"))?;
        let link_controller = Arc::new(LinkController::new(plan.seed, Some(Box::new(record))));
        let installation = format!("chaos-{}", plan.seed);
        let (began, heard, events) = (now(), Arc::new(Mutex::new(Heard::default())), Events::default());
        let tap = tap(installation.clone(), began, heard.clone(), events.clone());
        let links = UdpLinks::open(link_controller.clone(), tap);
        let mut bed = Bed {
            plan,
            installation,
            began,
            links,
            link_controller,
            nodes: BTreeMap::new(),
            current: BTreeMap::new(),
            ends: BTreeMap::new(),
            last_node: 0,
            asked: Asked::default(),
            events,
            heard,
            on: BTreeSet::new(),
            apart: BTreeSet::new(),
            starving: BTreeMap::new(),
            agenda: Agenda::new(),
        };
        for steward in 0..plan.chaos.stewards {
            bed.add_end(steward, steward.to_string())?;
        }
        bed.set_links();
        Ok(bed)
    }

    fn at(&self) -> f64 {
        now() - self.began
    }

    fn see(&self, seen: Seen) {
        self.events.lock().expect("no holder panics").push(seen);
    }

    fn add_end(&mut self, steward: u16, end: String) -> Result<(), String> {
        let public = self.links.add(&end).map_err(|e| format!("no port for a link: {e}"))?;
        self.ends.insert(steward, (end, public));
        Ok(())
    }

    fn settings(&self, steward: u16, process: Option<u64>) -> String {
        let public = self.ends[&steward].1;
        let join = self.plan.join.iter().filter_map(|id| self.ends.get(id)).map(|end| end.1.to_string());
        let join: Vec<String> = join.collect();
        let mut text = format!(
            "[steward]\nlisten = 127.0.0.1:0\nroster = 127.0.0.1:1\n\n[class any]\ncontract_time = 1\n\n\
             [fleet]\nid = {steward}\ninstallation = {}\nadvertise = {public}\njoin = {}\n",
            self.installation,
            join.join(", "),
        );
        if let Some(process) = process {
            text += &format!("process = {process}\n");
        }
        if self.plan.how.forget_after > 0.0 {
            text += &format!("forget_after = {}\n", self.plan.how.forget_after);
        }
        text + without(self.plan.how.without)
    }

    fn start(&mut self, steward: u16, process: Option<u64>) -> Result<(), String> {
        self.last_node += 1;
        let node = Node(self.last_node);
        let conf = self.plan.folder.join(format!("steward-{steward}-{}.ini", node.0));
        let log = conf.with_extension("log");
        std::fs::write(&conf, self.settings(steward, process))
            .map_err(|e| format!("{}: {e}", conf.display()))?;
        let started = Process::start(self.plan.binary, &conf, &log)?;
        let end = self.ends[&steward].0.clone();
        self.links.set_real_address(&end, Some(started.fleet));
        self.asked.lock().expect("no holder panics").insert(node, started.fleet);
        self.see(Seen::Up { at: self.at(), node, steward });
        self.nodes.insert(node, Running { process: Arc::new(started), steward, end });
        self.current.insert(steward, node);
        Ok(())
    }

    fn end(&mut self, steward: u16, act: impl FnOnce(&Process)) {
        let Some(node) = self.current.remove(&steward) else { return };
        let Some(running) = self.nodes.remove(&node) else { return };
        self.asked.lock().expect("no holder panics").remove(&node);
        self.see_cost(node, &running.process);
        act(&running.process);
        self.see(Seen::Down { at: self.at(), node, steward });
        if self.nodes.values().all(|other| other.end != running.end) {
            self.links.set_real_address(&running.end, None);
        }
    }

    fn see_cost(&self, node: Node, process: &Process) {
        if let Some(processor) = process.processor() {
            self.see(Seen::Cost { at: self.at(), node, processor });
        }
    }

    fn current(&self, steward: u16) -> Option<&Running> {
        self.nodes.get(self.current.get(&steward)?)
    }

    /// Each way between two stewards as the faults that are on make it; by the names that they have now or had.
    fn set_links(&self) {
        let bad = self.links_now();
        let running = self.nodes.values().map(|running| (running.end.clone(), running.steward));
        let named = self.ends.iter().map(|(steward, (end, _))| (end.clone(), *steward));
        let ends: BTreeMap<String, u16> = running.chain(named).collect();
        for (a, from) in &ends {
            for (b, to) in ends.iter().filter(|(b, _)| *b != a) {
                let cut = crate::view::sim::is_cut(&self.on, &self.apart, self.plan.faults, *from, *to);
                let faults = Faults { cut, ..bad };
                if self.link_controller.faults(a, b) != faults {
                    self.link_controller.set(a, b, faults);
                }
            }
        }
    }

    fn links_now(&self) -> Faults {
        let on = self.on.iter().map(|number| &self.plan.faults[*number]);
        let LinkFaults { lost, doubled, reordered, delay, jitter } = links_on(self.plan.chaos.lost, on);
        Faults { lost, duplicated: doubled, reordered, delay, jitter, ..Faults::default() }
    }

    fn run(&mut self) -> Result<(), String> {
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.agenda.put(fault.at, Due::On(number));
        }
        let first: Vec<u16> =
            (0..self.plan.chaos.stewards).filter(|id| !self.plan.chaos.later.contains(id)).collect();
        for steward in first {
            self.start(steward, None)?;
        }
        let _looker = Looker::start(&self.installation, self.began, self.asked.clone(), self.events.clone())
            .map_err(|e| format!("no port to look from: {e}"))?;
        let end = ends(self.plan.chaos.length, self.plan.faults);
        while let Some((at, due)) = self.agenda.next() {
            std::thread::sleep(seconds(at - self.at()));
            match due {
                Due::On(number) => self.fault_on(number)?,
                Due::Off(number) => self.fault_off(number)?,
                Due::Flap { number, until } => self.flap(number, until)?,
            }
            self.set_links();
        }
        std::thread::sleep(seconds(end - self.at()));
        Ok(())
    }

    fn fault_on(&mut self, number: usize) -> Result<(), String> {
        let Fault { at, long, what } = self.plan.faults[number].clone();
        self.see(Seen::Fault { at: self.at(), on: true, fault: what.clone() });
        self.on.insert(number);
        self.agenda.put(at + long, Due::Off(number));
        match what {
            What::Kill { steward } | What::Backward { steward } => self.end(steward, Process::kill),
            What::Leave { steward } => self.end(steward, Process::leave),
            What::Pause { steward } => self.current(steward).into_iter().for_each(|one| one.process.stop()),
            What::Starve { steward, share } => self.starve(number, steward, share),
            What::Flap { .. } => self.flap(number, at + long)?,
            What::Move { steward } => {
                self.end(steward, Process::kill);
                self.add_end(steward, format!("{steward} moved {number}"))?;
                self.start(steward, None)?;
            }
            What::Join { steward } if !self.current.contains_key(&steward) => self.start(steward, None)?,
            What::Twin { steward } => {
                self.add_end(steward, format!("{steward} twin {number}"))?;
                self.start(steward, None)?;
            }
            What::Apart { a, b } => _ = self.apart.insert((a.min(b), a.max(b))),
            What::Replay => self.replay(),
            What::Flood { steward, count } => self.flood(steward, count),
            _ => {}
        }
        Ok(())
    }

    fn fault_off(&mut self, number: usize) -> Result<(), String> {
        self.on.remove(&number);
        let what = self.plan.faults[number].what.clone();
        match what {
            What::Kill { steward } | What::Flap { steward } | What::Leave { steward }
                if !self.current.contains_key(&steward) =>
            {
                self.start(steward, None)?;
            }
            What::Backward { steward } if !self.current.contains_key(&steward) => {
                let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let process = since.unwrap_or_default().as_micros() as u64 - BACK;
                self.start(steward, Some(process))?;
            }
            // One that is stopped twice goes on when the last of them is over.
            What::Pause { steward } if !self.is_paused(steward) => {
                self.current(steward).into_iter().for_each(|one| one.process.go_on());
            }
            What::Starve { .. } => {
                self.starving
                    .remove(&number)
                    .into_iter()
                    .for_each(|ends| ends.store(true, Ordering::Release));
            }
            _ => {}
        }
        self.see(Seen::Fault { at: self.at(), on: false, fault: what });
        Ok(())
    }

    fn is_paused(&self, steward: u16) -> bool {
        self.on.iter().any(|number| self.plan.faults[*number].what == What::Pause { steward })
    }

    fn flap(&mut self, number: usize, until: f64) -> Result<(), String> {
        let What::Flap { steward } = self.plan.faults[number].what else { return Ok(()) };
        if self.at() >= until {
            return Ok(());
        }
        if self.current.contains_key(&steward) {
            self.end(steward, Process::kill);
        } else {
            self.start(steward, None)?;
        }
        let next = self.at() + FLAP;
        self.agenda.put(next, Due::Flap { number, until });
        Ok(())
    }

    /// Stops and goes on in short turns, so that the process gets a share of its time.
    fn starve(&mut self, number: usize, steward: u16, share: f64) {
        let Some(running) = self.current(steward) else { return };
        let (process, ends) = (running.process.clone(), Arc::new(AtomicBool::new(false)));
        self.starving.insert(number, ends.clone());
        std::thread::spawn(move || {
            while !ends.load(Ordering::Acquire) {
                process.stop();
                std::thread::sleep(seconds(ROUND * (1.0 - share)));
                process.go_on();
                std::thread::sleep(seconds(ROUND * share));
            }
            process.go_on();
        });
    }

    fn replay(&self) {
        let kept = self.heard.lock().expect("no holder panics").kept.clone();
        for (from, to, bytes) in kept {
            self.links.inject(&from, &to, &bytes);
            std::thread::sleep(seconds(REPLAY_GAP));
        }
    }

    /// Datagrams that were heard before, spoilt at one place; of another installation; too long; of chance alone.
    fn flood(&self, steward: u16, count: u32) {
        let mut chance = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let kept = self.heard.lock().expect("no holder panics").kept.clone();
        let to = self.ends[&steward].0.clone();
        let Some(from) = self.ends.values().map(|end| end.0.clone()).find(|end| *end != to) else { return };
        for number in 0..count {
            let mut bytes = match kept.get(chance.random_range(0..kept.len().max(1))) {
                Some((_, _, bytes)) => bytes.clone(),
                None => vec![0; 40],
            };
            let place = chance.random_range(0..bytes.len());
            match number % 4 {
                0 => bytes[place] ^= 1 << chance.random_range(0..8u32),
                1 => bytes.truncate(place),
                2 => bytes.resize(2000, 7),
                _ => bytes.iter_mut().for_each(|byte| *byte = chance.random()),
            }
            self.links.inject(&from, &to, &bytes);
            if number % FLOOD_PIECE == 0 {
                std::thread::sleep(seconds(FLOOD_GAP));
            }
        }
    }

    fn finish(self) -> Result<Played, String> {
        self.starving.values().for_each(|ends| ends.store(true, Ordering::Release));
        self.link_controller.finish();
        let at = self.at();
        self.nodes.iter().for_each(|(node, running)| self.see_cost(*node, &running.process));
        self.nodes.values().for_each(|running| running.process.kill());
        let mut events = std::mem::take(&mut *self.events.lock().expect("no holder panics"));
        let heard = self.heard.lock().expect("no holder panics");
        events.push(Seen::News { at, seconds: heard.news.clone() });
        let (datagrams, bytes, longest) = (heard.datagrams, heard.bytes, heard.longest);
        let lost = self.plan.chaos.lost;
        events.push(Seen::Sent { at, datagrams, bytes, longest, lost });
        events.sort_by(|a, b| a.at().total_cmp(&b.at()));
        let mut record = file(&self.plan.folder.join("seen.jsonl"))?;
        for event in &events {
            let written = serde_json::to_writer(&mut record, event).map_err(|e| e.to_string());
            written.and_then(|()| record.write_all(b"\n").map_err(|e| e.to_string()))?;
        }
        Ok(Played { events })
    }
}

fn without(safeguard: Option<Safeguard>) -> &'static str {
    match safeguard {
        None => "",
        Some(Safeguard::Refutation) => "without = refutation\n",
        Some(Safeguard::DeadProbing) => "without = asking the dead\n",
        Some(Safeguard::ProcessOrder) => "without = process\n",
        Some(Safeguard::AntiEntropy) => "without = anti-entropy\n",
        Some(Safeguard::GossipLimit) => "without = rumour bound\n",
        Some(Safeguard::LocalHealth) => "without = own trouble\n",
        Some(Safeguard::Extensions) => "without = additions\n",
        Some(Safeguard::LeaseExpiry) => "without = lease end\n",
    }
}

/// Reads what crosses between stewards.
fn tap(
    installation: String,
    began: f64,
    heard: Arc<Mutex<Heard>>,
    events: Events,
) -> Box<dyn Fn(&Crossing) + Send + Sync> {
    Box::new(move |crossing| {
        let Ok(Packet::Message(message)) = decode(&installation, crossing.bytes) else { return };
        let mut heard = heard.lock().expect("no holder panics");
        heard.datagrams += 1;
        heard.bytes += crossing.bytes.len() as u64;
        heard.longest = heard.longest.max(crossing.bytes.len());
        if heard.kept.len() < KEPT_MOST {
            let (from, to) = (crossing.from.to_owned(), crossing.to.to_owned());
            heard.kept.push((from, to, crossing.bytes.to_vec()));
        }
        let at = crossing.at - began;
        for word in &message.gossip {
            let receiver = crossing.to.split(' ').next().and_then(|id| id.parse().ok());
            if receiver != Some(word.id.0) {
                heard.news.insert(at.max(0.0) as u32);
            }
            let incarnation = (word.id.0, word.incarnation.process, word.incarnation.count);
            if word.status == Status::Dead && heard.told_dead.insert(incarnation) {
                let (by, (about, process, count)) = (message.sender.id.0, incarnation);
                let seen = Seen::Dead { at, by, about, process, count };
                events.lock().expect("no holder panics").push(seen);
            }
        }
    })
}

/// A folder of its own for a run that is not kept.
pub fn scratch(seed: u64) -> PathBuf {
    std::env::temp_dir().join(format!("railhub-bed-{}-{seed}", std::process::id()))
}
