//! The safeguards of membership and leases. Tests disable one at a time to verify that a check detects its absence.

/// A rule that protects membership or leases. All are enabled in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A suspected node refutes the suspicion under a higher incarnation.
    Refutation,
    /// Dead members are still probed at times, so that the sides of a healed partition find each other.
    DeadProbing,
    /// Entries of older or tombstoned processes are dropped.
    ProcessOrder,
    /// Nodes compare their views and exchange entries that differ.
    AntiEntropy,
    /// An entry is gossiped a limited number of times.
    GossipLimit,
    /// A node in bad local health waits longer before it suspects others (Lifeguard).
    LocalHealth,
    /// All extensions of SWIM as first published: [`Safeguard::DeadProbing`], [`Safeguard::AntiEntropy`] and
    /// [`Safeguard::LocalHealth`].
    Extensions,
    /// A node gives up slices when their leases expire.
    LeaseExpiry,
}

impl Safeguard {
    /// Whether this safeguard is disabled when `disabled` is.
    pub fn is_disabled_by(self, disabled: Option<Safeguard>) -> bool {
        let is_extension =
            matches!(self, Safeguard::DeadProbing | Safeguard::AntiEntropy | Safeguard::LocalHealth);
        disabled == Some(self) || (disabled == Some(Safeguard::Extensions) && is_extension)
    }
}
