//! Draws a day's fleet and operations from its seed, all ahead: the same day brings the same operations,
//! whatever is done with them.
use crate::replay;
use crate::script::Day;
use crate::troubles::{Act, GiveUpHow, ShiftHow};
use railhub_emulator::host::HostConfig;
use railhub_emulator::PlannedOperation;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Zipf};

/// How unequal keys of a slice are.
pub const KEY_EXPONENT: f64 = 0.7;
/// Rounds in which rate and keys met are brought into agreement: they change little after the first.
const ROUNDS: usize = 4;

/// One operation, and when and where it comes. Seconds from the start of the day.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: f64,
    pub proxy: usize,
    pub drawn: PlannedOperation,
}

/// A stream of chance of its own for each purpose.
pub fn chance(seed: u64, purpose: &str) -> ChaCha8Rng {
    let mixed = purpose.bytes().fold(seed ^ 0x9e37_79b9_7f4a_7c15, |mixed, byte| {
        (mixed ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    ChaCha8Rng::seed_from_u64(mixed)
}

/// Hosts as they are at the start, and as later ones will be.
pub fn hosts(day: &Day, count: usize, purpose: &str) -> Vec<HostConfig> {
    let mut chance = chance(day.seed, purpose);
    let total: f64 = day.kinds.iter().map(|kind| kind.share).sum();
    let one = |n: usize| {
        let mut left = (n as f64 + 0.5) / count as f64 * total;
        let place = day.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let place = place.unwrap_or(day.kinds.len() - 1);
        let kind = &day.kinds[place];
        let speed = kind.speed.0 + (kind.speed.1 - kind.speed.0) * chance.random::<f64>();
        HostConfig {
            zone: (n % day.zones.len()) as u32,
            kind: place as u16,
            cores: kind.cores,
            speed,
            max_queued: kind.queue,
            cold_capacity_fraction: kind.cold_from,
            warm_up_time: kind.warm_after,
            max_connections: day.connections,
            probe_work: day.probe_work,
            utilization_interval: day.busy_every,
            cache_saving: day.kept_gain,
            cache_lifetime: day.kept_for,
        }
    };
    (0..count).map(one).collect()
}

pub fn capacity(hosts: &[HostConfig]) -> f64 {
    hosts.iter().map(|host| host.cores as f64 * host.speed).sum()
}

/// How much of the traffic each slice draws: unequal, in sum 1.
pub fn slice_sizes(day: &Day) -> Vec<f64> {
    if let Some(traffic) = &day.replay {
        return replay::slice_sizes(traffic, day.slices);
    }
    let mut chance = chance(day.seed, "slices");
    let sizes: Vec<f64> =
        (0..day.slices.max(1)).map(|_| spread(&mut chance, 1.0, day.slice_spread)).collect();
    let total: f64 = sizes.iter().sum();
    sizes.into_iter().map(|size| size / total).collect()
}

/// Each slice's first host: the one that is least filled for its size.
pub fn first_owners(day: &Day, hosts: &[HostConfig]) -> Vec<usize> {
    let mut filled = vec![0.0; hosts.len()];
    let owner = |size: &f64| {
        let after = |n: &usize| (filled[*n] + size) / (hosts[*n].cores as f64);
        let best = (0..hosts.len()).min_by(|a, b| after(a).total_cmp(&after(b))).unwrap_or(0);
        filled[best] += size;
        best
    };
    slice_sizes(day).iter().map(owner).collect()
}

/// A positive number with such a mean and such a spread over the mean.
pub fn spread(chance: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let drawn = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
    drawn.map_or(mean, |drawn| drawn.sample(chance))
}

/// A place in a list by its weight.
pub fn place(chance: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut left = chance.random::<f64>() * weights.iter().sum::<f64>();
    weights
        .iter()
        .position(|weight| {
            left -= weight;
            left < 0.0
        })
        .unwrap_or(weights.len() - 1)
}

/// Operations a second that ask for the day's share of what hosts can do, when slices stay where they are and
/// keys are met again as often as such a rate brings them.
fn offered_rate(day: &Day, capacity: f64, work: f64, sizes: &[f64]) -> f64 {
    let weights: Vec<f64> = (1..=day.keys).map(|key| (key as f64).powf(-KEY_EXPONENT)).collect();
    let all: f64 = weights.iter().sum();
    let mut rate = day.load * capacity / work;
    for _ in 0..ROUNDS {
        let met_in = |size: &f64| -> f64 {
            let again = |weight: &f64| 1.0 - (-rate * size * weight / all * day.kept_for).exp();
            size * weights.iter().map(|weight| weight / all * again(weight)).sum::<f64>()
        };
        let met: f64 = sizes.iter().map(met_in).sum();
        rate = day.load * capacity / (work * (1.0 - day.kept_gain * met));
    }
    rate
}

pub fn arrivals(day: &Day, capacity: f64) -> Vec<Arrival> {
    match &day.replay {
        Some(traffic) => replay::arrivals(day, traffic),
        None => drawn_arrivals(day, capacity),
    }
}

/// An operation before troubles have had their say.
pub struct Coming {
    pub class: usize,
    pub slice: usize,
    pub key: u64,
    /// Times its usual work.
    pub times: f64,
    pub patience: f64,
    pub comes_back: bool,
    /// Shares of its coming at each zone.
    pub zones: Vec<f64>,
}

impl Coming {
    /// Troubles that lie in the operations themselves. Each takes one draw, whether it strikes or not.
    pub fn trouble(&mut self, day: &Day, at: f64, slices: usize, chance: &mut ChaCha8Rng) {
        for trouble in &day.troubles {
            let luck = chance.random::<f64>();
            let begun = ((at - trouble.at) / trouble.long.max(0.001)).clamp(0.0, 1.0);
            let is_on = trouble.at <= at && at < trouble.at + trouble.long;
            match &trouble.act {
                Act::HotKey { share, keys: hot } if is_on && luck < *share => {
                    let which = (luck / share * *hot as f64) as usize;
                    self.slice = (which * 7 + 3) % slices;
                    self.key = u64::MAX / 2 + which as u64;
                }
                Act::Heavy { share, times: heavier } if is_on && luck < *share => self.times *= heavier,
                Act::Shift { share, how: ShiftHow::Zone(zone) } => {
                    let moved = share * begun;
                    self.zones.iter_mut().enumerate().for_each(|(n, part)| {
                        *part = *part * (1.0 - moved) + if n == *zone as usize { moved } else { 0.0 };
                    });
                }
                Act::Shift { share, how: ShiftHow::Mix } if luck < share * begun => {
                    self.class = heaviest_class(day);
                }
                Act::GiveUp { share, patience: left, how } if is_on && luck < *share => {
                    let facts = &day.classes[self.class].facts;
                    self.patience = (left * facts.contract_time / facts.hard_stop).min(1.0);
                    self.comes_back = *how == GiveUpHow::Leave;
                }
                _ => {}
            }
        }
    }
}

fn heaviest_class(day: &Day) -> usize {
    let work = |n: &usize| day.classes[*n].work;
    (0..day.classes.len()).max_by(|a, b| work(a).total_cmp(&work(b))).unwrap_or(0)
}

/// What proxies draw of the traffic of a zone.
pub fn proxies_of(day: &Day, proxies: &[f64], zone: usize) -> Vec<f64> {
    let inside = |n: &usize| n % day.zones.len() == zone;
    let weight = |(n, weight): (usize, &f64)| {
        if inside(&n) || day.proxies < day.zones.len() {
            *weight
        } else {
            0.0
        }
    };
    proxies.iter().enumerate().map(weight).collect()
}

fn drawn_arrivals(day: &Day, capacity: f64) -> Vec<Arrival> {
    let mut chance = chance(day.seed, "operations");
    let sizes = slice_sizes(day);
    let shares: Vec<f64> = day.classes.iter().map(|class| class.share).collect();
    let work: f64 =
        day.classes.iter().map(|class| class.share * class.work).sum::<f64>() / shares.iter().sum::<f64>();
    let rate = offered_rate(day, capacity, work, &sizes);
    let proxies: Vec<f64> = (0..day.proxies).map(|_| spread(&mut chance, 1.0, 0.7)).collect();
    let keys = Zipf::new(day.keys as f64, KEY_EXPONENT).expect("at least one key and a positive exponent");
    let by_zone: Vec<Vec<f64>> = (0..day.zones.len()).map(|zone| proxies_of(day, &proxies, zone)).collect();
    let (mut at, mut operation, mut all) = (0.0f64, 0, Vec::new());
    loop {
        let busiest = rate * day.times_most();
        at += -(1.0 - chance.random::<f64>()).ln() / busiest;
        if at >= day.length {
            return all;
        }
        if chance.random::<f64>() * busiest >= rate * day.times(at) {
            continue;
        }
        operation += 1;
        let class = place(&mut chance, &shares);
        let zones = day.zone_shares.clone();
        let slice = place(&mut chance, &sizes);
        let key = keys.sample(&mut chance) as u64 + (slice as u64) * day.keys as u64;
        let mut coming = Coming { class, slice, key, times: 1.0, patience: 1.0, comes_back: false, zones };
        coming.trouble(day, at, sizes.len(), &mut chance);
        let zone = place(&mut chance, &coming.zones);
        let script = &day.classes[coming.class];
        let drawn = PlannedOperation {
            operation,
            class: coming.class as u32,
            key: coming.key,
            slice: coming.slice as u32,
            work: coming.times * spread(&mut chance, script.work, script.spread),
            patience: coming.patience,
            returns: coming.comes_back,
        };
        all.push(Arrival { at, proxy: place(&mut chance, &by_zone[zone]), drawn });
    }
}

impl Day {
    /// Times the usual rate at a moment: the day's shape, and growth that traffic follows.
    pub fn times(&self, at: f64) -> f64 {
        let after = self.shape.iter().position(|point| point.0 > at).unwrap_or(self.shape.len());
        let shape = match (after.checked_sub(1).map(|n| self.shape[n]), self.shape.get(after)) {
            (None, None) => 1.0,
            (Some((_, times)), None) => times,
            (None, Some((_, times))) => *times,
            (Some((a, from)), Some((b, to))) => from + (to - from) * (at - a) / (b - a),
        };
        let grown = self.troubles.iter().filter_map(|trouble| match trouble.act {
            Act::Growth { times, follows } => {
                let begun = ((at - trouble.at) / trouble.long.max(0.001)).clamp(0.0, 1.0);
                Some(1.0 + (times - 1.0) * follows * begun)
            }
            _ => None,
        });
        shape * grown.product::<f64>()
    }

    fn times_most(&self) -> f64 {
        let steps = (self.length * 4.0) as usize + 1;
        (0..=steps).map(|n| self.times(n as f64 / 4.0)).fold(0.01, f64::max) * 1.05
    }
}
