//! A controller's process in simulated time, with its clock and its unacknowledged commands.
use railhub_membership::lease_manager::LeaseManager;
use railhub_membership::Epoch;
use std::collections::BTreeMap;

/// A controller's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedClock {
    /// Rate of the clock: its seconds per second of simulated time.
    pub speed: f64,
    /// Seconds by which the clock is ahead at the start of the run.
    pub offset: f64,
    /// Whether the clock has stayed within the error that leases tolerate.
    pub within_bound: bool,
}

impl SimulatedClock {
    /// The reading of the clock at a simulated time, in seconds.
    pub fn local_time(&self, now: f64) -> f64 {
        now * self.speed + self.offset
    }
}

/// A command for a slice.
#[derive(Clone, Debug)]
pub(super) struct Command {
    pub slice: u16,
    pub epoch: u64,
    pub process: u64,
    pub number: u64,
}

/// A command that a proxy has not acknowledged.
pub(super) struct PendingCommand {
    /// Time at which the command was last sent, in seconds since the start of the run.
    pub sent_at: f64,
    pub command: Command,
}

pub(super) struct SimulatedController {
    pub lease_manager: LeaseManager,
    pub process: u64,
    pub clock: SimulatedClock,
    pub paused_until: f64,
    /// Maximum delay of the controller's commands, in seconds.
    pub command_delay: f64,
    /// Slices that the controller acquired and has not lost, with their epochs. With
    /// [`Sabotage::LeaseOverrun`](crate::Sabotage) it commands them whether or not their leases are valid.
    pub acquired: BTreeMap<u16, Epoch>,
    /// Commands that have not been acknowledged, by proxy and command number.
    pub pending_commands: BTreeMap<(u16, u64), PendingCommand>,
}

impl SimulatedController {
    pub fn new(lease_manager: LeaseManager, process: u64, clock: SimulatedClock) -> SimulatedController {
        SimulatedController {
            lease_manager,
            process,
            clock,
            paused_until: 0.0,
            command_delay: 0.0,
            acquired: BTreeMap::new(),
            pending_commands: BTreeMap::new(),
        }
    }

    /// The slices that the controller commands, each with the epoch of the commands.
    pub fn commanded_slices(&self, now: f64, overruns_leases: bool) -> Vec<(u16, Epoch)> {
        let local = self.clock.local_time(now);
        let mut commanded = Vec::new();
        for (slice, acquired_epoch) in &self.acquired {
            let epoch = match overruns_leases {
                true => Some(*acquired_epoch),
                false => self.lease_manager.valid_epoch(local, *slice),
            };
            commanded.extend(epoch.map(|epoch| (*slice, epoch)));
        }
        commanded
    }
}
