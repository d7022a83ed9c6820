//! The safeguards of membership and leases, each of which tests can leave out to see its check fail.

/// A rule that protects membership or leases. None is left out in operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A suspected node refutes the suspicion under a higher incarnation.
    Refutation,
    /// Dead members are probed now and then, so that the halves of a partition meet again.
    DeadProbing,
    /// Entries of older processes, and of tombstoned ones, are dropped.
    ProcessOrder,
    /// Views are compared, and what differs is sent.
    AntiEntropy,
    /// An entry is gossiped a limited number of times.
    GossipLimit,
    /// A node that fares badly itself suspects others later (Lifeguard's local health).
    LocalHealth,
    /// All that goes beyond SWIM as first published: [`Safeguard::DeadProbing`], [`Safeguard::AntiEntropy`] and
    /// [`Safeguard::LocalHealth`].
    Extensions,
    /// Slices are given up when their leases expire.
    LeaseExpiry,
}

impl Safeguard {
    /// Whether leaving out `disabled` leaves this one out.
    pub fn is_disabled_by(self, disabled: Option<Safeguard>) -> bool {
        let is_extension =
            matches!(self, Safeguard::DeadProbing | Safeguard::AntiEntropy | Safeguard::LocalHealth);
        disabled == Some(self) || (disabled == Some(Safeguard::Extensions) && is_extension)
    }
}
