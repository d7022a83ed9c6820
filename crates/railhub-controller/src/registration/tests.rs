use super::*;

#[test]
fn another_process_does_not_replace_the_registered_one() {
    assert_eq!(register(None, 7), RegistrationOutcome::Free);
    assert_eq!(register(Some(7), 7), RegistrationOutcome::Replaces);
    assert_eq!(register(Some(7), 8), RegistrationOutcome::Taken);
}
