//! A scenario that cannot begin in time is not played.
use railhub_scenario::{play, LaunchedController, Scenario};
use std::path::Path;
use std::sync::Arc;

#[test]
fn a_steward_that_takes_too_long_to_start_makes_no_burst_of_late_operations() {
    railhub_net::start_runtime();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let scenario = Scenario::open(&path).expect("a good script");
    let slow = Arc::new(|_: &str| {
        std::thread::sleep(std::time::Duration::from_millis(2500));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        Ok(LaunchedController { address, fleet: None, process: None, pause: None, kill: Box::new(|| {}) })
    });
    let error = play(&scenario, Some(slow), None, None, &|_| {}).err().expect("it is late").to_string();
    assert!(error.starts_with("the day would begin 0.") && error.contains("s late"), "{error}");
}
