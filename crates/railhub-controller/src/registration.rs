//! Which process may register as a proxy. Free of I/O and of clocks.

/// Whether a new stream may register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// No stream is registered for the proxy.
    Free,
    /// The same process connects again: its older stream is dead, or soon will be.
    Replaces,
    /// Another process is registered and its stream is alive: the newcomer is rejected until that one ends.
    Taken,
}

/// Decides on a new stream. `registered`: the process that is registered for the proxy now.
pub fn register(registered: Option<u64>, newcomer: u64) -> RegistrationOutcome {
    match registered {
        None => RegistrationOutcome::Free,
        Some(process) if process == newcomer => RegistrationOutcome::Replaces,
        Some(_) => RegistrationOutcome::Taken,
    }
}

#[cfg(test)]
mod tests;
