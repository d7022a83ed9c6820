//! Judges a lease run by its observations alone: the judge has no knowledge of how leases work or of which process should
//! hold a slice.
use crate::breach::Breach;
use crate::lease::observation::LeaseObservation;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time in seconds that a response of the store is in flight; until it arrives, a controller may not know of a
/// newer grant.
const MAX_RESPONSE_FLIGHT_TIME: f64 = 0.01;

/// The rule that only one process issues commands for a slice under an epoch.
pub const ONE_CONTROLLER: &str = "one steward a slice and epoch";
/// The rule that a proxy never obeys an epoch lower than one that it has obeyed before.
pub const NO_LOWER_EPOCH: &str = "no proxy goes back to an earlier epoch";
/// The rule that a proxy obeys a command only once.
pub const NO_COMMAND_TWICE: &str = "no order taken twice";
/// The rule that a process issues no command after its lease has passed to another process.
pub const NO_COMMAND_AFTER_LEASE: &str = "nothing decided past the lease";

/// The latest grant of a slice to a new holder.
struct Grant {
    at: f64,
    epoch: u64,
    process: u64,
}

/// What the observations so far have shown, and the breaches found in them.
#[derive(Default)]
struct Judge {
    /// The first process that issued a command, by slice and epoch.
    issuers: BTreeMap<(u16, u64), u64>,
    /// The highest epoch that was obeyed, by proxy and slice.
    obeyed_epochs: BTreeMap<(u16, u16), u64>,
    /// Proxies and the numbers of the commands that they obeyed.
    obeyed_commands: BTreeSet<(u16, u64)>,
    /// The latest grant of each slice.
    grants: BTreeMap<u16, Grant>,
    breaches: Vec<Breach>,
}

/// Returns the first breach of each rule.
pub fn judge(observations: &[LeaseObservation]) -> Vec<Breach> {
    let mut judge = Judge::default();
    for observation in observations {
        judge.apply(observation);
    }
    judge.breaches
}

impl Judge {
    fn apply(&mut self, observation: &LeaseObservation) {
        match *observation {
            LeaseObservation::Process { .. } => {}
            LeaseObservation::Granted { at, slice, epoch, process } => {
                self.grants.insert(slice, Grant { at, epoch, process });
            }
            LeaseObservation::Commanded { at, slice, epoch, process, clock_within_bound } => {
                self.check_issuer(at, slice, epoch, process);
                if clock_within_bound {
                    self.check_lease(at, slice, epoch, process);
                }
            }
            LeaseObservation::Obeyed { at, proxy, slice, epoch, process, number } => {
                self.check_epoch(at, proxy, slice, epoch, process);
                self.check_repetition(at, proxy, process, number);
            }
        }
    }

    fn report(&mut self, rule: &'static str, at: f64, description: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at, description });
        }
    }

    fn check_issuer(&mut self, at: f64, slice: u16, epoch: u64, process: u64) {
        let issuer = *self.issuers.entry((slice, epoch)).or_insert(process);
        if issuer != process {
            let description =
                format!("slice {slice}, epoch {epoch}: ordered by processes {issuer} and {process}");
            self.report(ONE_CONTROLLER, at, description);
        }
    }

    fn check_lease(&mut self, at: f64, slice: u16, epoch: u64, process: u64) {
        let Some(grant) = self.grants.get(&slice) else { return };
        let elapsed = at - grant.at;
        if grant.process == process || elapsed <= MAX_RESPONSE_FLIGHT_TIME {
            return;
        }
        let description = format!(
            "slice {slice}: process {process} decides under epoch {epoch}, {elapsed:.2} s after \
             epoch {} was granted to {}",
            grant.epoch, grant.process
        );
        self.report(NO_COMMAND_AFTER_LEASE, at, description);
    }

    fn check_epoch(&mut self, at: f64, proxy: u16, slice: u16, epoch: u64, process: u64) {
        let highest = self.obeyed_epochs.entry((proxy, slice)).or_default();
        let obeyed_before = *highest;
        *highest = epoch.max(obeyed_before);
        if epoch < obeyed_before {
            let description = format!(
                "proxy {proxy}, slice {slice}: obeys process {process} under epoch {epoch} after epoch {obeyed_before}"
            );
            self.report(NO_LOWER_EPOCH, at, description);
        }
    }

    fn check_repetition(&mut self, at: f64, proxy: u16, process: u64, number: u64) {
        if !self.obeyed_commands.insert((proxy, number)) {
            let description = format!("proxy {proxy}: order {number} of process {process} taken twice");
            self.report(NO_COMMAND_TWICE, at, description);
        }
    }
}
