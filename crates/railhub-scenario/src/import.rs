//! Makes a script of a day that was drawn for the users' bench: fewer hosts, the same kinds of trouble in the
//! same order at the same times. What cannot be carried over is said.
use serde::Deserialize;
use std::fmt::Write;
use std::path::Path;

/// Hosts at the start unless the caller says otherwise: what one machine plays with ease.
const HOSTS: usize = 24;
/// Microseconds in a second, as day files count.
const MICROS: f64 = 1e6;

#[derive(Deserialize)]
struct Drawn {
    site: String,
    kind: String,
    length: f64,
    noise: u64,
    zones: Vec<String>,
    traffic: Traffic,
    clients: Clients,
    discovery: Discovery,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    #[serde(default)]
    only_draining_binds: bool,
    classes: Vec<Class>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<serde_json::Value>,
    troubles: Vec<Trouble>,
    fam: Family,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
    shape: Vec<(f64, f64)>,
    zone_share: Vec<f64>,
    keys: f64,
    #[serde(default)]
    burst_cv: f64,
}

#[derive(Deserialize)]
struct Clients {
    retries: u32,
    try_share: f64,
    backoff_us: f64,
    #[serde(default)]
    impatient: f64,
}

#[derive(Deserialize)]
struct Discovery {
    ask: bool,
    notice: f64,
    add: f64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    work: f64,
    cv: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    effect: String,
    group: String,
    window: f64,
    #[serde(default)]
    write: bool,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Kind>,
    report_fields: Vec<String>,
    report_period: f64,
    probe_work: f64,
    conn_cap_per_core: f64,
    connect_timeout: f64,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Deserialize)]
struct Kind {
    name: String,
    cores: f64,
    slots: f64,
    queue: f64,
    cold_from: f64,
    cold: f64,
    #[serde(default)]
    thrash: f64,
    #[serde(default)]
    error_rate: f64,
}

#[derive(Deserialize)]
struct Server {
    zone: usize,
    kind: usize,
    speed: f64,
    up: bool,
}

#[derive(Deserialize)]
struct Trouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: u64,
    #[serde(default)]
    steps: Vec<Step>,
    #[serde(default)]
    how: String,
}

#[derive(Deserialize)]
struct Step {
    stop: Vec<usize>,
}

#[derive(Deserialize)]
struct Family {
    pick: String,
    backlog: f64,
    rate: f64,
    head: f64,
    bare: f64,
    hold: f64,
    messages_most: f64,
    try_aims: f64,
    intake: f64,
    heard_late: f64,
    period: f64,
    redial: f64,
    slices: f64,
    #[serde(default)]
    slice_cv: f64,
    #[serde(default)]
    affinity_gain: f64,
    #[serde(default)]
    affinity_s: f64,
    #[serde(default)]
    exclusive: bool,
    #[serde(default)]
    tide: f64,
    controllers: Vec<serde_json::Value>,
}

/// Reads one file, writes the other, and says what was not carried over.
pub fn import(from: &Path, to: &Path, hosts: Option<usize>) -> Result<Vec<String>, String> {
    let name = from.display();
    let text = std::fs::read_to_string(from).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    let (script, lost) = translate(&text, hosts).map_err(|e| format!("{name}:{e}"))?;
    let document =
        railhub_ini::Document::parse(&to.display().to_string(), &script).map_err(|e| e.to_string())?;
    crate::Scenario::read(&document).map_err(|e| format!("the script made of {name} is wrong: {e}"))?;
    std::fs::write(to, script).map_err(|e| format!("{}: cannot be written: {e}", to.display()))?;
    Ok(lost)
}

/// The script of a drawn day, and what is missing in it.
pub fn translate(text: &str, hosts: Option<usize>) -> Result<(String, Vec<String>), String> {
    let drawn: Drawn = serde_json::from_str(text).map_err(|e| format!("{}: {e}", e.line()))?;
    let (Some(tier), true) = (drawn.tiers.first(), !drawn.zones.is_empty()) else {
        return Err("1: no tier of hosts, or no zones".into());
    };
    let up = drawn.servers.iter().filter(|server| server.up).count().max(1);
    let wanted = hosts.unwrap_or(up.min(HOSTS)).max(1);
    let scale = Scale { ratio: wanted as f64 / up as f64, hosts: wanted };
    let mut lost = left_out(&drawn, tier, up);
    let mut out = String::new();
    head(&mut out, &drawn, tier, &scale).map_err(|e| format!("1: {e}"))?;
    for (number, trouble) in drawn.troubles.iter().enumerate() {
        match lines_of(trouble, &drawn, &scale, &mut lost) {
            Some(lines) => {
                let (at, long) = (trouble.at / MICROS, trouble.len / MICROS);
                let _ = write!(out, "\n[trouble {}]\nat = {at:.3}\nfor = {long:.3}\n{lines}", number + 1);
            }
            None => lost.push(format!(
                "trouble {} '{}' {}: no such kind here",
                number + 1,
                trouble.kind,
                trouble.how
            )),
        }
    }
    Ok((out, lost))
}

struct Scale {
    ratio: f64,
    hosts: usize,
}

impl Scale {
    /// Of so many hosts: at least one where there was one.
    fn count(&self, hosts: usize) -> usize {
        ((hosts as f64 * self.ratio).round() as usize).max(usize::from(hosts > 0))
    }
}

fn left_out(drawn: &Drawn, tier: &Tier, up: usize) -> Vec<String> {
    let mut lost = vec![format!("{up} hosts at the start; sizes scaled down, see the script")];
    let mut say = |missing: bool, what: &str| {
        if missing {
            lost.push(what.to_owned());
        }
    };
    say(drawn.fam.controllers.len() > 1, "a second steward: one has all slices");
    say(drawn.fam.exclusive, "single ownership of slices");
    say(drawn.fam.tide > 0.0, "slices in demand for a while and then others");
    say(drawn.discovery.ask, "a list that must be asked");
    say(drawn.traffic.burst_cv > 0.0, "bursts");
    say(drawn.clients.impatient > 0.0, "clients that give up at any time");
    say(!tier.report_fields.iter().any(|f| f == "util"), "load reports other than the busy share");
    say(tier.kinds.iter().any(|kind| kind.thrash > 0.0), "hosts that slow down when they hold too much");
    say(tier.kinds.iter().any(|kind| kind.error_rate > 0.0), "errors at random");
    say(true, "times on the way between zones, prices, handshakes' work, noise in sums");
    lost
}

fn head(out: &mut String, drawn: &Drawn, tier: &Tier, scale: &Scale) -> Result<(), std::fmt::Error> {
    let fam = &drawn.fam;
    let proxies = scale.count(drawn.balancers.len()).max(drawn.zones.len());
    let slices = (fam.slices * scale.ratio).round().max(if fam.slices > 0.0 { 1.0 } else { 0.0 });
    // A delta's lines and the proxies that get it both shrink, a message's own lines do not.
    let least = 2.0 * proxies as f64 * (fam.head + 4.0 + slices);
    let backlog = (fam.backlog * scale.ratio * scale.ratio).max(least).round();
    let lines_a_second = (backlog * fam.rate / fam.backlog.max(1.0)).max(100.0).round();
    writeln!(
        out,
        "; Made of a {} day of {}.\n\n[day]\nname = {} {}",
        drawn.kind, drawn.site, drawn.site, drawn.kind
    )?;
    writeln!(out, "seed = {}\nlength = {:.3}\n", drawn.noise, drawn.length / MICROS)?;
    writeln!(
        out,
        "[fleet]\nzones = {}\nhosts = {}\nproxies = {proxies}",
        drawn.zones.join(", "),
        scale.hosts
    )?;
    writeln!(out, "slices = {slices}\nslice_spread = {:.3}", fam.slice_cv)?;
    writeln!(out, "pick = {}", if fam.pick == "two" { "two" } else { "weighted" })?;
    writeln!(out, "kept_gain = {:.3}\nkept_for = {:.3}", fam.affinity_gain, fam.affinity_s)?;
    let cores = tier.kinds.iter().map(|kind| kind.cores).fold(1.0, f64::max);
    writeln!(
        out,
        "connections = {:.0}\nprobe_work = {:.4}",
        tier.conn_cap_per_core * cores,
        tier.probe_work / MICROS
    )?;
    writeln!(out, "connect_within = {:.3}", tier.connect_timeout / MICROS)?;
    let tells_busy = tier.report_fields.iter().any(|field| field == "util");
    writeln!(out, "busy_every = {:.3}\n", if tells_busy { tier.report_period / MICROS } else { 0.0 })?;
    for (place, kind) in tier.kinds.iter().enumerate() {
        let of_kind = || drawn.servers.iter().filter(|server| server.up && server.kind == place);
        if of_kind().count() == 0 {
            continue;
        }
        let least = of_kind().map(|server| server.speed).fold(f64::INFINITY, f64::min);
        let most = of_kind().map(|server| server.speed).fold(0.0, f64::max);
        writeln!(out, "[kind {}]\nshare = {}\ncores = {}", kind.name, of_kind().count(), kind.cores)?;
        writeln!(out, "speed_least = {least:.3}\nspeed_most = {most:.3}")?;
        writeln!(out, "queue = {:.0}", (kind.queue + kind.slots - kind.cores).max(0.0))?;
        writeln!(out, "cold_from = {:.3}\nwarm_after = {:.3}\n", kind.cold_from, kind.cold / MICROS)?;
    }
    let shape =
        drawn.traffic.shape.iter().map(|(at, times)| format!("{at:.2}:{times:.3}")).collect::<Vec<_>>();
    let zones = drawn.traffic.zone_share.iter().map(|share| format!("{share:.3}")).collect::<Vec<_>>();
    writeln!(out, "[load]\nshare = {:.3}\nshape = {}", drawn.traffic.load, shape.join(", "))?;
    writeln!(out, "zone_shares = {}", zones.join(", "))?;
    writeln!(out, "keys = {:.0}\n", (drawn.traffic.keys / fam.slices.max(1.0)).max(1.0))?;
    for class in &drawn.classes {
        writeln!(
            out,
            "[class {}]\nshare = {:.3}\nwork = {:.5}",
            class.name,
            class.share,
            class.work / MICROS
        )?;
        writeln!(out, "spread = {:.3}\ncontract_time = {:.3}", class.cv, class.aim / MICROS)?;
        writeln!(out, "hard_stop = {:.3}\ngain = {}", class.deadline / MICROS, class.worth)?;
        let repeats = match (class.effect.as_str(), class.group.as_str()) {
            ("safe", _) => "safe",
            ("keyed", "all") => "keyed",
            ("keyed", _) => "keyed nearby",
            _ => "never",
        };
        writeln!(out, "repeats = {repeats}\nwrites = {}", if class.write { "yes" } else { "no" })?;
        if repeats.starts_with("keyed") {
            writeln!(out, "key_window = {:.3}", class.window / MICROS)?;
        }
        out.push('\n');
    }
    let clients = &drawn.clients;
    writeln!(out, "[clients]\nretries = {}\ntry_share = {:.3}", clients.retries, clients.try_share)?;
    writeln!(out, "pause = {:.3}\n", clients.backoff_us / MICROS)?;
    let (add, notice) = (drawn.discovery.add / MICROS, drawn.discovery.notice / MICROS);
    writeln!(out, "[roster]\nadd = {add:.3}\nnotice = {notice:.3}\n")?;
    writeln!(out, "[reports]\nevery = {:.3}\nlate = {:.3}", fam.period / MICROS, fam.heard_late / MICROS)?;
    writeln!(out, "a_second = {:.0}\n", (fam.intake * scale.ratio).max(20.0))?;
    writeln!(out, "[channel]\nlines_a_second = {lines_a_second}\nredial = {:.3}\n", fam.redial / MICROS)?;
    writeln!(out, "[rules]\nlost_for = {:.3}\ngrace = {:.3}", fam.bare / MICROS, drawn.drain_grace / MICROS)?;
    writeln!(out, "removal_binds = {}", if drawn.only_draining_binds { "no" } else { "yes" })?;
    writeln!(out, "fall_multiple = {}\nfall_for = {:.3}", drawn.fall_multiple, drawn.fall_for / MICROS)?;
    writeln!(out, "cold_from = {}\nwarm_within = {:.3}", tier.stated_cold_from, tier.stated_cold / MICROS)?;
    writeln!(out, "backlog = {backlog}\nmessage_cost = {}", fam.head)?;
    writeln!(out, "message_cap = {}\nmessages_span = 10", fam.messages_most)?;
    writeln!(out, "first_wait = {}\nhold = {:.3}", fam.try_aims, fam.hold / MICROS)
}

/// A trouble's own lines; `None` if there is no such kind here.
fn lines_of(trouble: &Trouble, drawn: &Drawn, scale: &Scale, lost: &mut Vec<String>) -> Option<String> {
    let hosts = scale.count(trouble.on.len()).min(scale.hosts).max(1);
    let (size, extra) = (trouble.size, trouble.extra);
    let zone = |n: u64| &drawn.zones[n as usize % drawn.zones.len()];
    Some(match trouble.kind.as_str() {
        "crash" => format!("kind = crash\nhosts = {hosts}\n"),
        "hang" => format!("kind = hang\nhosts = {hosts}\n"),
        "slow" => format!("kind = slow\nhosts = {hosts}\ntimes = {size:.3}\n"),
        "pauses" => {
            format!("kind = pauses\nhosts = {hosts}\npause = {:.3}\nevery = {extra:.3}\n", size / 1000.0)
        }
        "neighbour" => format!("kind = neighbour\nhosts = {hosts}\ntakes = {size:.3}\nevery = {extra:.3}\n"),
        "answer_lost" => {
            if trouble.how == "reset" {
                lost.push("answers that end with a reset: they are lost in silence".into());
            }
            format!("kind = answers_lost\nhosts = {hosts}\nshare = {size:.3}\n")
        }
        "deploy" => {
            let all: usize = trouble.steps.iter().map(|step| step.stop.len()).sum();
            let batch = trouble.steps.iter().map(|step| step.stop.len()).max().unwrap_or(1);
            let (all, batch) = (scale.count(all).max(1), scale.count(batch).max(1));
            format!("kind = deploy\nhosts = {all}\nbatch = {batch}\ndrain = {extra:.3}\n")
        }
        "grow" => format!("kind = growth\ntimes = {size:.3}\nfollows = {extra:.3}\n"),
        "hot_key" => format!("kind = hot_key\nshare = {size:.4}\nkeys = {}\n", extra.max(1.0) as u32),
        "heavy_tail" => {
            let share = extra / drawn.classes.len().max(1) as f64;
            lost.push("costly operations of one class: drawn from all classes".into());
            format!("kind = heavy\nshare = {share:.5}\ntimes = {size:.3}\n")
        }
        "report_late" => format!("kind = late_sums\nby = {size:.3}\n"),
        "origin_slow" => format!("kind = slow_channel\ntimes = {size:.3}\n"),
        "reconnect" => format!("kind = broken_streams\nshare = {size:.3}\n"),
        "wrong_list" => return wrong_list(trouble, scale, lost),
        "zone_loss" => {
            let lies_in = trouble.on.first().and_then(|n| drawn.servers.get(*n)).map_or(0, |s| s.zone);
            if size > 0.5 {
                lost.push("proxies and stewards lost with their zone".into());
            }
            let silent = if extra > 0.5 { "yes" } else { "no" };
            format!("kind = lost_zone\nzone = {}\nsilent = {silent}\n", zone(lies_in as u64))
        }
        "give_up" => {
            let how = if trouble.how == "leave" { "leave" } else { "short" };
            format!("kind = give_up\nshare = {size:.3}\npatience = {extra:.3}\nhow = {how}\n")
        }
        "shift" if trouble.how == "zone" => {
            format!("kind = shift\nshare = {size:.3}\nzone = {}\n", zone(trouble.which))
        }
        "shift" => format!("kind = shift\nshare = {size:.3}\n"),
        "slow_link" => {
            let shortest = drawn.classes.iter().map(|class| class.aim).fold(f64::INFINITY, f64::min) / MICROS;
            let other = match trouble.how.as_str() {
                "pair" => format!("other = {}\n", zone(trouble.which + 1)),
                _ => String::new(),
            };
            let (one, delay) = (zone(trouble.which), size * shortest);
            format!("kind = slow_link\nzone = {one}\n{other}delay = {delay:.3}\nlost = {extra:.3}\n")
        }
        _ => return None,
    })
}

fn wrong_list(trouble: &Trouble, scale: &Scale, lost: &mut Vec<String>) -> Option<String> {
    let hosts = scale.count(trouble.on.len()).max(1);
    match trouble.how.as_str() {
        "shrink" => Some(format!("kind = list_shrinks\nhosts = {}\n", hosts.min(scale.hosts))),
        "empty" => Some(format!("kind = list_shrinks\nhosts = {}\n", scale.hosts)),
        "ghosts" => {
            let how = match (trouble.extra * 4.0) as u32 {
                0 => "refuse",
                1 => {
                    lost.push("ghosts that never answer an attempt to connect: they refuse".into());
                    "refuse"
                }
                2 => "error",
                _ => "silent",
            };
            Some(format!("kind = ghosts\nhosts = {hosts}\nhow = {how}\n"))
        }
        _ => None,
    }
}
