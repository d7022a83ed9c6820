//! Figures of the controller, for the driver's log.
use super::PlatformController;

impl PlatformController {
    /// The generation of the endpoint list.
    pub fn generation(&self) -> u64 {
        self.hosts.generation()
    }

    /// Whether a first snapshot is complete and decisions are made.
    pub fn is_synchronized(&self) -> bool {
        self.subscription.may_decide()
    }

    /// Number of connected proxies.
    pub fn proxies_joined(&self) -> usize {
        self.proxies.len()
    }

    /// Number of hosts in the endpoint list.
    pub fn hosts_listed(&self) -> usize {
        self.hosts.len()
    }

    /// Number of commands that the relay has not accepted.
    pub fn commands_pending(&self) -> usize {
        self.commands.len()
    }

    /// Number of commands dropped because a later one with the same target was queued.
    pub fn commands_coalesced(&self) -> u64 {
        self.commands.coalesced
    }

    /// Number of commands dropped because the table that they were decided on has changed, or may have.
    pub fn commands_discarded(&self) -> u64 {
        self.commands_discarded
    }

    /// Number of admission rates dropped because their class has no name.
    pub fn unnamed_classes(&self) -> u64 {
        self.commands.unnamed_classes
    }

    /// Number of load reports dropped because a batch was full.
    pub fn load_reports_dropped(&self) -> u64 {
        self.batch.load_reports_dropped
    }

    /// Number of health check results ignored because the host was gone, moved or restarted meanwhile.
    pub fn health_checks_stale(&self) -> u64 {
        self.health_checks_stale
    }
}
