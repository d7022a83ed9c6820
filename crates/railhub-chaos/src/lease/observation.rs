//! What an observer sees of a run, and the safeguards that a run may leave out.

/// A safeguard that a run leaves out, so that the judge must find a breach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Proxies obey commands of any epoch.
    NoFence,
    /// The store grants a slice to another holder under the epoch that it had.
    EpochReused,
    /// Controllers command slices after their leases have expired.
    LeaseOverrun,
    /// Proxies obey a repeated command once more.
    NoMemory,
    /// The store takes tables under any epoch; only on processes, where tables are stored.
    UncheckedWrites,
}

/// What an observer sees of a run. Times are seconds of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseObservation {
    /// A controller's process starts or ends.
    Process {
        /// When.
        at: f64,
        /// The controller's id.
        controller: u16,
        /// The process number.
        process: u64,
        /// Whether it starts.
        up: bool,
    },
    /// The store granted a slice to a new holder.
    Granted {
        /// When.
        at: f64,
        /// The slice.
        slice: u16,
        /// The epoch of the new lease.
        epoch: u64,
        /// The process that holds it.
        process: u64,
    },
    /// A controller issued a command for a slice.
    Commanded {
        /// When.
        at: f64,
        /// The slice.
        slice: u16,
        /// The epoch that the command bears.
        epoch: u64,
        /// The process that issued it.
        process: u64,
        /// Whether the controller's clock keeps within the bound that leases allow for.
        clock_within_bound: bool,
    },
    /// A proxy obeyed a command.
    Obeyed {
        /// When.
        at: f64,
        /// The proxy.
        proxy: u16,
        /// The slice.
        slice: u16,
        /// The epoch that the command bears.
        epoch: u64,
        /// The process that issued it.
        process: u64,
        /// The command's number.
        number: u64,
    },
}
