//! The troubles of a day: each one small, named thing; several can overlap.
use crate::draw;
use crate::script::Day;
use crate::world::World;
use railhub_emulator::host::HostFaults;
use railhub_emulator::zone_links::DegradedLink;
use railhub_ini::{Diagnostic, Section};
use railhub_net::{now, seconds};
use rand::seq::SliceRandom;
use std::sync::Arc;

/// Seconds between looks while a trouble that comes and goes is on.
const PULSE: f64 = 0.02;

#[derive(Clone, Debug, PartialEq)]
pub enum Ghost {
    Refuse,
    Error,
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShiftHow {
    Zone(u32),
    Mix,
}

/// Which way of a link is cut, as the steward sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CutWay {
    Both,
    In,
    Out,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GiveUpHow {
    Leave,
    Short,
}

/// What happens. Shares are of 1, times are factors.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Crash {
        hosts: usize,
    },
    Deploy {
        hosts: usize,
        batch: usize,
        drain: f64,
    },
    Hang {
        hosts: usize,
    },
    Slow {
        hosts: usize,
        times: f64,
    },
    Pauses {
        hosts: usize,
        pause: f64,
        every: f64,
    },
    Neighbour {
        hosts: usize,
        takes: f64,
        every: f64,
    },
    AnswersLost {
        hosts: usize,
        share: f64,
    },
    HotKey {
        share: f64,
        keys: usize,
    },
    Heavy {
        share: f64,
        times: f64,
    },
    GiveUp {
        share: f64,
        patience: f64,
        how: GiveUpHow,
    },
    Shift {
        share: f64,
        how: ShiftHow,
    },
    Growth {
        times: f64,
        follows: f64,
    },
    LateSums {
        by: f64,
    },
    ListShrinks {
        hosts: usize,
    },
    Ghosts {
        hosts: usize,
        kinds: Vec<Ghost>,
    },
    ListBreaks,
    StoreAway,
    LostZone {
        zone: u32,
        silent: bool,
    },
    BrokenStreams {
        share: f64,
    },
    SlowChannel {
        times: f64,
    },
    StewardKilled {
        steward: usize,
    },
    /// Its process stands still, and goes on as if nothing had been.
    StewardPaused {
        steward: usize,
    },
    /// Nothing passes between it and those named, in one way or both.
    StewardCut {
        steward: usize,
        from: Vec<String>,
        way: CutWay,
    },
    /// Nothing passes from one steward to another.
    StewardWay {
        from: usize,
        to: usize,
    },
    /// It is told to hand its slices over.
    StewardDrained {
        steward: usize,
    },
    /// What it says to proxies takes so many seconds more.
    SlowOrders {
        steward: usize,
        by: f64,
    },
    /// Stewards on one side and the rest do not reach each other.
    StewardsSplit {
        side: Vec<usize>,
    },
    /// What stewards say to each other is lost in part or comes late.
    StewardLinks {
        lost: f64,
        delay: f64,
    },
    StoreSlow {
        by: f64,
    },
    StoreLosesAnswers,
    /// It starts again from a copy that is so many seconds old.
    StoreForgets {
        by: f64,
    },
    SlowLink {
        zone: u32,
        other: Option<u32>,
        delay: f64,
        lost: f64,
    },
    RefusedVersion {
        share: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub name: String,
    pub kind: String,
    pub at: f64,
    pub long: f64,
    pub act: Act,
}

pub fn read(section: &Section, day: &Day) -> Result<Trouble, Diagnostic> {
    let kind: String = section.required("kind")?;
    let hosts = || -> Result<usize, Diagnostic> {
        let part = section.in_range("part", 0.0, 0.0, 1.0)?;
        let least = usize::from(part > 0.0);
        let counted = ((part * day.hosts as f64).round() as usize).max(least);
        let hosts = section.value_or("hosts", counted)?;
        if hosts > 0 {
            Ok(hosts)
        } else {
            Err(section.diagnostic("hosts", "is missing: hosts = 2, or part = 0.1"))
        }
    };
    let share = || section.required_in_range("share", 0.0, 1.0);
    let times = || section.required_in_range("times", 1.0, 1000.0);
    let zone = |key: &str| -> Result<Option<u32>, Diagnostic> {
        let Some(name) = section.text(key) else { return Ok(None) };
        let place = day.zones.iter().position(|zone| zone == name);
        place.map(|n| Some(n as u32)).ok_or_else(|| section.diagnostic(key, format!("'{name}' is no zone")))
    };
    let need_zone = || zone("zone")?.ok_or_else(|| section.diagnostic("zone", "is missing"));
    let steward = || {
        Ok::<usize, Diagnostic>(section.in_range("steward", 0.0, 0.0, day.stewards as f64 - 1.0)? as usize)
    };
    let one_of = |key: &str| {
        let most = day.stewards as f64 - 1.0;
        section.required_in_range(key, 0.0, most).map(|id| id as usize)
    };
    let act = match kind.as_str() {
        "crash" => Act::Crash { hosts: hosts()? },
        "deploy" => Act::Deploy {
            hosts: hosts()?,
            batch: section.in_range("batch", 1.0, 1.0, 1000.0)? as usize,
            drain: section.in_range("drain", 4.0, 0.0, 600.0)?,
        },
        "hang" => Act::Hang { hosts: hosts()? },
        "slow" => Act::Slow { hosts: hosts()?, times: times()? },
        "pauses" => Act::Pauses {
            hosts: hosts()?,
            pause: section.required_in_range("pause", 0.0, 60.0)?,
            every: section.required_in_range("every", 0.01, 600.0)?,
        },
        "neighbour" => Act::Neighbour {
            hosts: hosts()?,
            takes: section.required_in_range("takes", 0.0, 0.95)?,
            every: section.required_in_range("every", 0.01, 600.0)?,
        },
        "answers_lost" => Act::AnswersLost { hosts: hosts()?, share: share()? },
        "hot_key" => {
            Act::HotKey { share: share()?, keys: section.in_range("keys", 1.0, 1.0, 100.0)? as usize }
        }
        "heavy" => Act::Heavy { share: share()?, times: times()? },
        "give_up" => Act::GiveUp {
            share: share()?,
            patience: section.required_in_range("patience", 0.01, 10.0)?,
            how: section.choice(
                "how",
                "short",
                &[("leave", GiveUpHow::Leave), ("short", GiveUpHow::Short)],
            )?,
        },
        "shift" => Act::Shift {
            share: share()?,
            how: match zone("zone")? {
                Some(zone) => ShiftHow::Zone(zone),
                None => ShiftHow::Mix,
            },
        },
        "growth" => Act::Growth { times: times()?, follows: section.in_range("follows", 1.0, 0.0, 2.0)? },
        "late_sums" => Act::LateSums { by: section.required_in_range("by", 0.0, 600.0)? },
        "list_shrinks" => Act::ListShrinks { hosts: hosts()? },
        "ghosts" => Act::Ghosts { hosts: hosts()?, kinds: ghosts(section)? },
        "list_breaks" => Act::ListBreaks,
        "store_away" => Act::StoreAway,
        "lost_zone" => Act::LostZone { zone: need_zone()?, silent: section.flag("silent", false)? },
        "broken_streams" => Act::BrokenStreams { share: share()? },
        "slow_channel" => Act::SlowChannel { times: times()? },
        "steward_killed" => Act::StewardKilled { steward: steward()? },
        "steward_paused" => Act::StewardPaused { steward: steward()? },
        "steward_cut" => Act::StewardCut {
            steward: steward()?,
            from: from_whom(section)?,
            way: section.choice(
                "way",
                "both",
                &[("both", CutWay::Both), ("in", CutWay::In), ("out", CutWay::Out)],
            )?,
        },
        "steward_way" => Act::StewardWay { from: one_of("from")?, to: one_of("to")? },
        "steward_drained" => Act::StewardDrained { steward: steward()? },
        "slow_orders" => {
            Act::SlowOrders { steward: steward()?, by: section.required_in_range("by", 0.0, 10.0)? }
        }
        "stewards_split" => Act::StewardsSplit { side: side(section, day)? },
        "steward_links" => Act::StewardLinks {
            lost: section.in_range("lost", 0.0, 0.0, 1.0)?,
            delay: section.in_range("delay", 0.0, 0.0, 10.0)?,
        },
        "store_slow" => Act::StoreSlow { by: section.required_in_range("by", 0.0, 60.0)? },
        "store_loses_answers" => Act::StoreLosesAnswers,
        "store_forgets" => Act::StoreForgets { by: section.in_range("by", 0.0, 0.0, 60.0)? },
        "slow_link" => Act::SlowLink {
            zone: need_zone()?,
            other: zone("other")?,
            delay: section.required_in_range("delay", 0.0, 60.0)?,
            lost: section.in_range("lost", 0.0, 0.0, 1.0)?,
        },
        "refused_version" => Act::RefusedVersion { share: share()? },
        other => return Err(section.diagnostic("kind", format!("'{other}' is not known"))),
    };
    let trouble = Trouble {
        name: section.name["trouble ".len()..].trim().to_owned(),
        kind,
        at: section.required_in_range("at", 0.0, day.length)?,
        long: section.in_range("for", 0.0, 0.0, 3600.0)?,
        act,
    };
    section.reject_unread_keys()?;
    Ok(trouble)
}

/// Whom a steward is cut off from: `from = stewards, store, list, proxies`.
fn from_whom(section: &Section) -> Result<Vec<String>, Diagnostic> {
    let names = section.list("from");
    let known = |name: &String| ["stewards", "store", "list", "proxies"].contains(&name.as_str());
    if names.is_empty() || !names.iter().all(known) {
        return Err(section.diagnostic("from", "names some of stewards, store, list, proxies"));
    }
    Ok(names)
}

fn side(section: &Section, day: &Day) -> Result<Vec<usize>, Diagnostic> {
    let side =
        section.list("side").into_iter().map(|id| id.parse::<usize>().ok().filter(|id| *id < day.stewards));
    side.collect::<Option<Vec<usize>>>()
        .filter(|side| !side.is_empty())
        .ok_or_else(|| section.diagnostic("side", "names stewards, as in 0, 1"))
}

fn ghosts(section: &Section) -> Result<Vec<Ghost>, Diagnostic> {
    let names = match section.list("how") {
        names if names.is_empty() => vec!["refuse".to_owned()],
        names => names,
    };
    let all = [("refuse", Ghost::Refuse), ("error", Ghost::Error), ("silent", Ghost::Silent)];
    names.iter().map(|name| section.parse_choice("how", name, &all)).collect()
}

/// Plays one trouble to its end; waits in its own coroutine.
pub fn happen(trouble: &Trouble, number: usize, world: &Arc<World>) {
    may::coroutine::sleep(seconds(world.began + trouble.at - now()));
    let slower = match trouble.act {
        Act::SlowChannel { times } => times,
        // Nobody can be told sooner: the shortest of the rules' times grows by the delay, the others more.
        Act::SlowOrders { by, .. } => 1.0 + by / world.day.limits.grace.min(world.day.limits.max_unserved),
        _ => 0.0,
    };
    world.note_trouble(trouble, true, slower);
    act_out(trouble, number, world);
    let until = world.began + trouble.at + trouble.long;
    may::coroutine::sleep(seconds(until - now()));
    world.note_trouble(trouble, false, if slower > 0.0 { 1.0 } else { 0.0 });
}

fn act_out(trouble: &Trouble, number: usize, world: &Arc<World>) {
    let until = world.began + trouble.at + trouble.long;
    let wait = || may::coroutine::sleep(seconds(until - now()));
    let chosen = |count: usize| world.choose(count, number);
    let ail = |count: usize, on: &dyn Fn(&mut HostFaults), off: &dyn Fn(&mut HostFaults)| {
        let hosts = chosen(count);
        hosts.iter().for_each(|host| world.host(*host).change_faults(on));
        wait();
        hosts.iter().for_each(|host| world.host(*host).change_faults(off));
        world.release(&hosts);
    };
    match &trouble.act {
        Act::Crash { hosts } => {
            let hosts = chosen(*hosts);
            hosts.iter().for_each(|host| world.crash(*host));
            wait();
            hosts.iter().for_each(|host| world.start_again(*host));
            world.release(&hosts);
        }
        Act::Deploy { hosts, batch, drain } => deploy(trouble, number, world, *hosts, *batch, *drain),
        Act::Hang { hosts } => ail(*hosts, &|a| a.hangs = true, &|a| a.hangs = false),
        Act::Slow { hosts, times } => ail(*hosts, &|a| a.slowdown *= times, &|a| a.slowdown /= times),
        Act::AnswersLost { hosts, share } => {
            ail(*hosts, &|a| a.response_loss = *share, &|a| a.response_loss = 0.0);
        }
        Act::Pauses { hosts, pause, every } => {
            let hosts = chosen(*hosts);
            while now() < until {
                hosts
                    .iter()
                    .for_each(|host| world.host(*host).change_faults(|a| a.paused_until = now() + pause));
                may::coroutine::sleep(seconds(pause + every));
            }
        }
        Act::Neighbour { hosts, takes, every } => {
            let (hosts, times) = (chosen(*hosts), 1.0 / (1.0 - takes));
            while now() < until {
                hosts.iter().for_each(|host| world.host(*host).change_faults(|a| a.slowdown *= times));
                may::coroutine::sleep(seconds(every.min(until - now()).max(PULSE)));
                hosts.iter().for_each(|host| world.host(*host).change_faults(|a| a.slowdown /= times));
                may::coroutine::sleep(seconds(*every));
            }
        }
        // These are in the operations as they were drawn.
        Act::HotKey { .. } | Act::Heavy { .. } | Act::GiveUp { .. } | Act::Shift { .. } => {}
        Act::Growth { times, .. } => {
            let more = ((times - 1.0) * world.day.hosts as f64).round() as usize;
            for _ in 0..more {
                world.add_host();
                may::coroutine::sleep(seconds(trouble.long / more as f64));
            }
        }
        Act::LateSums { by } => {
            world.set_sums_later(*by);
            wait();
            world.set_sums_later(-by);
        }
        Act::ListShrinks { hosts } => {
            let entries = chosen(*hosts).into_iter().map(|host| world.entry(host, "gone"));
            world.roster.set_override(number as u64, Some(entries.collect()));
            wait();
            world.roster.set_override(number as u64, None);
        }
        Act::Ghosts { hosts, kinds } => {
            let ghosts = (0..*hosts).filter_map(|n| world.add_ghost(&kinds[n % kinds.len()]));
            let entries = ghosts.collect::<Vec<_>>().into_iter().map(|host| world.entry(host, "ready"));
            world.roster.set_override(number as u64, Some(entries.collect()));
            wait();
            world.roster.set_override(number as u64, None);
        }
        Act::ListBreaks => {
            world.roster.set_unavailable(true);
            wait();
            world.roster.set_unavailable(false);
        }
        Act::StoreAway => {
            world.store.set_unavailable(true);
            wait();
            world.store.set_unavailable(false);
        }
        Act::LostZone { zone, silent } => {
            let hosts = world.in_zone(*zone);
            let each = |act: &dyn Fn(usize)| hosts.iter().for_each(|host| act(*host));
            if *silent {
                each(&|host| world.host(host).change_faults(|a| a.hangs = true));
                wait();
                each(&|host| world.host(host).change_faults(|a| a.hangs = false));
            } else {
                each(&|host| world.crash(host));
                wait();
                each(&|host| world.start_again(host));
            }
        }
        Act::BrokenStreams { share } => world.some_proxies(*share, number, |proxy| proxy.break_streams()),
        Act::RefusedVersion { share } => {
            world.some_proxies(*share, number, |proxy| proxy.reject_next_delta())
        }
        Act::SlowChannel { times } => {
            world.around.channel.slow_down(*times);
            wait();
            world.around.channel.slow_down(1.0 / times);
        }
        Act::StewardKilled { steward } => {
            world.kill_steward(*steward);
            wait();
            world.start_steward(*steward);
        }
        Act::StewardPaused { steward } => {
            world.pause_steward(*steward, true);
            wait();
            world.pause_steward(*steward, false);
        }
        Act::StewardDrained { steward } => world.drain_steward(*steward),
        Act::StewardCut { .. }
        | Act::StewardWay { .. }
        | Act::SlowOrders { .. }
        | Act::StewardsSplit { .. }
        | Act::StewardLinks { .. } => {
            world.strike_links(number, Some(&trouble.act));
            wait();
            world.strike_links(number, None);
        }
        Act::StoreSlow { by } => {
            world.store.set_response_delay(*by);
            wait();
            world.store.set_response_delay(0.0);
        }
        Act::StoreLosesAnswers => {
            world.store.lose_responses(true);
            wait();
            world.store.lose_responses(false);
        }
        Act::StoreForgets { by } => world.store.restart(*by),
        Act::SlowLink { zone, other, delay, lost } => {
            let link = DegradedLink { zone: *zone, other: *other, delay: *delay, loss: *lost };
            world.around.links.degrade(number, link);
            wait();
            world.around.links.restore(number);
        }
    }
}

/// Batch after batch drains while its successors start cold.
fn deploy(trouble: &Trouble, number: usize, world: &Arc<World>, hosts: usize, batch: usize, drain: f64) {
    let leaving = world.choose(hosts, number);
    let batches = leaving.len().div_ceil(batch).max(1);
    for part in leaving.chunks(batch) {
        for host in part {
            world.drain(*host);
            world.add_host();
        }
        let (ending, part) = (world.clone(), part.to_vec());
        railhub_net::spawn(move || {
            may::coroutine::sleep(seconds(drain));
            part.iter().for_each(|host| ending.stop_drained(*host));
        });
        may::coroutine::sleep(seconds(trouble.long / batches as f64));
    }
}

/// The same choice for the same day and trouble, whoever plays it.
pub fn choose(day: &Day, number: usize, from: &[usize], count: usize) -> Vec<usize> {
    let mut chance = draw::chance(day.seed, &format!("trouble {number}"));
    let mut order = from.to_vec();
    order.shuffle(&mut chance);
    order.truncate(count);
    order
}
