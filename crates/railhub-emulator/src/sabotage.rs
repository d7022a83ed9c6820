//! Deliberate faults of proxies, which test the invariant checks.

/// A deliberate fault of a proxy that the invariant checks must find in the recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// The proxy drops the table lines of some slices.
    LosesLines,
    /// The proxy retries attempts that have completed or whose retry is not allowed.
    RetriesBlindly,
    /// The proxy sends to hosts that are or were excluded.
    IgnoresExclusions,
    /// The proxy sends all operations to the host that started last.
    FloodsColdHosts,
    /// The proxy records each message that it receives several times.
    ReceivesTooManyMessages,
    /// The proxy accepts epochs that are older than those it has accepted before.
    AcceptsOldEpochs,
}
