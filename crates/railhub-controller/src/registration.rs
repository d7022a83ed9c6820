//! Decides which process may register as a proxy. Does no I/O and reads no clock.

/// Whether a new stream may register, and what happens to an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// No stream is registered for the proxy.
    Free,
    /// The same process has connected again: the new stream replaces its older one, which is dead or soon will be.
    Replaces,
    /// Another process is registered and its stream is alive: the new stream is rejected until that one ends.
    Taken,
}

/// Decides on a new stream. `registered`: the process that is registered for the proxy now; `newcomer`: the process
/// that opened the stream.
pub fn register(registered: Option<u64>, newcomer: u64) -> RegistrationOutcome {
    match registered {
        None => RegistrationOutcome::Free,
        Some(process) if process == newcomer => RegistrationOutcome::Replaces,
        Some(_) => RegistrationOutcome::Taken,
    }
}

#[cfg(test)]
mod tests;
