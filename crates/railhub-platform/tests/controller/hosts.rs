//! Endpoint pages and health checks.
use super::*;

#[test]
fn ignores_the_health_check_result_of_a_changed_host() {
    let config = NodeConfig::parse(CONFIG_JSON).expect("a valid file");
    let page = |generation: u64, address: &str, lifecycle: &str, started: f64| {
        let text = format!(
            "{{\"generation\":{generation},\"reset\":false,\"instances\":[{{\"instanceId\":\"s-1\",\"hostPort\":\
             \"{address}\",\"lifecycle\":\"{lifecycle}\",\"weight\":1,\"startedAtMs\":{started}}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &config.names).expect("a page")
    };
    let listed_address = "127.0.0.1:7070";
    for (address, lifecycle, started) in
        [("127.0.0.9:7070", "ready", 0.0), (listed_address, "ready", 1.7e12), (listed_address, "gone", 0.0)]
    {
        let mut controller = TestController::new(&config);
        send_snapshot(&mut controller, START, &[joined(1), assigned(3), stored(3, 2)]);
        let health_checks = controller.poll(START).health_checks;
        let health_check = health_checks
            .into_iter()
            .find(|health_check| health_check.host == host(1))
            .expect("a health check");
        controller.on_endpoint_page(START, &page(42, address, lifecycle, started));
        (0..3)
            .for_each(|_| controller.on_health_check_result(&health_check, HealthCheckOutcome::Unreachable));
        assert_eq!(controller.health_checks_stale(), 3);
        let notices = controller.poll(START + 0.1).notices;
        assert!(!notices.iter().any(|notice| notice.to_string().contains("down")), "{notices:?}");
    }
}

#[test]
fn accepts_a_lower_generation_after_the_reset_timeout() {
    let config = config();
    let page = |generation: u64, complete: bool, name: &str| {
        let text = format!(
            "{{\"generation\":{generation},\"reset\":{complete},\"instances\":[{{\"instanceId\":\"{name}\",\
             \"hostPort\":\"127.0.0.9:1\",\"lifecycle\":\"ready\",\"weight\":1}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &config.names).expect("a page")
    };
    let mut controller = TestController::new(&config);
    assert!(controller.on_endpoint_page(START, &page(60, true, "s-7")));
    assert!(!controller.on_endpoint_page(START + 5.0, &page(3, true, "s-8")), "the page may be late");
    assert!(!controller.on_endpoint_page(START + 20.0, &page(4, false, "s-8")), "changes to an unknown list");
    assert!(controller.on_endpoint_page(START + 20.0, &page(3, true, "s-8")), "discovery restarted");
    assert!(
        controller.on_endpoint_page(START + 20.1, &page(4, false, "s-9")) && controller.generation() == 4
    );
    assert_eq!(controller.hosts_listed(), 2);
}

#[test]
fn accepts_a_page_resent_after_an_invalid_entry() {
    let config = config();
    let mut controller = TestController::new(&config);
    let page = |weight: &str| {
        let text = format!(
            "{{\"generation\":42,\"reset\":false,\"instances\":[{{\"instanceId\":\"s-9\",\
             \"hostPort\":\"127.0.0.9:1\",\"lifecycle\":\"ready\",\"weight\":{weight}}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &config.names).expect("a page")
    };
    controller.on_endpoint_page(START, &page("-1"));
    assert_eq!((controller.hosts_listed(), controller.generation()), (2, 41));
    assert!(controller.on_endpoint_page(START, &page("1")));
    assert_eq!((controller.hosts_listed(), controller.generation()), (3, 42));
    assert!(!controller.on_endpoint_page(START, &page("1")), "the page is already known");
}
