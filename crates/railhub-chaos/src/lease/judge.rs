//! Judges a run of leases by its observations alone: the judge knows nothing of leases or of who should hold a slice.
use crate::breach::Breach;
use crate::lease::observation::LeaseObservation;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds that a response of the store may be in flight: until then a controller cannot know of a newer grant.
const MAX_RESPONSE_FLIGHT_TIME: f64 = 0.01;

/// The rule that an epoch of a slice is commanded by one process.
pub const ONE_CONTROLLER: &str = "one steward a slice and epoch";
/// The rule that a proxy never obeys an epoch lower than one that it has obeyed.
pub const NO_LOWER_EPOCH: &str = "no proxy goes back to an earlier epoch";
/// The rule that a proxy obeys a command once.
pub const NO_COMMAND_TWICE: &str = "no order taken twice";
/// The rule that a controller issues no command once its lease has passed to another.
pub const NO_COMMAND_AFTER_LEASE: &str = "nothing decided past the lease";

/// The latest lease of a slice.
struct Grant {
    at: f64,
    epoch: u64,
    process: u64,
}

/// What has been seen of a run so far.
#[derive(Default)]
struct Judge {
    /// The process that commanded an epoch of a slice first, by slice and epoch.
    issuers: BTreeMap<(u16, u64), u64>,
    /// The highest epoch that a proxy obeyed, by proxy and slice.
    obeyed_epochs: BTreeMap<(u16, u16), u64>,
    /// Commands that were obeyed, by proxy and number.
    obeyed_commands: BTreeSet<(u16, u64)>,
    /// The latest lease of each slice.
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
