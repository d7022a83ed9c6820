//! The routing state that a proxy has received from one controller, and the choice of a host, without I/O or locks.
use railhub_proto::{Delta, RetryCondition};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thiserror::Error;

/// How a proxy picks among the usable hosts of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// One host, drawn at random by weight.
    Weighted,
    /// The one with fewer outstanding attempts of this proxy, of two hosts drawn at random by weight.
    LeastOutstandingOfTwo,
}

/// The lines of one table: hosts and their weights, which are above 0.
pub type Table = Vec<(SocketAddr, f64)>;

/// Admission and retry policy of a class of operations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Fraction of the operations that are admitted.
    pub rate: f64,
    /// Which failed attempts are retried.
    pub retry: RetryCondition,
}

/// Why a proxy rejects a delta. The text is sent to the controller as the reason in the Nack and must not change.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeltaError {
    /// A host is not a socket address.
    #[error("'{0}' is no address")]
    InvalidAddress(String),
    /// A weight is negative or not finite.
    #[error("weight {weight} of {host} in slice {slice}")]
    InvalidWeight {
        /// Weight of the line.
        weight: f64,
        /// Host of the line.
        host: SocketAddr,
        /// Slice of the line.
        slice: u32,
    },
    /// An admission rate is negative or not a number.
    #[error("level {rate} of class {class}")]
    InvalidAdmissionRate {
        /// The invalid rate.
        rate: f64,
        /// Class of operations that the rate is for.
        class: u32,
    },
    /// A fault of the scenario makes the proxy reject a valid delta.
    #[error("told to refuse")]
    RejectionInjected,
}

/// The routing state that a proxy has received from one controller.
#[derive(Clone, Debug, Default)]
pub struct RoutingState {
    tables: BTreeMap<u32, Table>,
    admission: BTreeMap<u32, Admission>,
    excluded: BTreeSet<SocketAddr>,
    /// Table that the proxy uses for every slice, if it has been assigned one.
    pub assigned_table: Option<u32>,
    /// Incarnation of the controller that sent the latest delta.
    pub incarnation: u64,
    /// Version of the latest delta.
    pub version: u64,
    /// Whether a delta has been rejected since the last reset. The next subscription then does not claim the version.
    pub has_gap: bool,
}

/// The validated lines and exclusions of a delta, with parsed addresses.
struct ValidDelta {
    lines: Vec<(u32, SocketAddr, f64)>,
    exclusions: Vec<(SocketAddr, bool)>,
}

impl RoutingState {
    /// Creates a state with initial tables.
    pub fn with_tables(tables: BTreeMap<u32, Table>) -> RoutingState {
        RoutingState { tables, ..RoutingState::default() }
    }

    /// Applies a complete delta, or nothing if any part of it is invalid.
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

    /// The admission of a class; all operations are admitted until a delta sets a rate.
    pub fn admission(&self, class: u32) -> Admission {
        let unlimited = Admission { rate: 1.0, retry: RetryCondition::IfNotExecuted };
        self.admission.get(&class).copied().unwrap_or(unlimited)
    }

    /// Picks a host from the slice's table that is neither excluded nor among `attempted_hosts`. `outstanding` returns
    /// the number of outstanding attempts that the proxy has at a host.
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

    /// Whether operations must not be sent to a host, whatever the tables say.
    pub fn excludes(&self, host: SocketAddr) -> bool {
        self.excluded.contains(&host)
    }

    /// All tables, by slice.
    pub fn tables(&self) -> &BTreeMap<u32, Table> {
        &self.tables
    }
}

/// Validates all parts of a delta.
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

/// Draws a host with a probability proportional to its weight; `None` if there are no lines.
fn draw_by_weight(lines: &[(SocketAddr, f64)], rng: &mut impl Rng) -> Option<SocketAddr> {
    let total: f64 = lines.iter().map(|line| line.1).sum();
    let mut remaining = rng.random::<f64>() * total;
    for (host, weight) in lines {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(*host);
        }
    }
    lines.last().map(|line| line.0)
}

#[cfg(test)]
mod tests;
