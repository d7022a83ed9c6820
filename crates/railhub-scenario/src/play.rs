//! Plays a day: operations come as they were drawn, troubles happen, and the end is waited for.
use crate::draw::{self, Arrival};
use crate::script::Day;
use crate::troubles;
use crate::world::World;
use may::sync::WaitGroup;
use railhub_emulator::client;
use railhub_emulator::Sabotage;
use railhub_net::{now, seconds, spawn};
use railhub_record::{Event, Recorder};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Seconds the fleet runs on after the last operation has ended.
const RUN_ON: f64 = 1.0;
/// Seconds a day may begin late: less than any operation of a script waits.
const LATEST_START: f64 = 0.05;

/// A steward that was launched from its settings.
pub struct Launched {
    pub address: SocketAddr,
    /// Where other stewards reach it, if it is one of several.
    pub fleet: Option<SocketAddr>,
    /// The number of its process in the fleet.
    pub process: Option<u64>,
    /// Stops its process, or lets it go on; where that can be done.
    pub pause: Option<Arc<dyn Fn(bool) + Send + Sync>>,
    /// Ends it outright.
    pub kill: Box<dyn FnOnce() + Send>,
}

/// Starts a steward from the text of its settings and says where it listens.
pub type Launch = Arc<dyn Fn(&str) -> Result<Launched, String> + Send + Sync>;

pub struct Played {
    /// In the order of their times; empty if they went into a file.
    pub events: Vec<Event>,
}

/// Plays a day in a world of its own; waits for its end. Without `launch` the tables stay as they were at the
/// start. `progress` is told the seconds played.
pub fn play(
    day: &Day,
    launch: Option<Launch>,
    sabotage: Option<Sabotage>,
    record: Option<&Path>,
    progress: &(dyn Fn(f64) + Sync),
) -> Result<Played, String> {
    // Drawn before the day's clock is set: drawing takes long, and what it holds up would come all at once.
    let arrivals = draw::arrivals(day, draw::capacity(&draw::hosts(day, day.hosts, "hosts")));
    let recorder = Recorder::start(record).map_err(|e| e.to_string())?;
    let world = World::open(day, &recorder, launch, sabotage).map_err(|e| format!("the fleet: {e}"))?;
    for steward in 0..day.stewards {
        world.launch_steward(steward)?;
    }
    world.follow_stewards();
    std::thread::sleep(seconds(world.began - now()));
    world.note_limits();
    let late = now() - world.began;
    if late > LATEST_START {
        world.close();
        return Err(format!("the day would begin {late:.2} s late, and its first operations all at once"));
    }
    let ended = Arc::new(AtomicBool::new(false));
    let (coming, done) = (world.clone(), ended.clone());
    spawn(move || {
        let waited = WaitGroup::new();
        for (number, trouble) in coming.day.troubles.clone().into_iter().enumerate() {
            let (world, waits) = (coming.clone(), waited.clone());
            spawn(move || {
                troubles::happen(&trouble, number, &world);
                drop(waits);
            });
        }
        for arrival in arrivals {
            let (world, waits) = (coming.clone(), waited.clone());
            may::coroutine::sleep(seconds(world.began + arrival.at - now()));
            spawn(move || {
                come(&world, &arrival);
                drop(waits);
            });
        }
        waited.wait();
        may::coroutine::sleep(seconds(RUN_ON));
        done.store(true, Ordering::Release);
    });
    while !ended.load(Ordering::Acquire) {
        progress(now() - world.began);
        std::thread::sleep(seconds(0.1));
    }
    world.close();
    let events = recorder.finish().map_err(|e| e.to_string())?;
    Ok(Played { events })
}

fn come(world: &World, arrival: &Arrival) {
    let class = &world.around.classes[arrival.drawn.class as usize];
    let proxy = &world.proxies[arrival.proxy];
    client::run(arrival.drawn, world.day.clients, class, proxy, &world.around.recorder);
}
