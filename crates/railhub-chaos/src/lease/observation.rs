//! What an observer sees of a lease run, and the safeguards that can be disabled in one.

/// A safeguard to disable in a run, to verify that the judge detects the resulting breaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Proxies obey commands of any epoch.
    NoFence,
    /// The store grants a slice to a new holder under the epoch of the previous holder.
    EpochReused,
    /// Controllers issue commands for slices after their leases have expired.
    LeaseOverrun,
    /// Proxies do not deduplicate: they obey a repeated command again.
    NoMemory,
    /// The store accepts tables under any epoch. Only for runs on real processes, where tables are stored.
    UncheckedWrites,
}

/// What an observer sees of a lease run. Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseObservation {
    /// A controller's process started or ended.
    Process {
        /// Time of the observation.
        at: f64,
        /// The controller's id.
        controller: u16,
        /// The process number.
        process: u64,
        /// Whether the process started; if not, it ended.
        up: bool,
    },
    /// The store granted a slice to a new holder.
    Granted {
        /// Time of the observation.
        at: f64,
        /// The slice.
        slice: u16,
        /// The epoch of the new lease.
        epoch: u64,
        /// The process that holds the lease.
        process: u64,
    },
    /// A controller issued a command for a slice.
    Commanded {
        /// Time of the observation.
        at: f64,
        /// The slice.
        slice: u16,
        /// The epoch of the command.
        epoch: u64,
        /// The process that issued the command.
        process: u64,
        /// Whether the controller's clock has stayed within the error that leases tolerate.
        clock_within_bound: bool,
    },
    /// A proxy obeyed a command.
    Obeyed {
        /// Time of the observation.
        at: f64,
        /// The proxy.
        proxy: u16,
        /// The slice.
        slice: u16,
        /// The epoch of the command.
        epoch: u64,
        /// The process that issued the command.
        process: u64,
        /// Number of the command.
        number: u64,
    },
}
