//! Misbehaviour of proxies that a check of the recording must find.

/// Misbehaviour of a proxy that a check of the recording must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// It loses the lines of some slices.
    LosesLines,
    /// It retries operations that completed.
    RetriesBlindly,
    /// It sends to hosts that are excluded.
    IgnoresExclusions,
    /// It sends everything to the host that started last.
    FloodsColdHosts,
    /// It receives each message several times.
    ReceivesTooManyMessages,
    /// It accepts epochs older than those that it has seen.
    AcceptsOldEpochs,
}
