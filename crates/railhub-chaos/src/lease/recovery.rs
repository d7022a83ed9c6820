//! Measures how long slices were without a controller after a process had ended, and how often they were handed over.
use crate::lease::observation::LeaseObservation;
use serde::Serialize;
use std::collections::BTreeMap;

/// Recovery times and handovers of a run.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct RecoveryFigures {
    /// Seconds from the end of the process that commanded a slice to the next command for the slice, one for each slice and
    /// end of a process.
    #[serde(rename = "taken_up")]
    pub recovery_times: Vec<f64>,
    /// Number of changes of the process that commands a slice, without the first process of each slice.
    #[serde(rename = "handed")]
    pub handovers: u64,
}

/// Measures the recovery times and handovers of a run.
pub fn recovery_figures(observations: &[LeaseObservation]) -> RecoveryFigures {
    let mut holders: BTreeMap<u16, u64> = BTreeMap::new();
    let mut orphaned_since: BTreeMap<u16, f64> = BTreeMap::new();
    let mut figures = RecoveryFigures::default();
    for observation in observations {
        match *observation {
            LeaseObservation::Commanded { at, slice, process, .. } => {
                let previous = holders.insert(slice, process);
                if previous.is_some_and(|previous| previous != process) {
                    figures.handovers += 1;
                }
                if let Some(since) = orphaned_since.remove(&slice) {
                    figures.recovery_times.push(at - since);
                }
            }
            LeaseObservation::Process { at, process, up: false, .. } => {
                let orphaned = holders.iter().filter(|(_, holder)| **holder == process);
                orphaned_since.extend(orphaned.map(|(slice, _)| (*slice, at)));
            }
            _ => {}
        }
    }
    figures
}
