//! Serves the endpoint list over HTTP by long polling: the response to a poll is held back until there are changes, for
//! a limited time.
use super::versions::{EndpointPage, ListState, DRAINING, GONE};
use may::net::TcpStream;
use may::sync::Mutex;
use railhub_net::{http, now, seconds};
use railhub_record::{EndpointPhase, EndpointStatus, EndpointsReceived, EventKind, Recorder};

/// Seconds for which a poll is held while there are no changes.
const MAX_POLL_HOLD_SECONDS: f64 = 1.0;
/// Seconds between checks for changes while a poll is held.
const CHANGE_CHECK_INTERVAL_SECONDS: f64 = 0.01;

/// Serves one connection until it breaks or the list is unavailable.
pub fn serve(mut stream: TcpStream, controller: u32, state: &Mutex<ListState>, recorder: &Recorder) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http::read_request(&mut stream, &mut buffer) {
        let after = http::query_number(&request.path, "after").unwrap_or(0);
        let Some(page) = wait_for_changes(state, after) else { return };
        if page.version != after {
            let received = to_event(&page, controller);
            recorder.record(now(), EventKind::EndpointsReceived(received));
        }
        if http::write_json_response(&mut stream, &page).is_err() {
            return;
        }
    }
}

/// Returns the page after a version as soon as there are changes, or after [`MAX_POLL_HOLD_SECONDS`] without any;
/// `None` if the list is unavailable.
fn wait_for_changes(state: &Mutex<ListState>, after: u64) -> Option<EndpointPage> {
    let deadline = now() + MAX_POLL_HOLD_SECONDS;
    loop {
        let state = state.lock().expect("no holder panics");
        if state.unavailable {
            return None;
        }
        if state.version != after || now() >= deadline {
            return Some(state.page(after));
        }
        drop(state);
        may::coroutine::sleep(seconds(CHANGE_CHECK_INTERVAL_SECONDS));
    }
}

/// The page as the event that is recorded.
fn to_event(page: &EndpointPage, controller: u32) -> EndpointsReceived {
    let entries = page.hosts.iter().map(|entry| EndpointStatus {
        host: entry.host.to_string(),
        phase: match entry.phase {
            DRAINING => EndpointPhase::Draining,
            GONE => EndpointPhase::Gone,
            _ => EndpointPhase::Ready,
        }
        .into(),
        started_at: entry.started,
    });
    EndpointsReceived { complete: page.complete, entries: entries.collect(), controller }
}
