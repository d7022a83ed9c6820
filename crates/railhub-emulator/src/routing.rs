//! What a proxy was sent by one controller, and how it picks a host. Plain functions over plain state.
use railhub_proto::{Delta, RetryCondition};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thiserror::Error;

/// How a proxy picks among the usable hosts of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// One at random by weight.
    Weighted,
    /// Of two drawn by weight, the one with fewer of the proxy's attempts outstanding.
    LeastOutstandingOfTwo,
}

/// The lines of one table: hosts and their weights, above 0.
pub type Table = Vec<(SocketAddr, f64)>;

/// Admission of a class of operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Fraction of the operations that is admitted.
    pub rate: f64,
    /// Which failed attempts are retried.
    pub retry: RetryCondition,
}

/// Why a proxy rejects a delta. The text is the reason in its Nack.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeltaError {
    /// A host is no address.
    #[error("'{0}' is no address")]
    InvalidAddress(String),
    /// A weight is negative or not finite.
    #[error("weight {weight} of {host} in slice {slice}")]
    InvalidWeight {
        /// The line's weight.
        weight: f64,
        /// The line's host.
        host: SocketAddr,
        /// The line's slice.
        slice: u32,
    },
    /// An admission rate is negative or not a number.
    #[error("level {rate} of class {class}")]
    InvalidAdmissionRate {
        /// The rate.
        rate: f64,
        /// The class.
        class: u32,
    },
    /// The scenario has the proxy reject its next delta.
    #[error("told to refuse")]
    RejectionInjected,
}

/// What a proxy was sent by one controller.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    tables: BTreeMap<u32, Table>,
    admission: BTreeMap<u32, Admission>,
    excluded: BTreeSet<SocketAddr>,
    /// The one table that the proxy uses for every slice, if it was assigned one.
    pub assigned_table: Option<u32>,
    /// The process that sent the latest delta.
    pub incarnation: u64,
    /// The latest delta's version.
    pub version: u64,
    /// A delta was rejected since the last reset: the version is not claimed in the next subscription.
    pub has_gap: bool,
}

/// A delta's parts after validation.
struct ValidDelta {
    lines: Vec<(u32, SocketAddr, f64)>,
    exclusions: Vec<(SocketAddr, bool)>,
}

impl RoutingState {
    /// Starts with tables in place.
    pub fn with_tables(tables: BTreeMap<u32, Table>) -> RoutingState {
        RoutingState { tables, ..RoutingState::default() }
    }

    /// Applies all of a delta or, on an error, nothing.
    ///
    /// # Errors
    /// The first part of the delta that is invalid.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        let valid = validate(delta)?;
        if delta.reset {
            self.admission.clear();
            self.excluded.clear();
            self.has_gap = false;
        }
        self.apply_lines(&delta.cleared, valid.lines);
        for rate in &delta.admission_rates {
            self.admission.insert(rate.class, Admission { rate: rate.rate, retry: rate.retry() });
        }
        for (host, excluded) in valid.exclusions {
            if excluded {
                self.excluded.insert(host);
            } else {
                self.excluded.remove(&host);
            }
        }
        self.assigned_table = delta.assigned_table.or(self.assigned_table);
        (self.incarnation, self.version) = (delta.incarnation, delta.version);
        Ok(())
    }

    fn apply_lines(&mut self, cleared: &[u32], lines: Vec<(u32, SocketAddr, f64)>) {
        for slice in cleared {
            self.tables.remove(slice);
        }
        for (slice, host, weight) in lines {
            let table = self.tables.entry(slice).or_default();
            table.retain(|line| line.0 != host);
            if weight > 0.0 {
                table.push((host, weight));
            }
        }
    }

    /// The admission of a class; all of it until a delta sets a rate.
    pub fn admission(&self, class: u32) -> Admission {
        let unlimited = Admission { rate: 1.0, retry: RetryCondition::IfNotExecuted };
        self.admission.get(&class).copied().unwrap_or(unlimited)
    }

    /// Picks a host for an operation of a slice that is neither excluded nor tried; `outstanding` is how many of the
    /// proxy's attempts a host has.
    pub fn pick(
        &self,
        slice: u32,
        attempted_hosts: &[SocketAddr],
        policy: BalancingPolicy,
        rng: &mut impl Rng,
        outstanding: impl Fn(SocketAddr) -> usize,
    ) -> Option<SocketAddr> {
        let table = self.tables.get(&self.assigned_table.unwrap_or(slice))?;
        let is_usable = |line: &&(SocketAddr, f64)| {
            !self.excluded.contains(&line.0) && !attempted_hosts.contains(&line.0)
        };
        let usable: Table = table.iter().filter(is_usable).copied().collect();
        let first = draw_by_weight(&usable, rng)?;
        match policy {
            BalancingPolicy::Weighted => Some(first),
            BalancingPolicy::LeastOutstandingOfTwo => {
                let second = draw_by_weight(&usable, rng)?;
                Some(if outstanding(second) < outstanding(first) { second } else { first })
            }
        }
    }

    /// The tables by slice.
    pub fn tables(&self) -> &BTreeMap<u32, Table> {
        &self.tables
    }
}

fn validate(delta: &Delta) -> Result<ValidDelta, DeltaError> {
    let mut lines = Vec::with_capacity(delta.lines.len());
    for line in &delta.lines {
        let host = parse_address(&line.host)?;
        let (slice, weight) = (line.slice, line.weight);
        if !(weight.is_finite() && weight >= 0.0) {
            return Err(DeltaError::InvalidWeight { weight, host, slice });
        }
        lines.push((slice, host, weight));
    }
    let mut exclusions = Vec::with_capacity(delta.exclusions.len());
    for exclusion in &delta.exclusions {
        exclusions.push((parse_address(&exclusion.host)?, exclusion.excluded));
    }
    for rate in &delta.admission_rates {
        if rate.rate.is_nan() || rate.rate < 0.0 {
            return Err(DeltaError::InvalidAdmissionRate { rate: rate.rate, class: rate.class });
        }
    }
    Ok(ValidDelta { lines, exclusions })
}

fn parse_address(host: &str) -> Result<SocketAddr, DeltaError> {
    host.parse().map_err(|_| DeltaError::InvalidAddress(host.to_owned()))
}

fn draw_by_weight(lines: &[(SocketAddr, f64)], rng: &mut impl Rng) -> Option<SocketAddr> {
    let total: f64 = lines.iter().map(|line| line.1).sum();
    let mut left = rng.random::<f64>() * total;
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
