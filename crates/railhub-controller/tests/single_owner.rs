//! Slices with a single owner at a running controller: when the next owner is named.
mod common;

use common::{open_fleet, routes_to, Received, TestProxy};
use railhub_emulator::endpoint_list::DRAINING;
use std::time::{Duration, Instant};

/// Writes to a former owner end within this time after all proxies have cleared a table.
const WRITES_END_AFTER: Duration = Duration::from_millis(200);
/// Time in which an owner would be named if the rejected clearing counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Guards against a proxy that rejects the delta which clears a table, and so goes on writing to the former owner: the
/// rejection counted as its acknowledgement, and the next owner was named.
#[test]
fn rejected_clearing_is_not_acknowledged() {
    let mut fleet = open_fleet(4, 8);
    fleet.settings.config.single_owner = true;
    (fleet.settings.config.write_lease, fleet.settings.config.max_write_duration) = (0.1, 0.1);
    let controller = fleet.start();
    let mut proxy = TestProxy::connect(controller.address, 0);
    proxy.apply_until(|routing| routing.tables().len() == 8);
    proxy.apply_for(WRITES_END_AFTER);
    let mut other = TestProxy::connect(controller.address, 1);
    other.apply_until(|routing| routing.tables().len() == 8);
    fleet.set_phase(1, DRAINING);
    let clearing = proxy.next_delta();
    assert!(clearing.lines.iter().all(|line| line.weight == 0.0), "{clearing:?}");
    proxy.reject(&clearing);
    assert!(routes_to(&proxy.routing, fleet.address(1)), "a proxy keeps its tables when it rejects a delta");
    let deadline = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < deadline {
        if let Received::Delta(delta) = other.receive(Duration::from_millis(100)) {
            other.acknowledge(&delta);
            assert!(delta.lines.iter().all(|line| line.weight == 0.0), "an owner is named: {delta:?}");
        }
    }
}
