//! A scenario that cannot begin in time is not played: its first operations would all begin at once.
use railhub_scenario::{play, LaunchedController, Scenario};
use std::path::Path;
use std::sync::Arc;

#[test]
fn slow_controller_start_fails_the_run() {
    railhub_net::start_runtime();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/short.ini");
    let scenario = Scenario::open(&path).expect("a valid scenario");
    let slow_launcher = Arc::new(|_: &str| {
        std::thread::sleep(std::time::Duration::from_millis(2500));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        Ok(LaunchedController {
            address,
            peer_address: None,
            process_number: None,
            set_paused: None,
            kill: Box::new(|| {}),
        })
    });
    let error = play(&scenario, Some(slow_launcher), None, None, &|_| {})
        .err()
        .expect("the start is late")
        .to_string();
    assert!(error.starts_with("the scenario would begin 0.") && error.contains("s late"), "{error}");
}
