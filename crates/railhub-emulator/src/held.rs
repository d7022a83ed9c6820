//! What a proxy holds, and how it picks. Plain functions over plain state.
use railhub_proto::{Delta, RetryCondition};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// One at random by weight.
    Weighted,
    /// Of two drawn by weight, the one with less of the proxy's own work out.
    TwoByWork,
}

type Table = Vec<(SocketAddr, f64)>;

#[derive(Clone, Debug, Default)]
pub struct Held {
    tables: BTreeMap<u32, Table>,
    levels: BTreeMap<u32, (f64, RetryCondition)>,
    shut: BTreeSet<SocketAddr>,
    pub on_table: Option<u32>,
    pub incarnation: u64,
    pub version: u64,
    /// Something was refused since the last whole: the version is not claimed when dialling again.
    pub has_gap: bool,
}

impl Held {
    pub fn standing(tables: BTreeMap<u32, Table>) -> Held {
        Held { tables, ..Held::default() }
    }

    /// Takes in all of a delta, or nothing and says why.
    pub fn take_in(&mut self, delta: &Delta) -> Result<(), String> {
        let mut lines = Vec::with_capacity(delta.lines.len());
        for line in &delta.lines {
            let host: SocketAddr = line.host.parse().map_err(|_| format!("'{}' is no address", line.host))?;
            if !(line.weight.is_finite() && line.weight >= 0.0) {
                return Err(format!("weight {} of {host} in slice {}", line.weight, line.slice));
            }
            lines.push((line.slice, host, line.weight));
        }
        let mut shut = Vec::with_capacity(delta.exclusions.len());
        for word in &delta.exclusions {
            let host = word.host.parse().map_err(|_| format!("'{}' is no address", word.host))?;
            shut.push((host, word.excluded));
        }
        if let Some(level) =
            delta.admission_rates.iter().find(|level| level.rate.is_nan() || level.rate < 0.0)
        {
            return Err(format!("level {} of class {}", level.rate, level.class));
        }
        if delta.reset {
            self.levels.clear();
            self.shut.clear();
            self.has_gap = false;
        }
        for slice in &delta.cleared {
            self.tables.remove(slice);
        }
        for (slice, host, weight) in lines {
            let table = self.tables.entry(slice).or_default();
            table.retain(|line| line.0 != host);
            if weight > 0.0 {
                table.push((host, weight));
            }
        }
        for level in &delta.admission_rates {
            self.levels.insert(level.class, (level.rate, level.retry()));
        }
        for (host, out) in shut {
            if out {
                self.shut.insert(host);
            } else {
                self.shut.remove(&host);
            }
        }
        self.on_table = delta.assigned_table.or(self.on_table);
        (self.incarnation, self.version) = (delta.incarnation, delta.version);
        Ok(())
    }

    /// The share of a class let in and its way of trying again.
    pub fn level(&self, class: u32) -> (f64, RetryCondition) {
        self.levels.get(&class).copied().unwrap_or((1.0, RetryCondition::IfNotExecuted))
    }

    /// A host for an operation of a slice; `work`: how much of the proxy's own each has out.
    pub fn pick(
        &self,
        slice: u32,
        tried: &[SocketAddr],
        how: Pick,
        chance: &mut impl Rng,
        work: impl Fn(SocketAddr) -> usize,
    ) -> Option<SocketAddr> {
        let table = self.tables.get(&self.on_table.unwrap_or(slice))?;
        let open = |line: &&(SocketAddr, f64)| !self.shut.contains(&line.0) && !tried.contains(&line.0);
        let open: Vec<(SocketAddr, f64)> = table.iter().filter(open).copied().collect();
        let first = draw(&open, chance)?;
        match how {
            Pick::Weighted => Some(first),
            Pick::TwoByWork => {
                let second = draw(&open, chance)?;
                Some(if work(second) < work(first) { second } else { first })
            }
        }
    }

    /// The tables by slice, for comparing.
    pub fn tables(&self) -> &BTreeMap<u32, Table> {
        &self.tables
    }
}

/// What a proxy holds of several stewards: of each what it was told, and of each slice which of them has the word.
/// Levels and shut-outs are of the steward in charge of the operation's slice.
#[derive(Clone, Debug, Default)]
pub struct HeldOfAll {
    parts: Vec<Held>,
    /// The newest epoch obeyed for a slice, and whose it is.
    newest: BTreeMap<u32, (u64, usize)>,
}

impl HeldOfAll {
    /// The tables that it starts with count as the first steward's.
    pub fn standing(tables: BTreeMap<u32, Table>, stewards: usize) -> HeldOfAll {
        let mut parts = vec![Held::default(); stewards.max(1)];
        parts[0] = Held::standing(tables);
        HeldOfAll { parts, newest: BTreeMap::new() }
    }

    pub fn of(&self, steward: usize) -> &Held {
        &self.parts[steward]
    }

    pub fn of_mut(&mut self, steward: usize) -> &mut Held {
        &mut self.parts[steward]
    }

    fn in_charge(&self, slice: u32) -> &Held {
        &self.parts[self.newest.get(&slice).map_or(0, |newest| newest.1)]
    }

    /// Takes in all of a delta but for slices that a newer epoch has been obeyed for; which those are. Or nothing, and
    /// says why.
    pub fn take_in(&mut self, steward: usize, delta: &Delta, fenced: bool) -> Result<Vec<u32>, String> {
        let epochs: BTreeMap<u32, u64> = delta.epochs.iter().map(|each| (each.slice, each.epoch)).collect();
        let named = delta.lines.iter().map(|line| line.slice).chain(delta.cleared.iter().copied());
        let is_old = |slice: &u32| {
            let epoch = epochs.get(slice).copied().unwrap_or(0);
            self.newest.get(slice).is_some_and(|newest| (epoch, steward) != *newest && epoch <= newest.0)
        };
        let old: BTreeSet<u32> = named.filter(|slice| fenced && is_old(slice)).collect();
        if old.is_empty() {
            self.parts[steward].take_in(delta)?;
        } else {
            let mut rest = delta.clone();
            rest.lines.retain(|line| !old.contains(&line.slice));
            rest.cleared.retain(|slice| !old.contains(slice));
            self.parts[steward].take_in(&rest)?;
        }
        let obeyed = epochs.into_iter().filter(|(slice, _)| !old.contains(slice));
        self.newest.extend(obeyed.map(|(slice, epoch)| (slice, (epoch, steward))));
        Ok(old.into_iter().collect())
    }

    pub fn level(&self, slice: u32, class: u32) -> (f64, RetryCondition) {
        self.in_charge(slice).level(class)
    }

    /// As [`Held::pick`], by the word of the steward in charge.
    pub fn pick(
        &self,
        slice: u32,
        tried: &[SocketAddr],
        how: Pick,
        chance: &mut impl Rng,
        work: impl Fn(SocketAddr) -> usize,
    ) -> Option<SocketAddr> {
        self.in_charge(slice).pick(slice, tried, how, chance, work)
    }
}

fn draw(lines: &[(SocketAddr, f64)], chance: &mut impl Rng) -> Option<SocketAddr> {
    let total: f64 = lines.iter().map(|line| line.1).sum();
    let mut left = chance.random::<f64>() * total;
    for (host, weight) in lines {
        left -= weight;
        if left < 0.0 {
            return Some(*host);
        }
    }
    lines.last().map(|line| line.0)
}

#[cfg(test)]
mod tests;
