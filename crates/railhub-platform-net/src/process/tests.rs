//! Termination of the process after a panic.

/// Environment variable that marks the child process started by the test.
const CHILD_ENV_VAR: &str = "RAILHUB_TEST_PANICS";

#[test]
fn panic_in_a_coroutine_ends_the_process_with_its_message() {
    if std::env::var_os(CHILD_ENV_VAR).is_some() {
        super::exit_on_panic();
        railhub_net::spawn(|| panic!("a coroutine is lost"));
        std::thread::sleep(std::time::Duration::from_secs(10));
        return;
    }
    let mut child =
        std::process::Command::new(std::env::current_exe().expect("the path of the test program"));
    let output = child
        .args(["panic_in_a_coroutine", "--nocapture"])
        .env(CHILD_ENV_VAR, "1")
        .output()
        .expect("the child runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(101), "{stderr}");
    assert!(stderr.contains("controller aborted") && stderr.contains("a coroutine is lost"), "{stderr}");
}
