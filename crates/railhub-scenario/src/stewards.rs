//! The stewards of a day as processes, and the links between them, the list, the store and the proxies, which troubles
//! break. A steward is given the links' addresses; nothing in it knows of them.
use crate::play::{Launch, Launched};
use crate::script::Day;
use crate::troubles::{Act, CutWay};
use crate::world::steward_file;
use railhub_emulator::endpoint_list::EndpointList;
use railhub_fault_links::tcp::TcpLink;
use railhub_fault_links::udp::UdpLinks;
use railhub_fault_links::{Faults, LinkController};
use railhub_membership::packet::{encode, Packet};
use railhub_membership::NodeId;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

/// Names of the ends that are no stewards.
const PROXIES: &str = "proxies";
const LIST: &str = "list";
const STORE: &str = "store";

/// What is wrong with a steward's clock of leases, for tests: a real one cannot be set by an ordinary user.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestClock {
    pub speed: f64,
    /// Seconds after the steward's first start, and seconds it jumps by.
    pub jumps_after: f64,
    pub jumps_by: f64,
}

impl Default for TestClock {
    fn default() -> TestClock {
        TestClock { speed: 1.0, jumps_after: 0.0, jumps_by: 0.0 }
    }
}

impl TestClock {
    fn keys(&self) -> String {
        format!(
            "clock_speed = {}\nclock_jumps_after = {}\nclock_jumps_by = {}\n",
            self.speed, self.jumps_after, self.jumps_by
        )
    }
}

/// The links of one steward: to it from the proxies, from it to list and store.
struct Ways {
    door: TcpLink,
    list: TcpLink,
    store: TcpLink,
    /// Where the other stewards reach it.
    public: SocketAddr,
}

struct Net {
    link_controller: Arc<LinkController>,
    udp: UdpLinks,
    ways: Vec<Ways>,
    /// Troubles that are on, by number.
    on: Mutex<BTreeMap<usize, Act>>,
}

/// All stewards of a day. One alone has no links.
pub struct Stewards {
    net: Option<Net>,
    running: Mutex<Vec<Option<Launched>>>,
}

fn installation(day: &Day) -> String {
    format!("day-{}", day.seed)
}

fn name(steward: usize) -> String {
    steward.to_string()
}

impl Stewards {
    /// # Errors
    /// No port for a link.
    pub fn open(day: &Day, list: &EndpointList, store: SocketAddr) -> io::Result<Stewards> {
        let net = (day.stewards > 1).then(|| Net::open(day, list, store)).transpose()?;
        Ok(Stewards { net, running: Mutex::new((0..day.stewards).map(|_| None).collect()) })
    }

    pub fn count(&self) -> usize {
        self.running.lock().expect("no holder panics").len()
    }

    /// Starts a steward and says where proxies reach it. Waits for it.
    pub fn launch(
        &self,
        day: &Day,
        launch: &Launch,
        steward: usize,
        list: SocketAddr,
        store: SocketAddr,
    ) -> Result<SocketAddr, String> {
        let Some(net) = &self.net else {
            let launched = launch(&steward_file(day, list, store))?;
            let address = launched.address;
            self.running.lock().expect("no holder panics")[steward] = Some(launched);
            return Ok(address);
        };
        let ways = &net.ways[steward];
        let text = steward_file(day, ways.list.address, ways.store.address) + &net.section(day, steward);
        let launched = launch(&text)?;
        ways.door.set_target(Some(launched.address));
        net.udp.set_real_address(&name(steward), launched.fleet);
        self.running.lock().expect("no holder panics")[steward] = Some(launched);
        Ok(ways.door.address)
    }

    /// Ends one outright; whether there was one.
    pub fn kill(&self, steward: usize) -> bool {
        let launched = self.running.lock().expect("no holder panics")[steward].take();
        if let Some(net) = &self.net {
            net.ways[steward].door.set_target(None);
            net.udp.set_real_address(&name(steward), None);
        }
        launched.map(|launched| (launched.kill)()).is_some()
    }

    /// Tells one to hand its slices over.
    pub fn drain(&self, day: &Day, steward: usize) {
        let running = self.running.lock().expect("no holder panics");
        let told = running[steward].as_ref().and_then(|launched| Some((launched.fleet?, launched.process?)));
        drop(running);
        let Some((address, process)) = told else { return };
        let word = Packet::Drain { node: NodeId(steward as u16), process };
        let bytes = encode(&installation(day), &word);
        let _ = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|socket| socket.send_to(&bytes, address));
    }

    /// Whether a process of it is there.
    pub fn is_running(&self, steward: usize) -> bool {
        self.running.lock().expect("no holder panics")[steward].is_some()
    }

    /// Stops a process, or lets it go on.
    pub fn pause(&self, steward: usize, stops: bool) {
        let running = self.running.lock().expect("no holder panics");
        let pause = running[steward].as_ref().and_then(|launched| launched.pause.clone());
        drop(running);
        pause.iter().for_each(|pause| pause(stops));
    }

    /// A trouble of the links begins (`act`) or is over.
    pub fn strike(&self, number: usize, act: Option<&Act>) {
        let Some(net) = &self.net else { return };
        let mut on = net.on.lock().expect("no holder panics");
        match act {
            Some(act) => _ = on.insert(number, act.clone()),
            None => _ = on.remove(&number),
        }
        net.set_all(&on);
    }
}

impl Net {
    fn open(day: &Day, list: &EndpointList, store: SocketAddr) -> io::Result<Net> {
        let link_controller = Arc::new(LinkController::new(day.seed, None));
        let udp = UdpLinks::open(link_controller.clone(), Box::new(|_| {}));
        let ways = (0..day.stewards).map(|steward| {
            let own = name(steward);
            Ok(Ways {
                door: TcpLink::open(link_controller.clone(), PROXIES, &own, None)?,
                list: TcpLink::open(
                    link_controller.clone(),
                    &own,
                    LIST,
                    Some(list.listen_for(steward as u32)?),
                )?,
                store: TcpLink::open(link_controller.clone(), &own, STORE, Some(store))?,
                public: udp.add(&own)?,
            })
        });
        let ways = ways.collect::<io::Result<Vec<Ways>>>()?;
        Ok(Net { link_controller, udp, ways, on: Mutex::default() })
    }

    /// The section that makes it one of a fleet.
    fn section(&self, day: &Day, steward: usize) -> String {
        let join: Vec<String> = self.ways.iter().map(|ways| ways.public.to_string()).collect();
        let without = day.stewards_without.map_or(String::new(), |what| format!("without = {what}\n"));
        let clock = day.clocks.get(steward).map_or(String::new(), TestClock::keys);
        format!(
            "\n[fleet]\nid = {steward}\ninstallation = {}\nadvertise = {}\njoin = {}\nshare = yes\n\
             lease = {}\n{without}{clock}",
            installation(day),
            self.ways[steward].public,
            join.join(", "),
            day.lease,
        )
    }

    /// Each way as all troubles that are on make it.
    fn set_all(&self, on: &BTreeMap<usize, Act>) {
        let count = self.ways.len();
        let others = [PROXIES, LIST, STORE].map(str::to_owned);
        let ends: Vec<String> = (0..count).map(name).chain(others).collect();
        for (a, from) in ends.iter().enumerate() {
            for (b, to) in ends.iter().enumerate().filter(|(b, _)| *b != a && a.min(*b) < count) {
                let faults = faults(on, a, b, count);
                if self.link_controller.faults(from, to) != faults {
                    self.link_controller.set(from, to, faults);
                }
            }
        }
    }
}

/// What troubles make of the way from one end to another; ends from `count` on are proxies, list and store.
fn faults(on: &BTreeMap<usize, Act>, from: usize, to: usize, count: usize) -> Faults {
    let kind = |end: usize| match end.checked_sub(count) {
        None => "stewards",
        Some(0) => PROXIES,
        Some(1) => LIST,
        Some(_) => STORE,
    };
    let mut all = Faults::default();
    for act in on.values() {
        match act {
            Act::StewardCut { steward, from: whom, way } => {
                let out = from == *steward && whom.iter().any(|name| name == kind(to)) && *way != CutWay::In;
                let back =
                    to == *steward && whom.iter().any(|name| name == kind(from)) && *way != CutWay::Out;
                all.cut |= out || back;
            }
            Act::StewardWay { from: a, to: b } => all.cut |= (from, to) == (*a, *b),
            Act::SlowOrders { steward, by } if from == *steward && kind(to) == PROXIES => {
                all.delay = all.delay.max(*by);
            }
            Act::StewardsSplit { side } if from.max(to) < count => {
                all.cut |= side.contains(&from) != side.contains(&to);
            }
            Act::StewardLinks { lost, delay } if from.max(to) < count => {
                (all.lost, all.delay) = (all.lost.max(*lost), all.delay.max(*delay));
            }
            _ => {}
        }
    }
    all
}
