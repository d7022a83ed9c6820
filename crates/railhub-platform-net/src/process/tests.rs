//! The end of the process after a panic.
/// Set for the process that the test below starts.
const CHILD: &str = "RAILHUB_TEST_PANICS";

#[test]
fn a_panic_in_a_coroutine_ends_the_process_with_its_words() {
    if std::env::var_os(CHILD).is_some() {
        super::exit_on_panic();
        railhub_net::spawn(|| panic!("a coroutine is lost"));
        std::thread::sleep(std::time::Duration::from_secs(10));
        return;
    }
    let mut child = std::process::Command::new(std::env::current_exe().expect("this one"));
    let ended =
        child.args(["a_panic_in_a_coroutine", "--nocapture"]).env(CHILD, "1").output().expect("it runs");
    let said = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(101), "{said}");
    assert!(said.contains("controller aborted") && said.contains("a coroutine is lost"), "{said}");
}
