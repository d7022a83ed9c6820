//! The steward on the operators' platform: sockets, signals, the run.
//!
//! Who owns what: one thread ([`owner`]) owns the [`railhub_platform::PlatformController`], fed by a bounded inbox. Every
//! connection is one coroutine on the one worker: collectors and strangers ([`listener`]), the relay's news and
//! calls ([`relay`]), discovery's watch ([`watch`]), probes ([`probes`]). [`signals`] reads the file anew.
//!
//! The way of one decision: a report, a piece of news or a turn makes the owner run a round; the module's orders
//! wait at the controller; the owner hands one call at a time to the caller and settles it by its answer.
mod clock;
mod fairness;
mod figures;
pub mod health;
mod listener;
mod monitor;
pub mod outage_log;
mod owner;
mod patience;
mod probes;
mod relay;
mod shared;
mod signals;
mod watch;

pub use signals::Signals;

use railhub_platform::NodeConfig;
use std::path::Path;
use thiserror::Error;

/// Stacks kept for the next coroutine: a steward here has some hundred connections at most.
const KEPT_STACKS: usize = 64;

#[derive(Debug, Error)]
pub enum RunError {
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}: {1}")]
    NodeConfig(String, railhub_platform::ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("cannot start: {0}")]
    Start(std::io::Error),
}

pub fn read(path: &Path) -> Result<NodeConfig, RunError> {
    let shown = || path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| RunError::File(shown(), e))?;
    NodeConfig::parse(&text).map_err(|e| RunError::NodeConfig(shown(), e))
}

/// Runs the steward that the file tells of, until a signal ends it.
pub fn run(path: &Path, signals: Signals) -> Result<(), RunError> {
    end_on_panic();
    let assignment = read(path)?;
    let spoilt = assignment.known.invalid.len();
    if spoilt > 0 {
        // A start that is refused for it would leave nobody in charge.
        tracing::warn!(spoilt, "entries of the known list cannot be read: the list is asked for whole");
    }
    railhub_net::start_small(KEPT_STACKS);
    one_heap();
    let shared = shared::Shared::new(&assignment);
    let calls = relay::Calls::start(&shared);
    let probes = probes::start(&shared);
    let owner = owner::Owner::new(&assignment, &shared, calls, probes);
    let _listener = listener::open(&assignment, &shared)?;
    tracing::info!(name = assignment.name, address = %assignment.listen, "the steward listens");
    relay::follow(&shared);
    watch::follow(&shared);
    signals.watch(path.to_owned(), shared.clone()).map_err(RunError::Start)?;
    let thread = std::thread::Builder::new().name("owner".into()).spawn(move || owner.run());
    thread.map_err(RunError::Start)?;
    figures::tell(&shared, &assignment)
}

/// A panic anywhere ends the process with a word: half a steward is worse than none, which is started again.
fn end_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the steward ends: {info}");
        // SAFETY: ends the process at once; nothing here is needed after it.
        unsafe { libc::_exit(101) }
    }));
}

/// Threads share one heap: memory is short, and a heap for each would keep its own free pages.
fn one_heap() {
    // SAFETY: sets a number of the allocator's.
    unsafe { libc::mallopt(libc::M_ARENA_MAX, 1) };
}

#[cfg(test)]
mod tests;
