//! A change of the routing state that proxies hold, before it is encoded. Does no I/O and reads no clock.
use railhub::{ClassId, HostId, RetryPolicy, Seconds, SliceId};
use railhub_proto::{AdmissionRate, Delta, HostExclusion, RetryCondition, SliceEpoch, TableLine};
use std::collections::{BTreeMap, BTreeSet};

/// The fraction of a class's operations that proxies admit, and when they retry its attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassAdmission {
    /// Fraction admitted, 0 to 1.
    pub rate: f64,
    /// When an attempt of the class is retried.
    pub retry: RetryPolicy,
}

/// The latest value of each changed resource. Proxies clear tables before they apply lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Admission rates and exclusions held so far are discarded.
    pub reset: bool,
    /// Slices whose lines are all removed before `lines` are applied.
    pub cleared: BTreeSet<SliceId>,
    /// Host weights by slice; 0 removes the line.
    pub lines: BTreeMap<(SliceId, HostId), f64>,
    /// Admission by class.
    pub admission_rates: BTreeMap<ClassId, ClassAdmission>,
    /// Hosts excluded from every table (`true`) or readmitted (`false`).
    pub exclusions: BTreeMap<HostId, bool>,
    /// The table that the proxy is assigned, in a configuration without slices.
    pub assigned_table: Option<SliceId>,
    /// The lease epoch of each slice in the change, if controllers share the slices.
    pub epochs: BTreeMap<SliceId, u64>,
}

impl Change {
    /// Whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        !self.reset && self.assigned_table.is_none() && self.cost() == 0
    }

    /// Size of the change in lines, without the overhead of a message.
    pub fn cost(&self) -> usize {
        self.cleared.len() + self.lines.len() + self.admission_rates.len() + self.exclusions.len()
    }

    /// Whether the change must not be delayed: a line is removed, a host is excluded, or a proxy gets its first tables.
    pub fn is_urgent(&self) -> bool {
        self.reset
            || self.assigned_table.is_some()
            || self.lines.values().any(|weight| *weight <= 0.0)
            || self.exclusions.values().any(|excluded| *excluded)
    }

    /// Adds a later change, so that this one has the effect of both.
    pub fn merge(&mut self, later: &Change) {
        if later.reset {
            self.reset = true;
            self.admission_rates.clear();
            self.exclusions.clear();
        }
        self.lines.retain(|(slice, _), _| !later.cleared.contains(slice));
        self.cleared.extend(&later.cleared);
        self.lines.extend(&later.lines);
        self.admission_rates.extend(&later.admission_rates);
        self.exclusions.extend(&later.exclusions);
        self.assigned_table = later.assigned_table.or(self.assigned_table);
        self.epochs.extend(&later.epochs);
    }

    /// Removes the lines, cleared slices and epochs of slices that `keep` rejects.
    pub fn retain_slices(&mut self, keep: impl Fn(SliceId) -> bool) {
        self.lines.retain(|(slice, _), _| keep(*slice));
        self.cleared.retain(|slice| keep(*slice));
        self.epochs.retain(|slice, _| keep(*slice));
    }

    /// The slices that the change modifies.
    pub fn slices(&self) -> BTreeSet<SliceId> {
        self.lines.keys().map(|key| key.0).chain(self.cleared.iter().copied()).collect()
    }

    /// Removes values that are superseded by a later change, which the proxy applies separately.
    pub fn remove_superseded(&mut self, later: &Change) {
        self.lines.retain(|key, _| !later.lines.contains_key(key) && !later.cleared.contains(&key.0));
        self.cleared.retain(|slice| !later.cleared.contains(slice));
        self.admission_rates.retain(|class, _| !later.reset && !later.admission_rates.contains_key(class));
        self.exclusions.retain(|host, _| !later.reset && !later.exclusions.contains_key(host));
        self.reset &= !later.reset;
        self.epochs.retain(|slice, _| !later.epochs.contains_key(slice));
    }

    /// The same change without tables, for a proxy that is not assigned a table yet.
    pub fn without_tables(&self) -> Change {
        let (cleared, lines, epochs) = Default::default();
        Change { cleared, lines, epochs, ..self.clone() }
    }

    /// Converts the change to a message whose nonce is the version.
    pub fn to_delta(&self, incarnation: u64, version: u64, ordered_at: Seconds) -> Delta {
        Delta {
            nonce: version,
            incarnation,
            version,
            ordered_at,
            reset: self.reset,
            cleared: self.cleared.iter().map(|slice| slice.0.into()).collect(),
            lines: self.lines.iter().map(to_table_line).collect(),
            admission_rates: self.admission_rates.iter().map(to_admission_rate).collect(),
            exclusions: self.exclusions.iter().map(to_host_exclusion).collect(),
            assigned_table: self.assigned_table.map(|table| table.0.into()),
            epochs: self.epochs.iter().map(to_slice_epoch).collect(),
        }
    }
}

fn to_table_line(((slice, host), weight): (&(SliceId, HostId), &f64)) -> TableLine {
    TableLine { slice: slice.0.into(), host: host.to_string(), weight: *weight }
}

fn to_admission_rate((class, admission): (&ClassId, &ClassAdmission)) -> AdmissionRate {
    let retry = match admission.retry {
        RetryPolicy::Never => RetryCondition::Never,
        RetryPolicy::IfNotExecuted => RetryCondition::IfNotExecuted,
        RetryPolicy::AfterFailure => RetryCondition::AfterFailure,
    };
    AdmissionRate { class: class.0.into(), rate: admission.rate, retry: retry.into() }
}

fn to_host_exclusion((host, excluded): (&HostId, &bool)) -> HostExclusion {
    HostExclusion { host: host.to_string(), excluded: *excluded }
}

fn to_slice_epoch((slice, epoch): (&SliceId, &u64)) -> SliceEpoch {
    SliceEpoch { slice: slice.0.into(), epoch: *epoch }
}
