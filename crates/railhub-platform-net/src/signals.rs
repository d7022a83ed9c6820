//! SIGTERM ends the process well and at once; SIGHUP makes it read its file anew.
use crate::shared::Shared;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::path::PathBuf;
use std::sync::Arc;

/// Signals are held from when this is made until they are watched.
pub struct Signals(signal_hook::iterator::Signals);

impl Signals {
    /// To be called first in the process: before it, a signal would end it the hard way.
    pub fn take() -> std::io::Result<Signals> {
        signal_hook::iterator::Signals::new([SIGHUP, SIGTERM]).map(Signals)
    }

    pub(crate) fn watch(mut self, path: PathBuf, shared: Arc<Shared>) -> std::io::Result<()> {
        let watching = move || {
            for signal in self.0.forever() {
                if signal == SIGTERM {
                    end();
                }
                read_anew(&path, &shared);
            }
        };
        std::thread::Builder::new().name("signals".into()).spawn(watching).map(drop)
    }
}

/// Ends at once and well. Not by `exit`, whose handlers would run while the other threads go on with what they free;
/// nothing is kept back for them: logs are written as they come, and what is ordered leaves within a round.
fn end() -> ! {
    // SAFETY: ends the process; nothing here is needed after it.
    unsafe { libc::_exit(0) }
}

/// New addresses count at once; the old connections go when the new ones stand. A bad file changes nothing.
fn read_anew(path: &std::path::Path, shared: &Arc<Shared>) {
    match crate::read(path) {
        Ok(new) => {
            let addresses = shared.move_to(new.relay, new.discovery);
            tracing::info!(relay = %addresses.relay, discovery = %addresses.discovery, "a new file counts");
            crate::relay::follow(shared);
            crate::watch::follow(shared);
        }
        Err(fault) => tracing::error!(%fault, "the new file is not used: the old one holds"),
    }
}
