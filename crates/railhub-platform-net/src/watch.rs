//! Discovery's watch: resumed from the last generation, given up when it is silent. What was told holds meanwhile.
use crate::fairness::{ReadTurn, KNOWN_PEER_SPAN};
use crate::patience::ConnectBackoff;
use crate::shared::{Addresses, ControllerEvent, DescriptorGuard, Shared};
use railhub::Seconds;
use railhub_net::http::{Feed, HttpError};
use railhub_net::{go, seconds};
use railhub_platform::wire::discovery;
use railhub_platform::EndpointPage;
use std::sync::Arc;

/// Seconds a connection may take to come up, and seconds of silence: an empty line comes every 2.
const CONNECT: Seconds = 0.5;
const SILENT: Seconds = 4.5;
/// Seconds of silence at most before a slow discovery's first word: with the pause below the 6 after which the platform
/// counts the list as told, should a discovery that is back not answer what was asked while it was down.
const LONGEST_SILENT: Seconds = 5.5;
/// Seconds between tries while discovery is out of reach.
const PAUSE: Seconds = 0.3;

/// The list's version that the controller has.
fn known(shared: &Shared) -> u64 {
    shared.owner.lock().expect("no holder panics").generation
}

/// Follows the list from the addresses that count now; an earlier follower ends by itself.
pub fn follow(shared: &Arc<Shared>) {
    let (shared, addresses) = (shared.clone(), shared.addresses());
    go(move || {
        let (mut failing, mut patience) = (false, ConnectBackoff::new(SILENT, LONGEST_SILENT));
        while shared.addresses().version == addresses.version {
            let fault = watch(&shared, addresses, &mut patience, &mut failing);
            shared.discovery_health.failed(&fault);
            if !std::mem::replace(&mut failing, true) && shared.addresses().version == addresses.version {
                tracing::warn!(%fault, "discovery's watch ended: the last list holds");
            }
            may::coroutine::sleep(seconds(PAUSE));
        }
    });
}

/// What the controller knows is where the watch goes on: a page that it did not take in is told again.
fn watch(
    shared: &Shared,
    addresses: Addresses,
    patience: &mut ConnectBackoff,
    failing: &mut bool,
) -> HttpError {
    let mut generation = known(shared);
    let path = discovery::watch_path(generation);
    let mut feed = match Feed::open(addresses.discovery, &path, CONNECT, patience.span()) {
        Ok(feed) => feed,
        Err(fault) => return unanswered(fault, patience),
    };
    let _held = DescriptorGuard::one(&shared.held.discovery);
    if !shared.watch_line.take_over(addresses.version, feed.closer()) {
        return HttpError::Ended;
    }
    tracing::info!(discovery = %addresses.discovery, after = generation, "watching the list");
    let mut stands = None;
    let mut turn = ReadTurn::start(KNOWN_PEER_SPAN);
    loop {
        let read = |line: &[u8]| (!line.is_empty()).then(|| discovery::decode_page(line, &shared.names));
        let line = match feed.line(read) {
            Ok(line) => line,
            Err(fault) if stands.is_none() => return unanswered(fault, patience),
            Err(fault) => return fault,
        };
        stands.get_or_insert_with(|| shared.discovery_health.line_stands());
        patience.reset();
        *failing = false;
        match line {
            None => {}
            Some(Ok(page)) => {
                page.invalid.iter().for_each(|_| shared.refuse("list entry"));
                let (spoilt, older) = (!page.invalid.is_empty(), page.generation < generation);
                generation = page.generation;
                if !tell(shared, addresses.version, page) {
                    return HttpError::Ended;
                }
                // It is asked for again: the next telling may be readable, or count by then.
                if spoilt || older {
                    let what =
                        if spoilt { "an entry of the list" } else { "a list older than the one known" };
                    return HttpError::Malformed(what.into());
                }
            }
            Some(Err(spoilt)) => {
                shared.refuse("list page");
                return HttpError::Malformed(spoilt.to_string());
            }
        }
        turn.pause_if_long();
    }
}

/// Hands a page to the owner, and waits for room first: a page may be a whole list. What was read before a newer file's
/// watch closed this line is older than what that one tells: it is dropped, and the watch ends.
fn tell(shared: &Shared, version: u64, page: EndpointPage) -> bool {
    shared.page_room.wait();
    let is_current = shared.watch_line.is_current(version);
    if is_current {
        shared.inbox.tell(ControllerEvent::EndpointPage(page));
    } else {
        shared.page_room.post();
    }
    is_current
}

/// A connection that ended before its first line.
fn unanswered(fault: HttpError, patience: &mut ConnectBackoff) -> HttpError {
    if matches!(fault, HttpError::Silent) {
        patience.lengthen();
    }
    fault
}
