//! Discovery's watch: resumed from the last generation, given up when it is silent. What was told holds meanwhile.
use crate::shared::{Addresses, Holds, Shared, Word};
use railhub::Seconds;
use railhub_net::http::{Feed, HttpFault};
use railhub_net::{go, seconds};
use railhub_platform::discovery;
use std::sync::Arc;

/// Seconds a connection may take to come up, and seconds of silence: an empty line comes every 2.
const CONNECT: Seconds = 0.5;
const SILENT: Seconds = 4.5;
/// Seconds between tries while discovery is out of reach.
const PAUSE: Seconds = 0.3;

/// The list's version that the desk has.
fn known(shared: &Shared) -> u64 {
    shared.owner.lock().expect("no holder panics").generation
}

/// Follows the list from the addresses that count now; an earlier follower ends by itself.
pub fn follow(shared: &Arc<Shared>) {
    let (shared, addresses) = (shared.clone(), shared.addresses());
    go(move || {
        let mut failing = false;
        while shared.addresses().version == addresses.version {
            let fault = watch(&shared, addresses, &mut failing);
            if !std::mem::replace(&mut failing, true) && shared.addresses().version == addresses.version {
                tracing::warn!(%fault, "discovery's watch ended: the last list holds");
            }
            may::coroutine::sleep(seconds(PAUSE));
        }
    });
}

/// What the desk knows is where the watch goes on: a page that it did not take in is told again.
fn watch(shared: &Shared, addresses: Addresses, failing: &mut bool) -> HttpFault {
    let mut generation = known(shared);
    let path = format!("/discovery/hosts?watch=1&after={generation}");
    let mut feed = match Feed::open(addresses.discovery, &path, CONNECT, SILENT) {
        Ok(feed) => feed,
        Err(fault) => return fault,
    };
    let _held = Holds::one(&shared.held.discovery);
    if !shared.watch_line.take_over(addresses.version, feed.closer()) {
        return HttpFault::Ended;
    }
    tracing::info!(discovery = %addresses.discovery, after = generation, "watching the list");
    loop {
        let read = |line: &[u8]| (!line.is_empty()).then(|| discovery::read(line, &shared.names));
        match feed.line(read) {
            Ok(None) => *failing = false,
            Ok(Some(Ok(page))) => {
                *failing = false;
                page.spoilt.iter().for_each(|_| shared.refuse("list entry"));
                let (spoilt, older) = (!page.spoilt.is_empty(), page.generation < generation);
                generation = page.generation;
                shared.inbox.tell(Word::Page(page));
                // It is asked for again: the next telling may be readable, or count by then.
                if spoilt || older {
                    let what =
                        if spoilt { "an entry of the list" } else { "a list older than the one known" };
                    return HttpFault::Malformed(what.into());
                }
            }
            Ok(Some(Err(spoilt))) => {
                shared.refuse("list page");
                return HttpFault::Malformed(spoilt.to_string());
            }
            Err(fault) => return fault,
        }
    }
}
